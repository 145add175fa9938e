//! All VMs start within the same second and read each other's rows in any
//! order; one dies without a word.

use chicoryreach::core::roster::{Presence, Roster, VmRow};

fn row(incarnation: u64) -> VmRow {
    let any = ([127, 0, 0, 1], 1).into();
    VmRow {
        incarnation,
        data_centre: "dc-1".into(),
        caller_address: any,
        peer_address: any,
        cpu_share: 0.5,
    }
}

#[test]
fn a_vm_whose_row_was_not_read_yet_is_not_taken_for_gone() {
    let mut roster = Roster::default();
    roster.on_read(1_000, [("vm-1".into(), row(10), 5)]);
    assert_eq!(roster.presence("vm-2", 10), Presence::Unknown);
    // It has started again, which its row does not say yet.
    assert_eq!(roster.presence("vm-1", 11), Presence::Unknown);
    assert_eq!(roster.presence("vm-1", 10), Presence::Live);
}

#[test]
fn a_vm_that_started_again_has_given_up_what_it_ran() {
    let mut roster = Roster::default();
    roster.on_read(1_000, [("vm-1".into(), row(11), 5)]);
    assert_eq!(roster.presence("vm-1", 10), Presence::Gone);
}

#[test]
fn a_silent_vm_is_gone_after_a_while_and_a_speaking_one_never() {
    let mut roster = Roster::default();
    let mut gone_ms = None;
    for beat in 0..10 {
        let now_ms = 1_000 * beat;
        let rows = [
            ("silent".into(), row(1), 3),
            ("speaking".into(), row(1), 4 + beat),
        ];
        roster.on_read(now_ms, rows);
        assert_eq!(roster.presence("speaking", 1), Presence::Live);
        if roster.presence("silent", 1) == Presence::Gone {
            gone_ms.get_or_insert(now_ms);
        }
    }
    assert!(
        gone_ms.is_some_and(|ms| (3_000..=4_500).contains(&ms)),
        "{gone_ms:?}"
    );
}

#[test]
fn a_vm_that_could_not_read_blames_nobody() {
    let mut roster = Roster::default();
    roster.on_read(0, [("vm-1".into(), row(1), 3)]);
    // The store was away; the row could not be written either.
    roster.on_read(9_000, [("vm-1".into(), row(1), 3)]);
    assert_eq!(roster.presence("vm-1", 1), Presence::Live);
}
