//! Tests of the decisions in `core` under load patterns of production, without
//! a network. Each module is named after the behaviour that it checks.

mod loads {
    mod bursts_spread_over_samplers;
    mod callers_get_nearby_vms;
    mod crash_world;
    mod cut_streams_resume_whole;
    mod endpoints_follow_the_load;
    mod frequent_weights_leave_samplers_usable;
    mod limits_hold_over_vms;
    mod long_samples_get_fast_samplers;
    mod long_texts_share_memory;
    mod longest_samples_start_first;
    mod many_vms_count_crashes_together;
    mod models_share_samplers_by_tokens;
    mod one_leader_despite_frozen_vms;
    mod passing_slowdowns_are_not_speeds;
    mod permits_are_bounded;
    mod presence_of_starting_and_silent_vms;
    mod refusals_pause_a_sampler;
    mod refused_vm_relays_store_calls;
    mod relisted_samplers_survive_outages;
    mod runs_move_off_slow_samplers;
    mod samples_end_first_at_uneven_endpoints;
    mod shares_prefer_their_endpoint_slices;
    mod shortage_costs_callers_least;
    mod shortage_refuses_the_last;
    pub mod shortage_world;
    mod stalled_connections_close_first;
    mod streams_outlive_their_vms;
    mod streams_stay_at_their_software;
    pub mod support;
    mod usage_is_counted_exactly;
}
