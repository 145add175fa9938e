//! Guards against an overload in which urgent, small or few requests give way to others.
//!
//! The first test prints the table of docs/design/shortage.md (with `--nocapture`).

use chicoryreach::core::shortage::Entry;

use super::shortage_world::{Load, Order, Outcomes, SLOTS, arrivals, run};

const SEED: u64 = 1;

fn load(callers: fn(u64) -> f64) -> Load {
    Load {
        callers,
        slots: |_| SLOTS,
        large_account: 0.0,
    }
}

fn loads() -> [(&'static str, Load); 6] {
    let half_gone = Load {
        slots: |now_ms| if now_ms < 7_000 { SLOTS } else { SLOTS / 2 },
        ..load(|_| 0.8)
    };
    let large = Load {
        large_account: 0.9,
        ..load(|_| 2.0)
    };
    let bursts = load(|now_ms| if now_ms % 5_000 < 1_000 { 3.0 } else { 0.6 });
    [
        ("1.2 times", load(|_| 1.2)),
        ("2 times", load(|_| 2.0)),
        ("5 times", load(|_| 5.0)),
        ("bursts", bursts),
        ("half gone", half_gone),
        ("one account 0.9", large),
    ]
}

fn to_f64(value: u64) -> f64 {
    f64::from(u32::try_from(value).expect("small"))
}

fn by_priority(entry: &Entry) -> f64 {
    let training = if entry.kind.is_training() { 10.0 } else { 0.0 };
    (training + f64::from(entry.priority)) * 1e9
}

const ARRIVAL: fn(&Entry, u64) -> f64 = |entry, _| to_f64(entry.came_ms);
const STRICT: fn(&Entry, u64) -> f64 = |entry, _| by_priority(entry) + to_f64(entry.came_ms);
const AGEING: fn(&Entry, u64) -> f64 =
    |entry, _| by_priority(entry) / 1e9 * 200.0 + to_f64(entry.came_ms);
const EARLIEST: fn(&Entry, u64) -> f64 = |entry, _| to_f64(entry.deadline_ms);
const SLACK: fn(&Entry, u64) -> f64 =
    |entry, _| by_priority(entry) + to_f64(entry.deadline_ms) - to_f64(entry.work_ms);
const VALUE: fn(&Entry, u64) -> f64 =
    |entry, _| to_f64(entry.work_ms) * 4_f64.powf(by_priority(entry) / 1e9);

fn orders() -> [(&'static str, Order); 7] {
    [
        ("first come", Order::Key(ARRIVAL)),
        ("strict priority", Order::Key(STRICT)),
        ("with ageing", Order::Key(AGEING)),
        ("earliest deadline", Order::Key(EARLIEST)),
        ("priority, slack", Order::Key(SLACK)),
        ("value per work", Order::Key(VALUE)),
        ("waiting room", Order::Room),
    ]
}

/// Returns the smallest share of in-time or late requests that an account has.
fn least_served(outcomes: &Outcomes) -> f64 {
    let rows = outcomes
        .0
        .iter()
        .filter(|((is_training, ..), _)| !is_training);
    let shares = rows.map(|(_, row)| {
        f64::from(row.in_time + row.late) / f64::from(row.in_time + row.late + row.refused)
    });
    shares.fold(1.0, f64::min)
}

#[test]
fn the_room_costs_callers_less_than_arrival_order_and_strict_priority() {
    for (name, load) in loads() {
        println!(
            "load: {name}\norder | refused % by priority | late % | cost | least served account % \
             | training done %, longest wait s"
        );
        let arrivals = arrivals(&load, SEED);
        let outcomes = orders().map(|(order_name, order)| {
            let outcomes = run(&load, order, &arrivals);
            print_row(order_name, &outcomes);
            outcomes
        });
        let [first_come, strict, .., room] = &outcomes;
        let cost = room.cost();
        assert!(cost < first_come.cost(), "{name}: {cost}");
        assert!(cost < strict.cost(), "{name}: {cost}");
        assert!(least_served(room) > least_served(strict), "{name}");
        let training = room.training();
        assert_eq!(training.refused, 0, "{name}: samples were not run");
        assert!(training.longest_wait_ms < 10_000, "{name}: {training:?}");
    }
}

#[test]
fn a_large_account_takes_nothing_of_the_part_of_others() {
    let [.., (_, large)] = loads();
    let outcomes = run(&large, Order::Room, &arrivals(&large, SEED));
    let share = |account: &str| {
        let row = outcomes.of(account);
        f64::from(row.in_time) / f64::from(row.in_time + row.late + row.refused)
    };
    // Both have the same priority, and the second asks for far less than half.
    let (of_large, of_small) = (share("account-2"), share("account-3"));
    println!("in time: {of_large:.2} of the large account, {of_small:.2} of a small one");
    assert!(of_small > 0.9, "{of_small}");
    assert!(of_large > 0.5, "{of_large}");
}

fn print_row(order: &str, outcomes: &Outcomes) {
    let share = |priority: Option<u8>, value| {
        let all = outcomes.callers(priority, |row| row.in_time + row.late + row.refused);
        100.0 * outcomes.callers(priority, value) / all.max(1.0)
    };
    let refused = [0, 1, 2].map(|priority| share(Some(priority), |row| row.refused));
    let late = share(None, |row| row.late);
    let training = outcomes.training();
    let done = f64::from(training.in_time) / f64::from(training.in_time + training.refused);
    println!(
        "{order} | {refused:.0?} | {late:.0} | {:.2} | {:.0} | {:.0}, {:.1}",
        outcomes.cost(),
        100.0 * least_served(outcomes),
        100.0 * done,
        to_f64(training.longest_wait_ms) / 1_000.0
    );
}
