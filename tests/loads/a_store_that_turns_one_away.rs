//! The store refuses one VM for seconds while it serves the others.

use chicoryreach::core::detour::{Detour, Way};

#[test]
fn calls_go_another_way_until_the_store_answers_again() {
    let mut detour = Detour::default();
    let mut direct_calls = 0;
    let mut relayed_calls = 0;
    for now_ms in (0..10_000).step_by(10) {
        let is_refused = (2_000..7_000).contains(&now_ms);
        if detour.way() == Way::Relayed {
            relayed_calls += 1;
            if detour.is_probe_due(now_ms) {
                direct_calls += 1;
                detour.on_direct(now_ms, !is_refused);
            }
        } else {
            direct_calls += 1;
            detour.on_direct(now_ms, !is_refused);
        }
    }
    // Five seconds of a call each 10 ms, and a probe each 400 ms.
    assert!(
        (490..=545).contains(&relayed_calls),
        "{relayed_calls} relayed"
    );
    assert!(direct_calls >= 510 - 45, "{direct_calls} direct");
    assert_eq!(detour.way(), Way::Direct);
}

#[test]
fn one_lost_answer_costs_one_probe() {
    let mut detour = Detour::default();
    assert!(detour.on_direct(100, false));
    assert!(!detour.is_probe_due(499));
    assert!(detour.is_probe_due(500));
    assert!(detour.on_direct(500, true));
    assert!(!detour.is_probe_due(10_000));
}
