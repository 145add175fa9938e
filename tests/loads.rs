//! What the decisions do under the loads that users meet, without a network:
//! each module is named after the pattern that it plays.

mod loads {
    mod a_platform_that_returns;
    mod a_store_that_turns_one_away;
    mod a_stream_cut_anywhere;
    mod bursts_at_many_samplers;
    mod callers_of_a_data_centre;
    mod four_models_on_many_samplers;
    mod frozen_order_givers;
    mod long_samples_in_a_step;
    mod new_weights_every_step;
    mod refusals_while_weights_load;
    mod shares_that_meet;
    mod slow_samplers_in_a_step;
    pub mod support;
    mod vms_that_start_together;
}
