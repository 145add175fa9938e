//! Tests of real `serve` processes. Their store and samplers are stand-ins that
//! speak the platform's protocol.

mod fleet;

mod process_serve {
    mod accounts_and_keys;
    mod answers_that_break_off;
    mod answers_without_end;
    mod batches_under_vm_and_store_faults;
    mod bodies_share_memory;
    mod budgets_on_busy_machines;
    mod clients_inside_the_limits;
    mod crashes_without_a_closed_connection;
    mod endpoints_are_ordered;
    mod invalid_answers_and_ended_batches;
    mod large_batches;
    mod late_copies_of_answers;
    mod leaving_samplers_get_no_requests;
    mod limited_samplers;
    mod long_texts;
    mod odd_entries;
    mod requests_that_crash_samplers;
    mod shortage_of_places;
    mod singleton_duties;
    mod soak;
    mod stops_cut_no_request;
    mod streams_after_all_vms_are_lost;
    mod streams_at_a_vm_out_of_step;
    mod streams_keep_their_software;
    mod unlucky_items_are_owed;
    mod vms_cut_off_from_endpoints;
}
