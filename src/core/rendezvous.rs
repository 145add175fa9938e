//! Rendezvous hashing: assigns keys to members without communication between
//! them.

use xxhash_rust::xxh3::Xxh3;

use super::Name;

/// Returns the weight of `member` for `key`.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::rendezvous::weight;
///
/// assert_eq!(weight("a", "ledger"), weight("a", "ledger"));
/// assert_ne!(weight("a", "ledger"), weight("b", "ledger"));
/// ```
#[must_use]
pub fn weight(member: &str, key: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(member.as_bytes());
    hasher.update(&[0]);
    hasher.update(key.as_bytes());
    hasher.digest()
}

/// Returns the `count` members with the highest weight for `key`, in descending
/// order of weight.
///
/// When a member is removed, only the keys that were assigned to it are
/// reassigned.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use chicoryreach::core::{Name, rendezvous::choose};
///
/// let members: Vec<Name> = vec!["a".into(), "b".into(), "c".into()];
/// let owner = choose(&members, "ledger", 1);
/// let others: Vec<Name> = members.iter().filter(|m| *m != &owner[0]).cloned().collect();
/// assert_eq!(choose(&members, "ledger", 2)[1], choose(&others, "ledger", 1)[0]);
/// ```
#[must_use]
pub fn choose(members: &[Name], key: &str, count: usize) -> Vec<Name> {
    let mut ranked: Vec<_> = members
        .iter()
        .map(|member| (weight(member, key), member))
        .collect();
    ranked.sort_by(|a, b| b.cmp(a));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, member)| member.clone())
        .collect()
}

/// Returns all members in a weighted rendezvous order for `key`.
///
/// A member with twice the share of another one is first for twice as many keys.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::rendezvous::rank_by_share;
///
/// let members = [("small".into(), 0.1), ("large".into(), 0.9)];
/// let keys = (0..1_000).map(|key| key.to_string());
/// let first = keys.filter(|key| &*rank_by_share(&members, key)[0] == "large");
/// assert!((850..950).contains(&first.count()));
/// ```
#[must_use]
pub fn rank_by_share(members: &[(Name, f64)], key: &str) -> Vec<Name> {
    // Each member gets an exponentially distributed arrival time with its share
    // as the rate. The probability of arriving first is proportional to the rate.
    let arrival = |member: &str, share: f64| {
        #[expect(clippy::cast_precision_loss, reason = "the hash need not be exact")]
        let uniform = (weight(member, key) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        -uniform.ln() / share.max(f64::MIN_POSITIVE)
    };
    let mut ranked: Vec<_> = members
        .iter()
        .map(|(member, share)| (arrival(member, *share), member))
        .collect();
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
    ranked
        .into_iter()
        .map(|(_, member)| member.clone())
        .collect()
}
