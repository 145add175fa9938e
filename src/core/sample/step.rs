use crate::wire::trainers::{OpenStep, Slot};

/// The state of one slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotState {
    /// No sample is being generated for it.
    Open,
    /// A sample is being generated.
    Generating,
    /// A sample is buffered until it is committed.
    Buffered,
    /// The committed sample with this cursor fills it.
    Committed { cursor: u64 },
}

impl SlotState {
    const fn is_filled(self) -> bool {
        matches!(self, Self::Buffered | Self::Committed { .. })
    }

    const fn is_committed(self) -> bool {
        matches!(self, Self::Committed { .. })
    }
}

/// An open step and the state of its slots.
#[derive(Clone, Debug)]
pub struct StepState {
    pub(crate) request: OpenStep,
    slots: Vec<SlotState>,
    filled: usize,
    committed: usize,
    last_cursor: u64,
}

impl StepState {
    /// Creates the state of a step with only open slots.
    #[must_use]
    pub fn new(request: OpenStep) -> Self {
        let slots = request.prompts.len() * request.samples_per_group as usize;
        Self {
            slots: vec![SlotState::Open; slots],
            filled: 0,
            committed: 0,
            last_cursor: 0,
            request,
        }
    }

    /// Returns whether every slot has a sample and some samples are not committed
    /// yet.
    #[must_use]
    pub const fn is_awaiting_commit(&self) -> bool {
        self.filled == self.slots.len() && self.committed < self.filled
    }

    /// Returns whether every slot is filled by a sample before this cursor.
    #[must_use]
    pub const fn is_delivered(&self, acknowledged_cursor: u64) -> bool {
        self.committed == self.slots.len() && self.last_cursor < acknowledged_cursor
    }

    /// Returns all slots, in ascending order.
    pub(crate) fn slots(&self) -> impl Iterator<Item = Slot> {
        let step = self.request.step;
        let per_group = self.request.samples_per_group;
        let groups = 0..u32::try_from(self.request.prompts.len()).unwrap_or(u32::MAX);
        groups.flat_map(move |group| (0..per_group).map(move |index| Slot { step, group, index }))
    }

    pub(crate) fn state(&self, slot: Slot) -> Option<SlotState> {
        self.slots.get(self.slot_index(slot)?).copied()
    }

    /// Changes the state of a slot. Does nothing if the slot does not exist.
    pub(crate) fn set(&mut self, slot: Slot, state: SlotState) {
        let Some(index) = self.slot_index(slot) else {
            return;
        };
        let Some(entry) = self.slots.get_mut(index) else {
            return;
        };
        self.filled -= usize::from(entry.is_filled());
        self.committed -= usize::from(entry.is_committed());
        *entry = state;
        self.filled += usize::from(state.is_filled());
        self.committed += usize::from(state.is_committed());
        if let SlotState::Committed { cursor } = state {
            self.last_cursor = self.last_cursor.max(cursor);
        }
    }

    fn slot_index(&self, slot: Slot) -> Option<usize> {
        let per_group = self.request.samples_per_group;
        if slot.index >= per_group {
            return None;
        }
        Some(slot.group as usize * per_group as usize + slot.index as usize)
    }
}
