//! A trainer: opens steps, fetches samples, trains, publishes new weights.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    ops::RangeInclusive,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use chicoryreach::{
    core::{Name, config::VersionedDocument},
    daemon::{HttpClient, HttpError},
    error::ErrorKind,
    wire::{
        callers::ErrorBody,
        operators::{Accepted, Patch},
        trainers::{Acknowledge, AcknowledgedCursor, Fetch, Fetched, OpenStep, Slot},
    },
};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;

use crate::oracle::Verdict;

/// Longer than a daemon waits for a commit.
const TIMEOUT_MS: u64 = 6_000;
const POLL_MS: u64 = 20;
const RETRY_MS: u64 = 200;

/// What a trainer asks for.
#[derive(Clone, Debug)]
pub struct TrainerSettings {
    /// The trainer's name.
    pub trainer: Name,
    /// The service that generates for it.
    pub service: Name,
    /// The prompts, one a group.
    pub prompts: Vec<Arc<str>>,
    /// Samples in a group.
    pub samples_per_group: u32,
    /// The most tokens a sample has.
    pub max_tokens: u32,
    /// The agreed staleness bound, in versions.
    pub staleness_bound: u64,
    /// How many steps to train.
    pub steps: u64,
    /// How long training on a step's samples takes, in milliseconds.
    pub train_ms: u64,
    /// When to give up.
    pub deadline: Instant,
}

/// A trainer and where it found its ledger.
#[derive(Debug)]
pub struct Trainer {
    http: HttpClient,
    settings: TrainerSettings,
    callers: Vec<SocketAddr>,
    control: Vec<SocketAddr>,
    address: SocketAddr,
    tries: usize,
    cursor: u64,
    weights_version: u64,
    seen: BTreeSet<Slot>,
    /// How many samples of each step it has.
    taken: BTreeMap<u64, u64>,
    /// The last step that it has opened.
    opened: u64,
    /// The longest time for which nobody took a call, from the first refusal or
    /// from a call that broke off.
    pub longest_gap: Duration,
    /// How long it did not train: it waited for samples or for a call.
    pub idle: Duration,
    /// How long it ran.
    pub total: Duration,
}

impl Trainer {
    /// Creates a trainer that starts with weights version 1.
    ///
    /// # Panics
    ///
    /// If `callers` is empty.
    #[must_use]
    pub fn new(
        settings: TrainerSettings,
        callers: Vec<SocketAddr>,
        control: Vec<SocketAddr>,
    ) -> Self {
        Self {
            http: HttpClient::new(),
            settings,
            address: callers[0],
            callers,
            control,
            tries: 0,
            cursor: 0,
            weights_version: 1,
            seen: BTreeSet::new(),
            taken: BTreeMap::new(),
            opened: 0,
            longest_gap: Duration::ZERO,
            idle: Duration::ZERO,
            total: Duration::ZERO,
        }
    }

    /// Trains every step, and notes in `verdict` what was seen.
    pub async fn run(&mut self, verdict: &mut Verdict) {
        self.run_steps(1..=self.settings.steps, verdict).await;
    }

    /// Returns where the ledger was found last.
    #[must_use]
    pub const fn holder_address(&self) -> SocketAddr {
        self.address
    }

    /// Trains some steps, and notes in `verdict` what was seen.
    pub async fn run_steps(&mut self, steps: RangeInclusive<u64>, verdict: &mut Verdict) {
        let started = Instant::now();
        let mut trained = Duration::ZERO;
        for step in steps {
            // The next step's samples are generated while this one is trained.
            self.open_until(step + 1).await;
            let missing = self.collect(step, verdict).await;
            verdict.lost += missing;
            if missing > 0 {
                verdict
                    .broken_promises
                    .push(format!("step {step} misses {missing} samples"));
                break;
            }
            let training = Instant::now();
            tokio::time::sleep(Duration::from_millis(self.settings.train_ms)).await;
            trained += training.elapsed();
            self.weights_version += 1;
            self.publish().await;
            println!(
                "step {step} trained, weights {} published",
                self.weights_version
            );
        }
        self.total += started.elapsed();
        self.idle += started.elapsed().saturating_sub(trained);
    }

    /// Opens the steps up to this one that are not open yet.
    async fn open_until(&mut self, last: u64) {
        let last = last.min(self.settings.steps);
        while self.opened < last {
            self.open(self.opened + 1).await;
            self.opened += 1;
        }
    }

    async fn open(&mut self, step: u64) {
        let request = OpenStep {
            step,
            weights_version: self.weights_version,
            prompts: self.settings.prompts.clone(),
            samples_per_group: self.settings.samples_per_group,
            max_tokens: self.settings.max_tokens,
            staleness_bound: self.settings.staleness_bound,
        };
        let _: Option<AcknowledgedCursor> = self.ask("steps", &request).await;
    }

    /// Fetches until the step is whole, and returns how many samples miss.
    async fn collect(&mut self, step: u64, verdict: &mut Verdict) -> u64 {
        const LIMIT: u32 = 256;
        let wanted =
            self.settings.prompts.len() as u64 * u64::from(self.settings.samples_per_group);
        while self.have(step) < wanted && Instant::now() < self.settings.deadline {
            let fetch = Fetch {
                cursor: self.cursor,
                weights_version: self.weights_version,
                limit: LIMIT,
            };
            let Some(fetched): Option<Fetched> = self.ask("fetch", &fetch).await else {
                break;
            };
            for sample in &fetched.samples {
                let (version, bound) = (self.weights_version, self.settings.staleness_bound);
                verdict.check_sample(
                    &mut self.seen,
                    sample,
                    version,
                    bound,
                    self.settings.max_tokens,
                );
                *self.taken.entry(sample.slot.step).or_default() += 1;
            }
            self.cursor = fetched.next_cursor;
            if fetched.samples.is_empty() {
                tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
            }
        }
        // A cursor that is fetched from says already what the trainer has; the
        // acknowledgement frees the step's rows and objects.
        let ack = Acknowledge {
            cursor: self.cursor,
            weights_version: self.weights_version,
        };
        let _: Option<AcknowledgedCursor> = self.ask("acknowledge", &ack).await;
        wanted.saturating_sub(self.have(step))
    }

    fn have(&self, step: u64) -> u64 {
        self.taken.get(&step).copied().unwrap_or_default()
    }

    /// Asks the ledger's holder, going where it is told, until the deadline.
    async fn ask<T, A>(&mut self, what: &str, request: &T) -> Option<A>
    where
        T: Serialize + Sync,
        A: DeserializeOwned,
    {
        let path = format!("/v1/trainers/{}/{what}", self.settings.trainer);
        let mut refused: Option<Instant> = None;
        while Instant::now() < self.settings.deadline {
            let asked = Instant::now();
            let answer = self
                .http
                .post_json(self.address, &path, request, TIMEOUT_MS)
                .await;
            let error = match answer {
                Ok(answer) => {
                    let gap = refused.map_or(Duration::ZERO, |from| from.elapsed());
                    self.longest_gap = self.longest_gap.max(gap);
                    return Some(answer);
                }
                Err(error) => error,
            };
            let is_refusal = matches!(error, HttpError::Status(..));
            refused.get_or_insert(if is_refusal { Instant::now() } else { asked });
            match moved_to(&error) {
                Some(address) if address != self.address => {
                    self.address = address;
                    // Two daemons may each take the other for the holder.
                    tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
                }
                _ if kind(&error) == Some(ErrorKind::PlatformUnavailable) => {
                    tokio::time::sleep(retry_after(&error)).await;
                }
                _ => {
                    tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
                    self.tries += 1;
                    self.address = self.callers[self.tries % self.callers.len()];
                }
            }
        }
        None
    }

    /// Has the new weights brought onto the samplers.
    async fn publish(&mut self) {
        let id = format!("{}-weights-{}", self.settings.trainer, self.weights_version);
        let services = json!({&*self.settings.service: {"weights_version": self.weights_version}});
        for try_number in 0.. {
            if Instant::now() >= self.settings.deadline {
                return;
            }
            let control = self.control[try_number % self.control.len()];
            let config: Result<VersionedDocument, _> = self
                .http
                .get_json(control, "/operator/config", TIMEOUT_MS)
                .await;
            if let Ok(config) = config {
                let merge = json!({"services": services});
                let patch = Patch {
                    id: id.as_str().into(),
                    against: config.number,
                    merge,
                };
                let answer: Result<Accepted, _> = self
                    .http
                    .post_json(control, "/operator/patch", &patch, TIMEOUT_MS)
                    .await;
                // An id that was used is this very patch, with an earlier number.
                let is_done = answer.is_ok()
                    || answer.is_err_and(|error| kind(&error) == Some(ErrorKind::IdReused));
                if is_done {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

fn error_body(error: &HttpError) -> Option<ErrorBody> {
    let HttpError::Status(_, body) = error else {
        return None;
    };
    serde_json::from_slice(body).ok()
}

fn kind(error: &HttpError) -> Option<ErrorKind> {
    Some(error_body(error)?.kind)
}

/// Returns how long to wait until the time that a refusal names.
fn retry_after(error: &HttpError) -> Duration {
    let at_ms = error_body(error).and_then(|body| body.retry_at_ms);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
    let wait_ms = at_ms.map_or(RETRY_MS, |at_ms| at_ms.saturating_sub(now_ms));
    Duration::from_millis(wait_ms.max(POLL_MS))
}

fn moved_to(error: &HttpError) -> Option<SocketAddr> {
    error_body(error)?.address?.parse().ok()
}
