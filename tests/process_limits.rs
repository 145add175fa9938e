//! Tests of `serve` processes under crowds of clients outside the limits. They are a program
//! of their own, since they run one at a time and apart from other load: cargo runs test
//! programs one after the other.

#[expect(dead_code, reason = "the other tests of processes use the rest")]
mod fleet;

mod process_limits {
    mod clients_outside_the_limits;
}
