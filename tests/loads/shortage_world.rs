//! A service with too few slots, under orders of start that can be compared.

use std::collections::{BTreeMap, BTreeSet};

use chicoryreach::core::{
    Name,
    shortage::{
        Entry, FreePlaces, RefusalReason, Refused, RoomPolicy, Verdict, WaitingRoom, WorkKind,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

pub const SLOTS: u32 = 10;
const TICK_MS: u64 = 10;
pub const END_MS: u64 = 20_000;
/// The costs of a refused request by priority; a late one costs half.
const COSTS: [f64; 3] = [16.0, 4.0, 1.0];
const CALLER_PATIENCE_MS: u64 = 2_000;
const SAMPLE_PATIENCE_MS: u64 = 20_000;

/// Work that arrives, and how long it really takes.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub entry: Entry,
    real_ms: u64,
}

/// The load of callers in multiples of the slots, and the slots, at a time.
pub struct Load {
    pub callers: fn(u64) -> f64,
    pub slots: fn(u64) -> u32,
    /// The share of the requests that one account has.
    pub large_account: f64,
}

/// In which order waiting work starts.
#[derive(Clone, Copy)]
pub enum Order {
    /// The order that is smallest by a key; work leaves at its deadline.
    Key(fn(&Entry, u64) -> f64),
    Room,
}

/// What became of the work of one kind, priority and account.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    pub longest_wait_ms: u64,
    pub served_ms: u64,
}

#[derive(Default)]
pub struct Outcomes(pub BTreeMap<(bool, u8, Name), Outcome>);

impl Outcomes {
    /// Returns the sum of a value over callers of one priority, or of all.
    pub fn callers(&self, priority: Option<u8>, value: fn(&Outcome) -> u32) -> f64 {
        let rows = self.0.iter();
        rows.filter(|((is_training, of, _), _)| !is_training && priority.is_none_or(|p| p == *of))
            .map(|(_, outcome)| f64::from(value(outcome)))
            .sum()
    }

    /// Returns what delays and refusals cost callers, per request.
    pub fn cost(&self) -> f64 {
        let priorities = (0_u8..).zip(COSTS);
        let costs = priorities.map(|(priority, cost)| {
            let late = self.callers(Some(priority), |outcome| outcome.late);
            cost * (self.callers(Some(priority), |outcome| outcome.refused) + late / 2.0)
        });
        costs.sum::<f64>() / self.callers(None, |o| o.in_time + o.late + o.refused)
    }

    pub fn of(&self, account: &str) -> &Outcome {
        let mut rows = self.0.iter();
        let row = rows.find(|((is_training, _, name), _)| !is_training && &**name == account);
        row.expect("the account has requests").1
    }

    pub fn training(&self) -> Outcome {
        let rows = self.0.iter().filter(|((is_training, ..), _)| *is_training);
        rows.fold(Outcome::default(), |sum, (_, outcome)| Outcome {
            in_time: sum.in_time + outcome.in_time + outcome.late,
            refused: sum.refused + outcome.refused,
            longest_wait_ms: sum.longest_wait_ms.max(outcome.longest_wait_ms),
            ..sum
        })
    }
}

/// Draws the arrivals: callers of six accounts, two of each priority, with work sizes
/// spread over 1 to 100, and samples that take a tenth of the slots.
pub fn arrivals(load: &Load, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for now_ms in (0..END_MS).step_by(5) {
        // The mean of a log-uniform size from 5 to 500 ms is 107 ms.
        let per_tick = f64::from(SLOTS) * 5.0 / 107.0;
        let mut expected = (load.callers)(now_ms) * per_tick;
        while rng.random::<f64>() < expected {
            expected -= 1.0;
            arrivals.push(draw_caller(
                &mut rng,
                now_ms,
                load.large_account,
                arrivals.len(),
            ));
        }
        if rng.random_bool(0.1 * f64::from(SLOTS) * 5.0 / 400.0) {
            arrivals.push(draw_sample(&mut rng, now_ms, arrivals.len()));
        }
    }
    arrivals
}

fn draw_caller(rng: &mut SmallRng, now_ms: u64, large_account: f64, number: usize) -> Arrival {
    let account = if rng.random_bool(large_account) {
        2
    } else {
        rng.random_range(0..6)
    };
    let work_ms = 5.0 * 100_f64.powf(rng.random::<f64>());
    let entry = Entry {
        id: format!("r{number}").into(),
        kind: WorkKind::Request,
        priority: account / 2,
        account: Some(format!("account-{account}").into()),
        came_ms: now_ms,
        objective_at_ms: now_ms + 100 + rounded(3.0 * work_ms),
        deadline_ms: now_ms + CALLER_PATIENCE_MS,
        work_ms: rounded(work_ms),
    };
    with_real_time(rng, entry)
}

fn draw_sample(rng: &mut SmallRng, now_ms: u64, number: usize) -> Arrival {
    let entry = Entry {
        id: format!("s{number}").into(),
        kind: WorkKind::Sample,
        priority: 0,
        account: Some("trainer".into()),
        came_ms: now_ms,
        objective_at_ms: now_ms + SAMPLE_PATIENCE_MS / 2,
        deadline_ms: now_ms + SAMPLE_PATIENCE_MS,
        work_ms: rng.random_range(200..600),
    };
    with_real_time(rng, entry)
}

/// Estimates are off by up to a half.
fn with_real_time(rng: &mut SmallRng, entry: Entry) -> Arrival {
    let real_ms = entry.work_ms * rng.random_range(50..150) / 100;
    Arrival { entry, real_ms }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are small and positive"
)]
fn rounded(value: f64) -> u64 {
    value as u64
}

struct World {
    order: Order,
    room: WaitingRoom,
    /// The work that waits, by its number in the room.
    waiting: BTreeMap<u64, Arrival>,
    /// When running work ends.
    running: BTreeSet<(u64, u64)>,
    outcomes: Outcomes,
}

/// Runs arrivals in an order.
pub fn run(load: &Load, order: Order, arrivals: &[Arrival]) -> Outcomes {
    let mut world = World {
        order,
        room: WaitingRoom::new(RoomPolicy::DEFAULT),
        waiting: BTreeMap::new(),
        running: BTreeSet::new(),
        outcomes: Outcomes::default(),
    };
    let mut next = 0_usize;
    let end_ms = END_MS + SAMPLE_PATIENCE_MS;
    for now_ms in (0..end_ms).step_by(usize::try_from(TICK_MS).expect("short")) {
        world.running.retain(|(end_ms, _)| *end_ms > now_ms);
        while let Some(arrival) = arrivals.get(next).filter(|a| a.entry.came_ms <= now_ms) {
            let number = match order {
                Order::Room => world.room.enter(arrival.entry.clone()),
                Order::Key(_) => u64::try_from(next).expect("few"),
            };
            world.waiting.insert(number, arrival.clone());
            next += 1;
        }
        let running = u32::try_from(world.running.len()).expect("few");
        let free = (load.slots)(now_ms).saturating_sub(running);
        world.advance(now_ms, free);
    }
    world.outcomes
}

impl World {
    fn advance(&mut self, now_ms: u64, free: u32) {
        let verdicts = match self.order {
            Order::Room => self.room.advance(now_ms, FreePlaces::of_any_kind(free)),
            Order::Key(key) => self.advance_by_key(now_ms, free, key),
        };
        for (number, verdict) in verdicts {
            let arrival = self.waiting.remove(&number).expect("it waits");
            let entry = &arrival.entry;
            let key = (
                entry.kind.is_training(),
                entry.priority,
                entry.account.clone().expect("an account"),
            );
            let outcome = self.outcomes.0.entry(key).or_default();
            let Verdict::Start { .. } = verdict else {
                outcome.refused += 1;
                continue;
            };
            self.room.on_started(number);
            let end_ms = now_ms + arrival.real_ms;
            self.running.insert((end_ms, number));
            outcome.longest_wait_ms = outcome.longest_wait_ms.max(now_ms - entry.came_ms);
            outcome.served_ms += arrival.real_ms;
            match end_ms {
                end_ms if end_ms <= entry.objective_at_ms => outcome.in_time += 1,
                end_ms if end_ms <= entry.deadline_ms => outcome.late += 1,
                _ => outcome.refused += 1,
            }
        }
    }

    fn advance_by_key(
        &mut self,
        now_ms: u64,
        free: u32,
        key: fn(&Entry, u64) -> f64,
    ) -> Vec<(u64, Verdict)> {
        let mut verdicts = Vec::new();
        let mut order: Vec<(u64, &Entry)> = self
            .waiting
            .iter()
            .map(|(number, a)| (*number, &a.entry))
            .collect();
        order.sort_by(|a, b| key(a.1, now_ms).total_cmp(&key(b.1, now_ms)));
        let mut left = free;
        for (number, entry) in order {
            if entry.is_too_late(now_ms) {
                let retry_at_ms = now_ms;
                let reason = RefusalReason::TooLate;
                let refused = Refused {
                    reason,
                    retry_at_ms,
                };
                verdicts.push((number, Verdict::Refuse(refused)));
            } else if left > 0 {
                left -= 1;
                verdicts.push((number, Verdict::Start { is_reserved: false }));
            }
        }
        verdicts
    }
}
