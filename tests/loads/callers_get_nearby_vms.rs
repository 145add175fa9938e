//! Guards against VM lists that spread the few callers of a data centre over too
//! many VMs, or that leave them without VMs when a data centre fails.
//!
//! Callers in four data centres, with seventeen small VMs each, request the
//! addresses to use.

use std::collections::BTreeSet;

use chicoryreach::core::{
    Name,
    roster::{VmRow, addresses_for_callers},
};
use rstest::rstest;

const DATA_CENTRES: [&str; 4] = ["krk-north", "krk-south", "tarnow", "katowice"];

fn vms(count_per_data_centre: u16) -> Vec<(Name, VmRow)> {
    let numbered = (0..).zip(DATA_CENTRES);
    let all = numbered.flat_map(|(index, data_centre): (u16, _)| {
        (0..count_per_data_centre).map(move |number| {
            let port = 8_000 + index * 100 + number;
            let row = VmRow {
                incarnation: 1,
                data_centre: data_centre.into(),
                caller_address: ([127, 0, 0, 1], port).into(),
                peer_address: ([127, 0, 0, 2], port).into(),
                cpu_share: if number % 3 == 0 { 0.5 } else { 0.12 },
                paths: chicoryreach::core::paths::PathReport::default(),
                unix_offset_ms: None,
                loads: std::collections::BTreeMap::new(),
            };
            (format!("vm-{data_centre}-{number}").into(), row)
        })
    });
    all.collect()
}

#[rstest]
fn callers_get_at_most_ten_vms_three_quarters_of_them_near(#[values(0, 1, 2, 3)] index: usize) {
    let near = DATA_CENTRES[index];
    let vms = vms(17);
    let shown: BTreeSet<_> = addresses_for_callers(&vms, Some(near))
        .into_iter()
        .collect();
    let is_near = |(_, row): &&(Name, VmRow)| &*row.data_centre == near;
    let near_shown = vms.iter().filter(is_near);
    let near_shown = near_shown.filter(|(_, row)| shown.contains(&row.caller_address));
    assert!(shown.len() <= 10, "{} VMs are shown", shown.len());
    assert!(near_shown.count() * 4 >= shown.len() * 3);
}

#[test]
fn losing_a_data_centre_leaves_every_caller_at_least_two_vms() {
    let all = vms(17);
    for lost in DATA_CENTRES {
        let gone = |(_, row): &&(Name, VmRow)| &*row.data_centre == lost;
        let gone: Vec<_> = all
            .iter()
            .filter(gone)
            .map(|(_, r)| r.caller_address)
            .collect();
        for near in DATA_CENTRES {
            let shown = addresses_for_callers(&all, Some(near));
            let left = shown.iter().filter(|address| !gone.contains(address));
            assert!(
                left.count() >= 2,
                "too few VMs for callers in {near} after losing {lost}"
            );
        }
    }
}

#[test]
fn losing_a_vm_replaces_only_its_own_address() {
    let mut all = vms(17);
    let before = addresses_for_callers(&all, Some("tarnow"));
    let lost = before[0];
    all.retain(|(_, row)| row.caller_address != lost);
    let after = addresses_for_callers(&all, Some("tarnow"));
    let kept = before.iter().filter(|address| after.contains(address));
    assert_eq!(kept.count(), before.len() - 1);
    assert_eq!(after.len(), before.len());
}

#[test]
fn with_three_vms_per_data_centre_callers_get_all_near_ones() {
    let all = vms(3);
    let shown = addresses_for_callers(&all, Some("tarnow"));
    let near = all.iter().filter(|(_, row)| &*row.data_centre == "tarnow");
    assert!(near.clone().count() == 3);
    for (_, row) in near {
        assert!(shown.contains(&row.caller_address));
    }
    assert_eq!(shown.len(), 8);
}

#[test]
fn large_vms_are_at_least_half_of_the_shown_ones() {
    let all = vms(17);
    let shown: Vec<_> = DATA_CENTRES
        .iter()
        .flat_map(|near| addresses_for_callers(&all, Some(near)))
        .collect();
    let large = all.iter().filter(|(_, row)| row.cpu_share > 0.4);
    let large_shown = large.filter(|(_, row)| shown.contains(&row.caller_address));
    // A third of the VMs is large, but they have two thirds of the CPU share.
    assert!(large_shown.count() * 2 >= shown.len());
}
