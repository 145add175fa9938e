use xxhash_rust::xxh3::Xxh3;

use crate::wire::peers::{MemberRecord, MemberState};

/// The number of buckets into which the members are divided for comparing views.
pub const BUCKET_COUNT: usize = 16;

/// One hash per bucket, over the records of the bucket's members.
pub type Digests = [u64; BUCKET_COUNT];

/// Returns the bucket to which a member belongs.
#[must_use]
pub(super) fn bucket(vm: &str) -> usize {
    let mut hasher = Xxh3::new();
    hasher.update(vm.as_bytes());
    usize::try_from(hasher.digest() % BUCKET_COUNT as u64).unwrap_or_default()
}

/// Returns the hash of each bucket; the order of the records does not matter.
///
/// Members that are gone are left out: each member forgets them at a different
/// time, and this must not count as a difference between views.
pub(super) fn compute_digests<'a, I>(records: I) -> Digests
where
    I: Iterator<Item = &'a MemberRecord>,
{
    let mut digests = Digests::default();
    for record in records.filter(|record| record.state != MemberState::Gone) {
        digests[bucket(&record.vm)] ^= hash_record(record);
    }
    digests
}

/// Combines the hashes of all buckets into one.
pub(super) fn summarize(digests: &Digests) -> u64 {
    let mut hasher = Xxh3::new();
    for digest in digests {
        hasher.update(&digest.to_le_bytes());
    }
    hasher.digest()
}

fn hash_record(record: &MemberRecord) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(record.vm.as_bytes());
    hasher.update(&record.incarnation.to_le_bytes());
    hasher.update(&record.generation.to_le_bytes());
    hasher.update(<&str>::from(record.state).as_bytes());
    hasher.digest()
}
