//! Embeds two parts of the core outside the daemon: members detect each other
//! by gossip and assign keys to members by rendezvous hashing.
//!
//! Messages are passed in memory and the time is simulated. A real program
//! would send the messages over a network and read a clock.

use std::collections::BTreeMap;

use chicoryreach::{
    core::{
        Name,
        membership::{Membership, MembershipEffect, MembershipEvent},
        rendezvous,
    },
    wire::peers::{MemberRecord, MemberState},
};

const MEMBER_COUNT: u16 = 5;
const KEYS: [&str; 4] = ["krk-north", "krk-south", "tarnow", "katowice"];

fn main() {
    let mut members: BTreeMap<Name, Membership> = (0..MEMBER_COUNT)
        .map(record)
        .map(|record| (record.vm.clone(), Membership::new(record)))
        .collect();
    // Every member knows the first member, as if it had read a table.
    for member in members.values_mut() {
        member.handle(
            0,
            MembershipEvent::RecordsReceived(vec![record(0)]),
            &mut Vec::new(),
        );
    }
    run(&mut members, 0, 30_000);
    println!("all members are running:");
    print_owners(&members);

    members.remove("vm-2");
    run(&mut members, 30_000, 60_000);
    println!("after vm-2 stopped:");
    print_owners(&members);
}

fn record(number: u16) -> MemberRecord {
    MemberRecord {
        vm: format!("vm-{number}").into(),
        data_centre: "nave-a".into(),
        caller_address: ([127, 0, 0, 1], 8_000 + number).into(),
        control_address: ([127, 0, 0, 1], 9_000 + number).into(),
        incarnation: 1,
        generation: 0,
        state: MemberState::Alive,
    }
}

/// Advances the time in steps, and handles every deadline that is reached.
fn run(members: &mut BTreeMap<Name, Membership>, from_ms: u64, to_ms: u64) {
    const STEP_MS: usize = 50;
    for now_ms in (from_ms..to_ms).step_by(STEP_MS) {
        let names: Vec<Name> = members.keys().cloned().collect();
        for name in names {
            let mut effects = Vec::new();
            if let Some(member) = members.get_mut(&name)
                && member.next_deadline_ms() <= now_ms
            {
                member.handle(now_ms, MembershipEvent::Deadline, &mut effects);
            }
            execute(members, now_ms, &name, effects);
        }
    }
}

/// Executes the effects that a member requested, and the effects that result.
fn execute(
    members: &mut BTreeMap<Name, Membership>,
    now_ms: u64,
    name: &Name,
    effects: Vec<MembershipEffect>,
) {
    for effect in effects {
        let event = match effect {
            MembershipEffect::Probe { probe, to } => {
                probe_member(members, now_ms, name, probe, &to.vm)
            }
            MembershipEffect::Synchronise {
                with,
                digests,
                first_bucket,
            } => members.get(&with.vm).map(|with| {
                let limit = usize::from(MEMBER_COUNT);
                MembershipEvent::RecordsReceived(with.differing_records(
                    &digests,
                    first_bucket,
                    limit,
                ))
            }),
            // Indirect probes would not reach a stopped member either, and there
            // is no table.
            _ => None,
        };
        let mut next_effects = Vec::new();
        if let (Some(member), Some(event)) = (members.get_mut(name), event) {
            member.handle(now_ms, event, &mut next_effects);
        }
        execute(members, now_ms, name, next_effects);
    }
}

/// Sends one probe and returns its result as an event.
fn probe_member(
    members: &mut BTreeMap<Name, Membership>,
    now_ms: u64,
    from: &Name,
    probe: u64,
    to: &Name,
) -> Option<MembershipEvent> {
    let request = members.get_mut(from)?.build_gossip_request(now_ms, to);
    let Some(target) = members.get_mut(to) else {
        return Some(MembershipEvent::ProbeUnanswered { probe });
    };
    let mut effects = Vec::new();
    target.handle(
        now_ms,
        MembershipEvent::GossipReceived(request),
        &mut effects,
    );
    let gossip = target.build_gossip_answer(now_ms, from);
    Some(MembershipEvent::ProbeAnswered { probe, gossip })
}

fn print_owners(members: &BTreeMap<Name, Membership>) {
    let Some(member) = members.values().next() else {
        return;
    };
    let alive: Vec<Name> = member
        .members_taking_work()
        .map(|record| record.vm.clone())
        .collect();
    println!(
        "  {} of {} members accept work",
        alive.len(),
        member.count_expected()
    );
    for key in KEYS {
        println!("  {key}: {}", rendezvous::choose(&alive, key, 2).join(", "));
    }
}
