//! Guards against considering a VM gone that has only just started.
//!
//! All VMs start within the same second and read each other's rows in any
//! order. One VM crashes without removing its row.

use chicoryreach::core::roster::{Presence, Roster, VmRow};

fn row(incarnation: u64) -> VmRow {
    let address = ([127, 0, 0, 1], 1).into();
    VmRow {
        incarnation,
        data_centre: "dc-1".into(),
        caller_address: address,
        peer_address: address,
        cpu_share: 0.5,
        paths: chicoryreach::core::paths::PathReport::default(),
        unix_offset_ms: None,
        loads: std::collections::BTreeMap::new(),
    }
}

#[test]
fn a_vm_whose_row_was_not_read_yet_is_unknown() {
    let mut roster = Roster::default();
    roster.on_read(1_000, [("vm-1".into(), row(10), 5)]);
    assert_eq!(roster.presence("vm-2", 10), Presence::Unknown);
    // It has restarted, but its row still shows the earlier incarnation.
    assert_eq!(roster.presence("vm-1", 11), Presence::Unknown);
    assert_eq!(roster.presence("vm-1", 10), Presence::Live);
}

#[test]
fn the_earlier_incarnation_of_a_restarted_vm_is_gone() {
    let mut roster = Roster::default();
    roster.on_read(1_000, [("vm-1".into(), row(11), 5)]);
    assert_eq!(roster.presence("vm-1", 10), Presence::Gone);
}

#[test]
fn a_vm_is_gone_only_after_its_row_stays_unchanged() {
    let mut roster = Roster::default();
    let mut gone_ms = None;
    for heartbeat in 0..10 {
        let now_ms = 1_000 * heartbeat;
        let rows = [
            ("silent".into(), row(1), 3),
            ("speaking".into(), row(1), 4 + heartbeat),
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
fn after_a_gap_in_its_own_reads_a_vm_considers_no_other_gone() {
    let mut roster = Roster::default();
    roster.on_read(0, [("vm-1".into(), row(1), 3)]);
    // The store was unreachable, so the other VM could not write its row either.
    roster.on_read(9_000, [("vm-1".into(), row(1), 3)]);
    assert_eq!(roster.presence("vm-1", 1), Presence::Live);
}
