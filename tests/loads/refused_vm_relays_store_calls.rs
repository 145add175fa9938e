//! Guards against calls that fail while the store refuses only one VM.
//!
//! The store refuses one VM for five seconds and serves the others meanwhile.

use chicoryreach::core::store_path::{StorePath, StorePathSelector};

#[test]
fn calls_are_relayed_until_the_store_answers_again() {
    let mut path_selector = StorePathSelector::default();
    let mut direct_calls = 0;
    let mut relayed_calls = 0;
    for now_ms in (0..10_000).step_by(10) {
        let is_refused = (2_000..7_000).contains(&now_ms);
        if path_selector.path() == StorePath::Relayed {
            relayed_calls += 1;
            if path_selector.is_probe_due(now_ms) {
                direct_calls += 1;
                path_selector.on_direct_call(now_ms, !is_refused);
            }
        } else {
            direct_calls += 1;
            path_selector.on_direct_call(now_ms, !is_refused);
        }
    }
    // The refusals last five seconds, with a call every 10 ms and a probe every
    // 400 ms.
    assert!(
        (490..=545).contains(&relayed_calls),
        "{relayed_calls} calls were relayed"
    );
    assert!(direct_calls >= 510 - 45, "{direct_calls} calls were direct");
    assert_eq!(path_selector.path(), StorePath::Direct);
}

#[test]
fn after_one_lost_answer_one_probe_restores_the_direct_path() {
    let mut path_selector = StorePathSelector::default();
    assert!(path_selector.on_direct_call(100, false));
    assert!(!path_selector.is_probe_due(499));
    assert!(path_selector.is_probe_due(500));
    assert!(path_selector.on_direct_call(500, true));
    assert!(!path_selector.is_probe_due(10_000));
}
