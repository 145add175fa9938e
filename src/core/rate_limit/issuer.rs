use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Purpose, RateLimit};
use crate::core::Name;

/// The most tokens that a bucket of the whole limit holds.
const MAX_TOKENS: f64 = 2.0;
/// The most tokens that a bucket of a reduced rate holds.
const MAX_REDUCED_TOKENS: f64 = 1.0;
/// The share of the limit that a VM issues that may not be the only issuer.
const REDUCED_SHARE: f64 = 0.25;
/// The tokens that samples and score calls leave to callers.
const BACKGROUND_RESERVE: f64 = 0.5;
/// The most that may be owed, as the time in which it accrues, in seconds.
const MAX_DEBT_S: f64 = 2.0;
/// How long a bucket is kept without a question, in milliseconds.
const BUCKET_LIFETIME_MS: u64 = 30_000;

/// Asks for a permit to send one request to an endpoint.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitQuery {
    /// The endpoint.
    pub endpoint: Name,
    /// The endpoint's incarnation.
    pub incarnation: u64,
    /// The data centre of the endpoint.
    pub data_centre: Name,
    /// The limit that the endpoint named to the VM that asks.
    pub limit: RateLimit,
    /// How long ago the endpoint named it, in milliseconds.
    pub limit_age_ms: u64,
    /// The requests that the VM sent without a permit since its last question.
    pub sent_without_permit: u32,
    /// What the request is for.
    pub purpose: Purpose,
    /// How long the request may wait, in milliseconds.
    pub max_wait_ms: u64,
}

/// The answer to a [`PermitQuery`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitAnswer {
    /// The request may be sent after a wait.
    Granted {
        /// The wait, in milliseconds.
        wait_ms: u64,
    },
    /// The request may not be sent.
    Denied {
        /// When a permit may be available, in milliseconds from now.
        retry_after_ms: u64,
        /// Whether only a part of the limit is issued here.
        is_reduced: bool,
    },
    /// This VM issues no permits for the endpoint.
    NotIssuer,
}

/// How much of an endpoint's limit a VM may issue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IssuedShare {
    /// The whole limit.
    Whole,
    /// A part that is safe beside another issuer.
    Reduced,
}

impl IssuedShare {
    const fn factor(self) -> f64 {
        match self {
            Self::Whole => 1.0,
            Self::Reduced => REDUCED_SHARE,
        }
    }

    const fn max_tokens(self) -> f64 {
        match self {
            Self::Whole => MAX_TOKENS,
            Self::Reduced => MAX_REDUCED_TOKENS,
        }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    incarnation: u64,
    limit: RateLimit,
    /// When the endpoint named the limit.
    limit_named_ms: u64,
    tokens: f64,
    updated_ms: u64,
}

/// Issues permits so that requests of all VMs together stay below an endpoint's limit.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::rate_limit::{
///     IssuedShare, PermitAnswer, PermitIssuer, PermitQuery, Purpose, RateLimit,
/// };
///
/// let query = PermitQuery {
///     endpoint: "endpoint-1".into(),
///     incarnation: 7,
///     data_centre: "dc-1".into(),
///     limit: RateLimit::new(2.0).unwrap(),
///     limit_age_ms: 0,
///     sent_without_permit: 0,
///     purpose: Purpose::Caller,
///     max_wait_ms: 0,
/// };
/// let mut issuer = PermitIssuer::default();
/// let granted = PermitAnswer::Granted { wait_ms: 0 };
/// assert_eq!(issuer.issue(0, &query, IssuedShare::Whole), granted);
/// assert_ne!(issuer.issue(10, &query, IssuedShare::Whole), granted);
/// assert_eq!(issuer.issue(510, &query, IssuedShare::Whole), granted);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    buckets: BTreeMap<Name, Bucket>,
}

impl PermitIssuer {
    /// Answers a question for a permit.
    pub fn issue(&mut self, now_ms: u64, query: &PermitQuery, share: IssuedShare) -> PermitAnswer {
        let bucket = self.bucket(now_ms, query);
        bucket.update(now_ms, query, share);
        let rate_per_ms = bucket.limit.per_s() * share.factor() / 1_000.0;
        let max_debt = rate_per_ms * MAX_DEBT_S * 1_000.0;
        let owe = |tokens: f64, count: f64| (tokens - count).max(tokens.min(-max_debt));
        bucket.tokens = owe(bucket.tokens, f64::from(query.sent_without_permit));
        let required = match query.purpose {
            Purpose::Order => {
                bucket.tokens = owe(bucket.tokens, 1.0);
                return PermitAnswer::Granted { wait_ms: 0 };
            }
            Purpose::Caller | Purpose::Hedge => 1.0,
            Purpose::Sample | Purpose::Score => match share {
                IssuedShare::Whole => 1.0 + BACKGROUND_RESERVE,
                IssuedShare::Reduced => 1.0,
            },
        };
        let wait_ms = to_ms((required - bucket.tokens) / rate_per_ms);
        if wait_ms <= query.max_wait_ms {
            bucket.tokens -= 1.0;
            PermitAnswer::Granted { wait_ms }
        } else {
            PermitAnswer::Denied {
                retry_after_ms: wait_ms - query.max_wait_ms,
                is_reduced: share == IssuedShare::Reduced,
            }
        }
    }

    /// Forgets the buckets of endpoints for which nobody asks any more.
    pub fn expire(&mut self, now_ms: u64) {
        self.buckets
            .retain(|_, bucket| now_ms < bucket.updated_ms + BUCKET_LIFETIME_MS);
    }

    /// Returns the bucket of an endpoint's incarnation.
    ///
    /// A new one holds a single token, since another VM may have issued permits until
    /// now.
    fn bucket(&mut self, now_ms: u64, query: &PermitQuery) -> &mut Bucket {
        let new = || Bucket {
            incarnation: query.incarnation,
            limit: query.limit,
            limit_named_ms: 0,
            tokens: 1.0,
            updated_ms: now_ms,
        };
        let bucket = self
            .buckets
            .entry(query.endpoint.clone())
            .or_insert_with(new);
        if bucket.incarnation < query.incarnation {
            *bucket = new();
        }
        bucket
    }
}

impl Bucket {
    fn update(&mut self, now_ms: u64, query: &PermitQuery, share: IssuedShare) {
        let elapsed_s = seconds(now_ms.saturating_sub(self.updated_ms));
        let accrued = elapsed_s * self.limit.per_s() * share.factor();
        self.tokens = (self.tokens + accrued).min(share.max_tokens());
        self.updated_ms = now_ms;
        let named_ms = now_ms.saturating_sub(query.limit_age_ms);
        if named_ms >= self.limit_named_ms {
            self.limit = query.limit;
            self.limit_named_ms = named_ms;
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "a short time")]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float converted to an integer saturates"
)]
fn to_ms(ms: f64) -> u64 {
    ms.ceil().max(0.0) as u64
}
