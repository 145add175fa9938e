use crate::wire::peers::{MemberRecord, MemberState};

/// What this member knows about one member, itself included.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    /// When the suspicion expires and the member counts as unreachable, unless it
    /// is refuted; a leaving member counts as gone instead.
    pub(super) suspicion_deadline_ms: Option<u64>,
    /// When the member became unreachable.
    pub(super) unreachable_since_ms: Option<u64>,
    /// When the record of a member that is gone is removed.
    pub(super) forget_at_ms: Option<u64>,
}

impl Member {
    pub(super) const fn new(record: MemberRecord) -> Self {
        Self {
            record,
            suspicion_deadline_ms: None,
            unreachable_since_ms: None,
            forget_at_ms: None,
        }
    }

    pub(super) fn is_expected(&self) -> bool {
        self.record.state != MemberState::Gone
    }

    pub(super) fn is_answering(&self) -> bool {
        self.is_expected() && self.unreachable_since_ms.is_none()
    }

    pub(super) fn takes_work(&self) -> bool {
        self.is_answering() && self.record.state != MemberState::Leaving
    }
}
