//! A trainer that opens steps, fetches samples, trains and publishes weights.

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

/// The time limit of a call. It is longer than a daemon waits for a commit.
const CALL_TIMEOUT_MS: u64 = 6_000;
/// The delay after an empty fetch or a redirect to another daemon, and the
/// shortest retry delay.
const POLL_INTERVAL_MS: u64 = 20;
/// The delay before a failed call is retried.
const RETRY_DELAY_MS: u64 = 200;

/// The settings of a trainer.
#[derive(Clone, Debug)]
pub struct TrainerSettings {
    /// The trainer's name.
    pub trainer: Name,
    /// The service that generates for it.
    pub service: Name,
    /// The prompts, one for each group.
    pub prompts: Vec<Arc<str>>,
    /// The number of samples in a group.
    pub samples_per_group: u32,
    /// The largest number of tokens in a sample.
    pub max_tokens: u32,
    /// The largest number of versions by which a sample may be behind.
    pub staleness_bound: u64,
    /// The number of steps to train.
    pub steps: u64,
    /// The time that training on a step's samples takes, in milliseconds.
    pub train_ms: u64,
    /// The time at which the trainer stops retrying.
    pub deadline: Instant,
}

/// A trainer and the address of the daemon that holds its ledger.
#[derive(Debug)]
pub struct Trainer {
    http: HttpClient,
    settings: TrainerSettings,
    caller_addresses: Vec<SocketAddr>,
    control_addresses: Vec<SocketAddr>,
    /// The address of the last known holder of the ledger.
    holder_address: SocketAddr,
    /// The number of failed calls that moved on to the next caller address.
    failed_calls: usize,
    cursor: u64,
    weights_version: u64,
    delivered_slots: BTreeSet<Slot>,
    /// The number of samples received of each step.
    sample_counts: BTreeMap<u64, u64>,
    /// The last step that was opened.
    last_opened_step: u64,
    /// The longest time without a daemon that answered a call. It starts when
    /// the first refusal arrives, or when a call that failed otherwise was sent.
    pub longest_gap: Duration,
    /// The time spent waiting for samples or for calls instead of training.
    pub idle: Duration,
    /// The total running time.
    pub total: Duration,
}

impl Trainer {
    /// Creates a trainer that starts with weights version 1.
    ///
    /// # Panics
    ///
    /// Panics if `caller_addresses` is empty.
    #[must_use]
    pub fn new(
        settings: TrainerSettings,
        caller_addresses: Vec<SocketAddr>,
        control_addresses: Vec<SocketAddr>,
    ) -> Self {
        Self {
            http: HttpClient::new(),
            settings,
            holder_address: caller_addresses[0],
            caller_addresses,
            control_addresses,
            failed_calls: 0,
            cursor: 0,
            weights_version: 1,
            delivered_slots: BTreeSet::new(),
            sample_counts: BTreeMap::new(),
            last_opened_step: 0,
            longest_gap: Duration::ZERO,
            idle: Duration::ZERO,
            total: Duration::ZERO,
        }
    }

    /// Trains every step and records the results of the checks in `verdict`.
    ///
    /// # Panics
    ///
    /// Panics if the trainer publishes weights and has no control addresses.
    pub async fn run(&mut self, verdict: &mut Verdict) {
        self.run_steps(1..=self.settings.steps, verdict).await;
    }

    /// Returns the address of the last known holder of the ledger.
    #[must_use]
    pub const fn holder_address(&self) -> SocketAddr {
        self.holder_address
    }

    /// Trains some steps and records the results of the checks in `verdict`.
    ///
    /// Stops after a step that lacks samples at the deadline.
    ///
    /// # Panics
    ///
    /// Panics if the trainer publishes weights and has no control addresses.
    pub async fn run_steps(&mut self, steps: RangeInclusive<u64>, verdict: &mut Verdict) {
        let started = Instant::now();
        let mut trained = Duration::ZERO;
        for step in steps {
            // The next step's samples are generated while this one is trained.
            self.open_steps_through(step + 1).await;
            let missing = self.fetch_step(step, verdict).await;
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
            self.publish_weights().await;
            println!(
                "step {step} trained, weights {} published",
                self.weights_version
            );
        }
        self.total += started.elapsed();
        self.idle += started.elapsed().saturating_sub(trained);
    }

    /// Opens all steps through `last` that are not open yet.
    async fn open_steps_through(&mut self, last: u64) {
        let last = last.min(self.settings.steps);
        while self.last_opened_step < last {
            self.open_step(self.last_opened_step + 1).await;
            self.last_opened_step += 1;
        }
    }

    async fn open_step(&mut self, step: u64) {
        let request = OpenStep {
            step,
            weights_version: self.weights_version,
            prompts: self.settings.prompts.clone(),
            samples_per_group: self.settings.samples_per_group,
            max_tokens: self.settings.max_tokens,
            staleness_bound: self.settings.staleness_bound,
        };
        let _: Option<AcknowledgedCursor> = self.call_ledger("steps", &request).await;
    }

    /// Fetches samples until the step is complete or the deadline has passed, then
    /// acknowledges them.
    ///
    /// Returns the number of missing samples.
    async fn fetch_step(&mut self, step: u64, verdict: &mut Verdict) -> u64 {
        const MAX_SAMPLES_PER_FETCH: u32 = 256;
        let expected =
            self.settings.prompts.len() as u64 * u64::from(self.settings.samples_per_group);
        while self.sample_count(step) < expected && Instant::now() < self.settings.deadline {
            let fetch = Fetch {
                cursor: self.cursor,
                weights_version: self.weights_version,
                limit: MAX_SAMPLES_PER_FETCH,
            };
            let Some(fetched): Option<Fetched> = self.call_ledger("fetch", &fetch).await else {
                break;
            };
            for sample in &fetched.samples {
                let (version, bound) = (self.weights_version, self.settings.staleness_bound);
                verdict.check_sample(
                    &mut self.delivered_slots,
                    sample,
                    version,
                    bound,
                    self.settings.max_tokens,
                );
                *self.sample_counts.entry(sample.slot.step).or_default() += 1;
            }
            self.cursor = fetched.next_cursor;
            if fetched.samples.is_empty() {
                tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            }
        }
        // Fetching from a cursor already tells the ledger which samples the
        // trainer has. The acknowledgement also frees the step's rows and objects.
        let ack = Acknowledge {
            cursor: self.cursor,
            weights_version: self.weights_version,
        };
        let _: Option<AcknowledgedCursor> = self.call_ledger("acknowledge", &ack).await;
        expected.saturating_sub(self.sample_count(step))
    }

    fn sample_count(&self, step: u64) -> u64 {
        self.sample_counts.get(&step).copied().unwrap_or_default()
    }

    /// Calls the ledger's holder and retries until the deadline.
    ///
    /// Follows redirects to another holder, and tries the next caller address
    /// after other failures. Returns `None` once the deadline has passed.
    async fn call_ledger<T, A>(&mut self, operation: &str, request: &T) -> Option<A>
    where
        T: Serialize + Sync,
        A: DeserializeOwned,
    {
        let path = format!("/v1/trainers/{}/{operation}", self.settings.trainer);
        let mut gap_start: Option<Instant> = None;
        while Instant::now() < self.settings.deadline {
            let sent = Instant::now();
            let answer = self
                .http
                .post_json(self.holder_address, &path, request, CALL_TIMEOUT_MS)
                .await;
            let error = match answer {
                Ok(answer) => {
                    let gap = gap_start.map_or(Duration::ZERO, |start| start.elapsed());
                    self.longest_gap = self.longest_gap.max(gap);
                    return Some(answer);
                }
                Err(error) => error,
            };
            let is_refusal = matches!(error, HttpError::Status(..));
            gap_start.get_or_insert(if is_refusal { Instant::now() } else { sent });
            match redirect_address(&error) {
                Some(address) if address != self.holder_address => {
                    self.holder_address = address;
                    // Two daemons may each report the other as the holder.
                    tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
                }
                _ if error_kind(&error) == Some(ErrorKind::PlatformUnavailable) => {
                    tokio::time::sleep(retry_delay(&error)).await;
                }
                _ => {
                    tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                    self.failed_calls += 1;
                    self.holder_address =
                        self.caller_addresses[self.failed_calls % self.caller_addresses.len()];
                }
            }
        }
        None
    }

    /// Submits a configuration patch that puts the new weights version in use on
    /// the samplers.
    async fn publish_weights(&mut self) {
        let id = format!("{}-weights-{}", self.settings.trainer, self.weights_version);
        let services = json!({&*self.settings.service: {"weights_version": self.weights_version}});
        for attempt in 0.. {
            if Instant::now() >= self.settings.deadline {
                return;
            }
            let control_address = self.control_addresses[attempt % self.control_addresses.len()];
            let config: Result<VersionedDocument, _> = self
                .http
                .get_json(control_address, "/operator/config", CALL_TIMEOUT_MS)
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
                    .post_json(control_address, "/operator/patch", &patch, CALL_TIMEOUT_MS)
                    .await;
                // A reused id means that an earlier attempt submitted this patch
                // against an earlier configuration number.
                let is_done = answer.is_ok()
                    || answer.is_err_and(|error| error_kind(&error) == Some(ErrorKind::IdReused));
                if is_done {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }
}

fn error_body(error: &HttpError) -> Option<ErrorBody> {
    let HttpError::Status(_, body) = error else {
        return None;
    };
    serde_json::from_slice(body).ok()
}

fn error_kind(error: &HttpError) -> Option<ErrorKind> {
    Some(error_body(error)?.kind)
}

/// Returns the delay until the retry time that a refusal names, or
/// `RETRY_DELAY_MS` if it names none. The delay is at least `POLL_INTERVAL_MS`.
fn retry_delay(error: &HttpError) -> Duration {
    let at_ms = error_body(error).and_then(|body| body.retry_at_ms);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_ms = now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX));
    let wait_ms = at_ms.map_or(RETRY_DELAY_MS, |at_ms| at_ms.saturating_sub(now_ms));
    Duration::from_millis(wait_ms.max(POLL_INTERVAL_MS))
}

fn redirect_address(error: &HttpError) -> Option<SocketAddr> {
    error_body(error)?.address?.parse().ok()
}
