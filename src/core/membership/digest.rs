use xxhash_rust::xxh3::Xxh3;

use crate::wire::peers::{MemberRecord, MemberState};

/// How many parts of a view are compared apart from each other.
pub const BUCKET_COUNT: usize = 16;

/// Hashes of the records of each bucket.
pub type Digests = [u64; BUCKET_COUNT];

/// Returns the bucket of a member.
#[must_use]
pub(super) fn bucket(vm: &str) -> usize {
    let mut hasher = Xxh3::new();
    hasher.update(vm.as_bytes());
    usize::try_from(hasher.digest() % BUCKET_COUNT as u64).unwrap_or_default()
}

/// Hashes records, whatever their order.
///
/// Members that are gone are left out: each member forgets them at a time of
/// its own, which must not look like a difference.
pub(super) fn digests<'a, I>(records: I) -> Digests
where
    I: Iterator<Item = &'a MemberRecord>,
{
    let mut digests = Digests::default();
    for record in records.filter(|record| record.state != MemberState::Gone) {
        digests[bucket(&record.vm)] ^= hash(record);
    }
    digests
}

/// Returns one hash of all buckets.
pub(super) fn summary(digests: &Digests) -> u64 {
    let mut hasher = Xxh3::new();
    for digest in digests {
        hasher.update(&digest.to_le_bytes());
    }
    hasher.digest()
}

fn hash(record: &MemberRecord) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(record.vm.as_bytes());
    hasher.update(&record.incarnation.to_le_bytes());
    hasher.update(&record.generation.to_le_bytes());
    hasher.update(<&str>::from(record.state).as_bytes());
    hasher.digest()
}
