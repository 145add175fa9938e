//! A simulated daemon, which drives the same core as the real process.

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

use super::{Event, Message, Node, World, rebase_vouches};

const EXCHANGE_TIMEOUT_MS: u64 = 2_000;
const CONFIRM_TIMEOUT_MS: u64 = 3_000;
const MIN_POLL_INTERVAL_MS: u64 = 2_000;
const MAX_POLL_INTERVAL_MS: u64 = 4_000;

/// A daemon and the exchanges that it waits for.
#[derive(Debug)]
pub struct Daemon {
    pub incarnation: u64,
    pub replica: Replica,
    pub freshness: Freshness,
    expected: BTreeMap<Name, Name>,
    me: Name,
    poll_round: u64,
    last_exchange: u64,
    /// The purpose of each exchange without an answer yet.
    pending: BTreeMap<u64, Purpose>,
}

#[derive(Clone, Debug)]
enum Purpose {
    ReadNumber {
        asked_ms: u64,
    },
    CatchUp {
        asked_ms: u64,
        number: u64,
    },
    GetVouches {
        asked_ms: u64,
    },
    Submit(Box<Submit>),
    /// An announcement for the `AwaitQuorum` exchange with this number.
    Announce(u64),
    AwaitQuorum {
        submit: Box<Submit>,
        number: u64,
        in_force: BTreeSet<usize>,
    },
}

#[derive(Clone, Debug)]
struct Submit {
    submission: Submission,
    operator: usize,
    /// The number of the operator's send that gets the answer.
    send: u64,
}

/// Creates the daemons of all data centres, which expect each other.
pub fn create_daemons(data_centres: &[usize]) -> Vec<Daemon> {
    let data_centre_of_vm = data_centres
        .iter()
        .enumerate()
        .flat_map(|(data_centre, count)| std::iter::repeat_n(data_centre, *count));
    let expected: BTreeMap<Name, Name> = data_centre_of_vm
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

fn vm_index(name: &str) -> usize {
    name.trim_start_matches("vm-")
        .parse()
        .expect("a VM name ends in its index")
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
            poll_round: 0,
            last_exchange: 0,
            pending: BTreeMap::new(),
        }
    }

    /// Restarts with no state but the list of expected members.
    pub fn restart(&mut self, now_ms: u64) {
        *self = Self {
            incarnation: self.incarnation + 1,
            last_exchange: self.last_exchange + 1_000_000,
            ..Self::new(self.me.clone(), now_ms, self.expected.clone())
        };
    }

    fn number(&self) -> u64 {
        self.replica.versioned().number
    }

    fn apply_update(&mut self, update: Update) {
        self.replica
            .apply_update(update)
            .expect("the changes apply");
        self.freshness
            .on_version_in_force(self.replica.versioned().number);
    }
}

impl World {
    fn start_exchange(&mut self, daemon: usize, purpose: Purpose) -> u64 {
        let state = &mut self.daemons[daemon];
        state.last_exchange += 1;
        let exchange = state.last_exchange;
        let timeout_ms = if matches!(purpose, Purpose::AwaitQuorum { .. }) {
            CONFIRM_TIMEOUT_MS
        } else {
            EXCHANGE_TIMEOUT_MS
        };
        state.pending.insert(exchange, purpose);
        let at_ms = self.sim.now_ms + timeout_ms;
        self.sim
            .schedule_at(at_ms, Event::ExchangeTimedOut(daemon, exchange));
        exchange
    }

    /// Reads the current number from the table, and asks members for vouches if
    /// the table's answers are not fresh enough.
    pub fn poll(&mut self, daemon: usize) {
        let now_ms = self.sim.now_ms;
        let exchange = self.start_exchange(daemon, Purpose::ReadNumber { asked_ms: now_ms });
        let keys = vec![NUMBER_KEY.into()];
        self.send(
            Node::Daemon(daemon),
            Node::Table,
            Message::Get(exchange, keys),
        );
        let state = &mut self.daemons[daemon];
        state.poll_round += 1;
        let mut wait_ms = self
            .sim
            .rng
            .random_range(MIN_POLL_INTERVAL_MS..=MAX_POLL_INTERVAL_MS);
        if state.freshness.must_ask_members(now_ms) {
            wait_ms = state.freshness.ask_interval_ms(now_ms);
            for member in state.freshness.members_to_ask(now_ms, state.poll_round) {
                let exchange =
                    self.start_exchange(daemon, Purpose::GetVouches { asked_ms: now_ms });
                let to = Node::Daemon(vm_index(&member));
                self.send(Node::Daemon(daemon), to, Message::GetVouches(exchange));
            }
        }
        self.sim.schedule_at(now_ms + wait_ms, Event::Poll(daemon));
    }

    pub fn on_table_request(&mut self, from: Node, message: Message) {
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
            other => panic!("the table got an unexpected message: {other:?}"),
        };
        self.send(Node::Table, from, answer);
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

    pub fn on_daemon_message(&mut self, daemon: usize, from: Node, message: Message) {
        let node = Node::Daemon(daemon);
        let now_ms = self.sim.now_ms;
        match message {
            Message::GetVouches(exchange) => {
                let state = &self.daemons[daemon];
                let list = state.freshness.vouches(now_ms, true);
                let list =
                    list.map(|(vm, vouch)| (vm.clone(), now_ms - vouch.asked_ms, vouch.number));
                let answer = Message::Vouches(exchange, state.number(), list.collect());
                self.send(node, from, answer);
            }
            Message::GetUpdateSince(exchange, number) => {
                let update = self.daemons[daemon].replica.update_since(number);
                self.send(node, from, Message::UpdateSince(exchange, update));
            }
            Message::Announce(exchange, change) => {
                let state = &mut self.daemons[daemon];
                let number = change.number;
                state.apply_update(Update::Changes(vec![change]));
                let in_force = state.number();
                if in_force < number {
                    let exchange = self.start_exchange(
                        daemon,
                        Purpose::CatchUp {
                            asked_ms: now_ms,
                            number,
                        },
                    );
                    self.send(node, from, Message::GetUpdateSince(exchange, in_force));
                }
                self.send(node, from, Message::Announced(exchange, in_force));
            }
            Message::Patch(send, patch) => {
                let Node::Operator(operator) = from else {
                    return;
                };
                let submission = Submission::new(patch);
                self.run_submit_step(
                    daemon,
                    Submit {
                        submission,
                        operator,
                        send,
                    },
                    SubmitStep::Read,
                );
            }
            answer => self.on_answer(daemon, from, answer),
        }
    }

    fn on_answer(&mut self, daemon: usize, from: Node, message: Message) {
        let (Message::Got(exchange, _)
        | Message::Scanned(exchange, _)
        | Message::Transacted(exchange, _)
        | Message::Vouches(exchange, ..)
        | Message::UpdateSince(exchange, _)
        | Message::Announced(exchange, _)) = &message
        else {
            return;
        };
        // Duplicate and late answers belong to no pending exchange.
        let Some(purpose) = self.daemons[daemon].pending.remove(exchange) else {
            return;
        };
        match (purpose, message) {
            (Purpose::ReadNumber { asked_ms }, Message::Got(_, rows)) => {
                self.on_number(daemon, asked_ms, &rows[0]);
            }
            (Purpose::CatchUp { asked_ms, number }, Message::Scanned(_, changes)) => {
                self.daemons[daemon].apply_update(Update::Changes(changes));
                self.daemons[daemon]
                    .freshness
                    .on_table_read(asked_ms, number);
            }
            (Purpose::CatchUp { .. }, Message::UpdateSince(_, update)) => {
                self.daemons[daemon].apply_update(update);
            }
            (Purpose::GetVouches { asked_ms }, Message::Vouches(_, number, list)) => {
                let state = &mut self.daemons[daemon];
                for (vm, vouch) in rebase_vouches(&list, asked_ms) {
                    state.freshness.on_member_vouch(vm, vouch);
                }
                let own_number = state.number();
                if number > own_number {
                    let exchange =
                        self.start_exchange(daemon, Purpose::CatchUp { asked_ms, number });
                    self.send(
                        Node::Daemon(daemon),
                        from,
                        Message::GetUpdateSince(exchange, own_number),
                    );
                }
            }
            (Purpose::Submit(submit), message) => self.on_submit_answer(daemon, *submit, message),
            (Purpose::Announce(quorum_exchange), Message::Announced(_, number)) => {
                self.on_announced(daemon, quorum_exchange, from, number);
            }
            _ => {}
        }
    }

    fn on_number(&mut self, daemon: usize, asked_ms: u64, row: &Row) {
        let number =
            serde_json::from_value(row.value.clone()).map_or(0, |row: NumberRow| row.number);
        let own_number = self.daemons[daemon].number();
        self.daemons[daemon]
            .freshness
            .on_table_read(asked_ms, number);
        if number > own_number {
            self.catch_up(daemon, asked_ms, number);
        }
    }

    fn catch_up(&mut self, daemon: usize, asked_ms: u64, number: u64) {
        let own_number = self.daemons[daemon].number();
        let exchange = self.start_exchange(daemon, Purpose::CatchUp { asked_ms, number });
        self.send(
            Node::Daemon(daemon),
            Node::Table,
            Message::ScanAfter(exchange, own_number),
        );
    }

    fn run_submit_step(&mut self, daemon: usize, mut submit: Submit, step: SubmitStep) {
        let node = Node::Daemon(daemon);
        match step {
            SubmitStep::Read => {
                let keys = submit.submission.keys().to_vec();
                let exchange = self.start_exchange(daemon, Purpose::Submit(Box::new(submit)));
                self.send(node, Node::Table, Message::Get(exchange, keys));
            }
            SubmitStep::CatchUp { .. } => {
                let number = self.daemons[daemon].number();
                let exchange = self.start_exchange(daemon, Purpose::Submit(Box::new(submit)));
                self.send(node, Node::Table, Message::ScanAfter(exchange, number));
            }
            SubmitStep::Write(transaction) => {
                let exchange = self.start_exchange(daemon, Purpose::Submit(Box::new(submit)));
                self.send(node, Node::Table, Message::Transact(exchange, transaction));
            }
            SubmitStep::Confirm { number } => {
                let change = submit
                    .submission
                    .change()
                    .expect("a patch has a change once it is written");
                self.daemons[daemon].apply_update(Update::Changes(vec![change.clone()]));
                if self.daemons[daemon].number() < number {
                    let step = submit.submission.on_confirmed(false);
                    return self.run_submit_step(daemon, submit, step);
                }
                self.announce_change(daemon, submit, &change);
            }
            SubmitStep::Done(result) => {
                let to = Node::Operator(submit.operator);
                self.send(node, to, Message::PatchAnswer(submit.send, result));
            }
        }
    }

    fn announce_change(&mut self, daemon: usize, submit: Submit, change: &Change) {
        let number = change.number;
        let purpose = Purpose::AwaitQuorum {
            submit: Box::new(submit),
            number,
            in_force: BTreeSet::new(),
        };
        let quorum_exchange = self.start_exchange(daemon, purpose);
        for member in (0..self.daemons.len()).filter(|member| *member != daemon) {
            let exchange = self.start_exchange(daemon, Purpose::Announce(quorum_exchange));
            let message = Message::Announce(exchange, change.clone());
            self.send(Node::Daemon(daemon), Node::Daemon(member), message);
        }
        self.on_announced(daemon, quorum_exchange, Node::Daemon(daemon), number);
    }

    fn on_announced(
        &mut self,
        daemon: usize,
        quorum_exchange: u64,
        from: Node,
        announced_number: u64,
    ) {
        let state = &mut self.daemons[daemon];
        let Some(Purpose::AwaitQuorum {
            number, in_force, ..
        }) = state.pending.get_mut(&quorum_exchange)
        else {
            return;
        };
        if let Node::Daemon(member) = from
            && announced_number >= *number
        {
            in_force.insert(member);
        }
        let is_quorum = state
            .freshness
            .quorum()
            .is_some_and(|quorum| in_force.len() >= quorum);
        if is_quorum
            && let Some(Purpose::AwaitQuorum { mut submit, .. }) =
                state.pending.remove(&quorum_exchange)
        {
            let step = submit.submission.on_confirmed(true);
            self.run_submit_step(daemon, *submit, step);
        }
    }

    fn on_submit_answer(&mut self, daemon: usize, mut submit: Submit, message: Message) {
        let step = match message {
            Message::Got(_, rows) => {
                let current = self.daemons[daemon].replica.versioned().clone();
                submit.submission.on_read(&rows[0], &rows[1], &current)
            }
            Message::Scanned(_, changes) => {
                self.daemons[daemon].apply_update(Update::Changes(changes));
                SubmitStep::Read
            }
            Message::Transacted(_, true) => submit.submission.on_written(WriteOutcome::Committed),
            Message::Transacted(_, false) => submit.submission.on_written(WriteOutcome::NotWritten),
            other => panic!("unexpected answer to a submission: {other:?}"),
        };
        self.run_submit_step(daemon, submit, step);
    }

    pub fn on_timeout(&mut self, daemon: usize, exchange: u64) {
        match self.daemons[daemon].pending.remove(&exchange) {
            // Reads and writes aren't distinguished here: both count as a write with
            // an unknown outcome, which is the harder case.
            Some(Purpose::Submit(mut submit)) => {
                let step = submit.submission.on_written(WriteOutcome::Unknown);
                self.run_submit_step(daemon, *submit, step);
            }
            Some(Purpose::AwaitQuorum { mut submit, .. }) => {
                let step = submit.submission.on_confirmed(false);
                self.run_submit_step(daemon, *submit, step);
            }
            _ => {}
        }
    }
}
