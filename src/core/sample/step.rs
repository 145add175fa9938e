use std::collections::BTreeMap;

use crate::wire::trainers::{OpenStep, Slot};

/// What has become of one slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SlotState {
    /// Nobody generates for it.
    Open,
    /// A sample is being generated.
    Generating,
    /// A sample waits to be committed.
    Buffered,
    /// The sample with this cursor fills it.
    Committed { cursor: u64 },
}

/// An open step and what has become of its slots.
#[derive(Clone, Debug)]
pub struct StepState {
    pub(crate) request: OpenStep,
    pub(crate) slots: BTreeMap<Slot, SlotState>,
}

impl StepState {
    /// Creates the state of a step none of whose slots is filled.
    #[must_use]
    pub fn new(request: OpenStep) -> Self {
        let step = request.step;
        let groups = u32::try_from(request.prompts.len()).unwrap_or(u32::MAX);
        let samples = request.samples_per_group;
        let slots = (0..groups)
            .flat_map(|group| (0..samples).map(move |index| Slot { step, group, index }))
            .map(|slot| (slot, SlotState::Open))
            .collect();
        Self { request, slots }
    }

    /// Returns whether every slot is filled by a sample before this cursor.
    #[must_use]
    pub fn is_delivered(&self, acknowledged_cursor: u64) -> bool {
        self.slots.values().all(
            |slot| matches!(slot, SlotState::Committed { cursor } if *cursor < acknowledged_cursor),
        )
    }
}
