use std::ops::Deref;

use super::memory::MemoryShare;
use crate::core::batch::BatchSpec;

/// A batch as its trainer submitted it, and the memory that it takes.
#[derive(Debug)]
pub(crate) struct LoadedBatch {
    spec: BatchSpec,
    _share: MemoryShare,
}

impl LoadedBatch {
    pub(crate) const fn new(spec: BatchSpec, share: MemoryShare) -> Self {
        Self {
            spec,
            _share: share,
        }
    }
}

impl Deref for LoadedBatch {
    type Target = BatchSpec;

    fn deref(&self) -> &BatchSpec {
        &self.spec
    }
}
