//! A daemon's part in a story: the same core as in the process, fed by events.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use chicoryreach::{
    core::{
        Name,
        config::{
            Change, Freshness, HISTORY_KEY_PREFIX, NUMBER_KEY, NumberRow, Replica, Submission,
            SubmitStep, Update, WriteOutcome, history_key,
        },
    },
    wire::platform::Row,
};
use rand::Rng;

use super::{Event, Message, Place, World, vouches};

const TIMEOUT_MS: u64 = 2_000;
const CONFIRM_MS: u64 = 3_000;
const MIN_POLL_MS: u64 = 2_000;
const MAX_POLL_MS: u64 = 4_000;

/// One daemon.
#[derive(Debug)]
pub struct Daemon {
    pub incarnation: u64,
    pub replica: Replica,
    pub freshness: Freshness,
    expected: BTreeMap<Name, Name>,
    me: Name,
    turn: u64,
    exchanges: u64,
    /// What each exchange under way is for.
    pending: BTreeMap<u64, Purpose>,
}

#[derive(Clone, Debug)]
enum Purpose {
    Number {
        asked_ms: u64,
    },
    CatchUp {
        asked_ms: u64,
        number: u64,
    },
    Vouches {
        asked_ms: u64,
    },
    Submit(Box<Submit>),
    Confirm(u64),
    Confirming {
        submit: Box<Submit>,
        number: u64,
        in_force: BTreeSet<usize>,
    },
}

#[derive(Clone, Debug)]
struct Submit {
    submission: Submission,
    operator: usize,
    asked: u64,
}

/// Creates the daemons of all data centres.
pub fn all(data_centres: &[usize]) -> Vec<Daemon> {
    let places = data_centres
        .iter()
        .enumerate()
        .flat_map(|(data_centre, count)| std::iter::repeat_n(data_centre, *count));
    let expected: BTreeMap<Name, Name> = places
        .enumerate()
        .map(|(vm, data_centre)| (vm_name(vm), format!("dc-{data_centre}").into()))
        .collect();
    let daemons =
        (0..expected.len()).map(|number| Daemon::new(vm_name(number), 0, expected.clone()));
    daemons.collect()
}

fn vm_name(number: usize) -> Name {
    format!("vm-{number}").into()
}

fn vm_number(name: &str) -> usize {
    name.trim_start_matches("vm-")
        .parse()
        .expect("it ends in a number")
}

impl Daemon {
    fn new(me: Name, started_ms: u64, expected: BTreeMap<Name, Name>) -> Self {
        let mut freshness = Freshness::new(me.clone(), started_ms);
        freshness.on_expected_members(expected.clone());
        Self {
            incarnation: 0,
            replica: Replica::default(),
            freshness,
            expected,
            me,
            turn: 0,
            exchanges: 0,
            pending: BTreeMap::new(),
        }
    }

    /// Starts anew with nothing but the list of members.
    pub fn restart(&mut self, now_ms: u64) {
        *self = Self {
            incarnation: self.incarnation + 1,
            exchanges: self.exchanges + 1_000_000,
            ..Self::new(self.me.clone(), now_ms, self.expected.clone())
        };
    }

    fn number(&self) -> u64 {
        self.replica.versioned().number
    }

    fn put_in_force(&mut self, update: Update) {
        self.replica.apply_update(update).expect("changes fit");
        self.freshness
            .on_version_in_force(self.replica.versioned().number);
    }
}

impl World {
    fn start(&mut self, daemon: usize, purpose: Purpose) -> u64 {
        let it = &mut self.daemons[daemon];
        it.exchanges += 1;
        let exchange = it.exchanges;
        let timeout_ms = if matches!(purpose, Purpose::Confirming { .. }) {
            CONFIRM_MS
        } else {
            TIMEOUT_MS
        };
        it.pending.insert(exchange, purpose);
        let at_ms = self.sim.now_ms + timeout_ms;
        self.sim.at(at_ms, Event::Timeout(daemon, exchange));
        exchange
    }

    /// Reads the number, and asks members where the table does not vouch.
    pub fn poll(&mut self, daemon: usize) {
        let now_ms = self.sim.now_ms;
        let exchange = self.start(daemon, Purpose::Number { asked_ms: now_ms });
        let keys = vec![NUMBER_KEY.into()];
        self.send(
            Place::Daemon(daemon),
            Place::Table,
            Message::Get(exchange, keys),
        );
        let it = &mut self.daemons[daemon];
        it.turn += 1;
        let mut wait_ms = self.sim.rng.random_range(MIN_POLL_MS..=MAX_POLL_MS);
        if it.freshness.must_ask_members(now_ms) {
            wait_ms = it.freshness.ask_interval_ms(now_ms);
            for member in it.freshness.members_to_ask(now_ms, it.turn) {
                let exchange = self.start(daemon, Purpose::Vouches { asked_ms: now_ms });
                let to = Place::Daemon(vm_number(&member));
                self.send(Place::Daemon(daemon), to, Message::AskVouches(exchange));
            }
        }
        self.sim.at(now_ms + wait_ms, Event::Poll(daemon));
    }

    pub fn on_table(&mut self, from: Place, message: Message) {
        let answer = match message {
            Message::Get(exchange, keys) => {
                Message::Got(exchange, keys.iter().map(|key| self.row(key)).collect())
            }
            Message::ScanAfter(exchange, number) => {
                Message::Scanned(exchange, self.changes_after(number))
            }
            Message::Transact(exchange, transaction) => {
                Message::Transacted(exchange, self.table.transact(&transaction).committed)
            }
            other => panic!("the table was sent {other:?}"),
        };
        self.send(Place::Table, from, answer);
    }

    fn row(&self, key: &Arc<str>) -> Row {
        let (row_version, value) = self.table.get(key);
        Row {
            key: key.clone(),
            row_version,
            value,
        }
    }

    fn changes_after(&self, number: u64) -> Vec<Change> {
        let rows = (number + 1..).map(|number| self.table.get(&history_key(number)));
        let rows = rows.take_while(|(row_version, _)| *row_version > 0);
        rows.map(|(_, value)| serde_json::from_value(value).expect(HISTORY_KEY_PREFIX))
            .collect()
    }

    pub fn on_daemon(&mut self, daemon: usize, from: Place, message: Message) {
        let here = Place::Daemon(daemon);
        let now_ms = self.sim.now_ms;
        match message {
            Message::AskVouches(exchange) => {
                let it = &self.daemons[daemon];
                let list = it.freshness.vouches(now_ms, true);
                let list =
                    list.map(|(vm, vouch)| (vm.clone(), now_ms - vouch.asked_ms, vouch.number));
                let answer = Message::Vouches(exchange, it.number(), list.collect());
                self.send(here, from, answer);
            }
            Message::AskSince(exchange, number) => {
                let update = self.daemons[daemon].replica.update_since(number);
                self.send(here, from, Message::Since(exchange, update));
            }
            Message::Announce(exchange, change) => {
                let it = &mut self.daemons[daemon];
                let number = change.number;
                it.put_in_force(Update::Changes(vec![change]));
                let in_force = it.number();
                if in_force < number {
                    let exchange = self.start(
                        daemon,
                        Purpose::CatchUp {
                            asked_ms: now_ms,
                            number,
                        },
                    );
                    self.send(here, from, Message::AskSince(exchange, in_force));
                }
                self.send(here, from, Message::Announced(exchange, in_force));
            }
            Message::Patch(asked, patch) => {
                let Place::Operator(operator) = from else {
                    return;
                };
                let submission = Submission::new(patch);
                self.step(
                    daemon,
                    Submit {
                        submission,
                        operator,
                        asked,
                    },
                    SubmitStep::Read,
                );
            }
            answer => self.on_answer(daemon, from, answer),
        }
    }

    fn on_answer(&mut self, daemon: usize, from: Place, message: Message) {
        let (Message::Got(exchange, _)
        | Message::Scanned(exchange, _)
        | Message::Transacted(exchange, _)
        | Message::Vouches(exchange, ..)
        | Message::Since(exchange, _)
        | Message::Announced(exchange, _)) = &message
        else {
            return;
        };
        // What arrives twice, or after its time, finds nobody who waits for it.
        let Some(purpose) = self.daemons[daemon].pending.remove(exchange) else {
            return;
        };
        match (purpose, message) {
            (Purpose::Number { asked_ms }, Message::Got(_, rows)) => {
                self.on_number(daemon, asked_ms, &rows[0]);
            }
            (Purpose::CatchUp { asked_ms, number }, Message::Scanned(_, changes)) => {
                self.daemons[daemon].put_in_force(Update::Changes(changes));
                self.daemons[daemon]
                    .freshness
                    .on_table_read(asked_ms, number);
            }
            (Purpose::CatchUp { .. }, Message::Since(_, update)) => {
                self.daemons[daemon].put_in_force(update);
            }
            (Purpose::Vouches { asked_ms }, Message::Vouches(_, number, list)) => {
                let it = &mut self.daemons[daemon];
                for (vm, vouch) in vouches(&list, asked_ms) {
                    it.freshness.on_member_vouch(vm, vouch);
                }
                let here = it.number();
                if number > here {
                    let exchange = self.start(daemon, Purpose::CatchUp { asked_ms, number });
                    self.send(
                        Place::Daemon(daemon),
                        from,
                        Message::AskSince(exchange, here),
                    );
                }
            }
            (Purpose::Submit(submit), message) => self.on_submit(daemon, *submit, message),
            (Purpose::Confirm(confirming), Message::Announced(_, number)) => {
                self.on_announced(daemon, confirming, from, number);
            }
            _ => {}
        }
    }

    fn on_number(&mut self, daemon: usize, asked_ms: u64, row: &Row) {
        let number =
            serde_json::from_value(row.value.clone()).map_or(0, |row: NumberRow| row.number);
        let here = self.daemons[daemon].number();
        self.daemons[daemon]
            .freshness
            .on_table_read(asked_ms, number);
        if number > here {
            self.catch_up(daemon, asked_ms, number);
        }
    }

    fn catch_up(&mut self, daemon: usize, asked_ms: u64, number: u64) {
        let here = self.daemons[daemon].number();
        let exchange = self.start(daemon, Purpose::CatchUp { asked_ms, number });
        self.send(
            Place::Daemon(daemon),
            Place::Table,
            Message::ScanAfter(exchange, here),
        );
    }

    fn step(&mut self, daemon: usize, mut submit: Submit, step: SubmitStep) {
        let here = Place::Daemon(daemon);
        match step {
            SubmitStep::Read => {
                let keys = submit.submission.keys().to_vec();
                let exchange = self.start(daemon, Purpose::Submit(Box::new(submit)));
                self.send(here, Place::Table, Message::Get(exchange, keys));
            }
            SubmitStep::CatchUp { .. } => {
                let number = self.daemons[daemon].number();
                let exchange = self.start(daemon, Purpose::Submit(Box::new(submit)));
                self.send(here, Place::Table, Message::ScanAfter(exchange, number));
            }
            SubmitStep::Write(transaction) => {
                let exchange = self.start(daemon, Purpose::Submit(Box::new(submit)));
                self.send(here, Place::Table, Message::Transact(exchange, transaction));
            }
            SubmitStep::Confirm { number } => {
                let change = submit.submission.change().expect("it is written");
                self.daemons[daemon].put_in_force(Update::Changes(vec![change.clone()]));
                if self.daemons[daemon].number() < number {
                    let step = submit.submission.on_confirmed(false);
                    return self.step(daemon, submit, step);
                }
                self.announce(daemon, submit, &change);
            }
            SubmitStep::Done(result) => {
                let to = Place::Operator(submit.operator);
                self.send(here, to, Message::Answer(submit.asked, result));
            }
        }
    }

    fn announce(&mut self, daemon: usize, submit: Submit, change: &Change) {
        let number = change.number;
        let purpose = Purpose::Confirming {
            submit: Box::new(submit),
            number,
            in_force: BTreeSet::new(),
        };
        let confirming = self.start(daemon, purpose);
        for member in (0..self.daemons.len()).filter(|member| *member != daemon) {
            let exchange = self.start(daemon, Purpose::Confirm(confirming));
            let message = Message::Announce(exchange, change.clone());
            self.send(Place::Daemon(daemon), Place::Daemon(member), message);
        }
        self.on_announced(daemon, confirming, Place::Daemon(daemon), number);
    }

    fn on_announced(&mut self, daemon: usize, confirming: u64, from: Place, shown: u64) {
        let it = &mut self.daemons[daemon];
        let Some(Purpose::Confirming {
            number, in_force, ..
        }) = it.pending.get_mut(&confirming)
        else {
            return;
        };
        if let Place::Daemon(member) = from
            && shown >= *number
        {
            in_force.insert(member);
        }
        let is_quorum = it
            .freshness
            .quorum()
            .is_some_and(|quorum| in_force.len() >= quorum);
        if is_quorum
            && let Some(Purpose::Confirming { mut submit, .. }) = it.pending.remove(&confirming)
        {
            let step = submit.submission.on_confirmed(true);
            self.step(daemon, *submit, step);
        }
    }

    fn on_submit(&mut self, daemon: usize, mut submit: Submit, message: Message) {
        let step = match message {
            Message::Got(_, rows) => {
                let current = self.daemons[daemon].replica.versioned().clone();
                submit.submission.on_read(&rows[0], &rows[1], &current)
            }
            Message::Scanned(_, changes) => {
                self.daemons[daemon].put_in_force(Update::Changes(changes));
                SubmitStep::Read
            }
            Message::Transacted(_, true) => submit.submission.on_written(WriteOutcome::Committed),
            Message::Transacted(_, false) => submit.submission.on_written(WriteOutcome::NotWritten),
            other => panic!("a patch was answered with {other:?}"),
        };
        self.step(daemon, submit, step);
    }

    pub fn on_timeout(&mut self, daemon: usize, exchange: u64) {
        match self.daemons[daemon].pending.remove(&exchange) {
            // Whether it was a read or a write is not told apart here: taken
            // for a write, it is the harder case.
            Some(Purpose::Submit(mut submit)) => {
                let step = submit.submission.on_written(WriteOutcome::Unknown);
                self.step(daemon, *submit, step);
            }
            Some(Purpose::Confirming { mut submit, .. }) => {
                let step = submit.submission.on_confirmed(false);
                self.step(daemon, *submit, step);
            }
            _ => {}
        }
    }
}
