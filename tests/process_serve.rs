//! Real `serve` processes between a store and samplers that speak the
//! platform's protocol.

mod fleet;

mod process_serve {
    mod answers;
    mod soak;
    mod vms;
}
