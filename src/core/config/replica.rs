use std::collections::VecDeque;

use super::{Change, Update, VersionedDocument, apply_patch};
use crate::{
    core::guard::{self, Guard},
    error::Refusal,
};

/// The maximum number of changes that a daemon keeps for outdated daemons.
const MAX_RECENT_CHANGES: usize = 256;

/// A daemon's copy of the configuration, updated by incremental changes.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::config::{Change, Replica, Update};
/// use serde_json::json;
///
/// let merge = json!({"draining_vms": ["vm-1"]});
/// let change = Change { number: 1, patch_id: "p".into(), merge };
/// let mut current = Replica::default();
/// assert!(current.apply_update(Update::Changes(vec![change])).unwrap());
///
/// let mut outdated = Replica::default();
/// let update = current.update_since(outdated.versioned().number);
/// assert!(outdated.apply_update(update).unwrap());
/// assert_eq!(outdated.versioned(), current.versioned());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Replica {
    versioned: VersionedDocument,
    recent_changes: VecDeque<Change>,
}

impl Replica {
    /// Returns the version in force.
    #[must_use]
    pub const fn versioned(&self) -> &VersionedDocument {
        &self.versioned
    }

    /// Returns the update that a daemon with version `number` needs to reach the
    /// version in force here.
    #[must_use]
    pub fn update_since(&self, number: u64) -> Update {
        let missing = self.versioned.number.saturating_sub(number);
        let kept_changes = self.recent_changes.len() as u64;
        if missing > kept_changes {
            return Update::Whole(self.versioned.clone());
        }
        let later = self
            .recent_changes
            .iter()
            .filter(|change| change.number > number);
        Update::Changes(later.cloned().collect())
    }

    /// Applies an update and returns whether it put a newer version in force.
    ///
    /// Changes that are already in force are skipped. Changes after a gap are
    /// skipped too, since a change is valid only on the version directly before
    /// it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ConfigInvalid`](crate::error::ErrorKind::ConfigInvalid) if
    /// a change does not produce a valid document from the one in force. The
    /// changes before it stay in force.
    pub fn apply_update(&mut self, update: Update) -> Result<bool, Refusal> {
        match update {
            Update::Whole(versioned) => Ok(self.apply_whole(versioned)),
            Update::Changes(changes) => {
                let number_before = self.versioned.number;
                for change in changes {
                    self.apply_change(change)?;
                }
                Ok(self.versioned.number > number_before)
            }
        }
    }

    fn apply_whole(&mut self, versioned: VersionedDocument) -> bool {
        let is_replaced = self.versioned.replace_if_newer(versioned);
        if is_replaced {
            self.recent_changes.clear();
        }
        is_replaced
    }

    fn apply_change(&mut self, change: Change) -> Result<(), Refusal> {
        let is_next = change.number == self.versioned.number + 1;
        // A change applied out of order would restore an old value under a new
        // number.
        if !is_next && guard::is_on(Guard::ConfigMonotonic) {
            return Ok(());
        }
        let next = apply_patch(&self.versioned, self.versioned.number, &change.merge)?;
        self.versioned = VersionedDocument {
            number: change.number,
            ..next
        };
        self.recent_changes.push_back(change);
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
        Ok(())
    }
}
