use std::collections::VecDeque;

use super::{Change, Update, VersionedDocument, apply_patch};
use crate::{
    core::guard::{self, Guard},
    error::Refusal,
};

/// How many changes a daemon keeps for those that are behind.
const RECENT_CHANGES: usize = 256;

/// One daemon's copy of the configuration, kept up by differences.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::config::{Change, Replica, Update};
/// use serde_json::json;
///
/// let merge = json!({"draining_vms": ["vm-1"]});
/// let change = Change { number: 1, patch_id: "p".into(), merge };
/// let mut ahead = Replica::default();
/// assert!(ahead.apply_update(Update::Changes(vec![change])).unwrap());
///
/// let mut behind = Replica::default();
/// let update = ahead.update_since(behind.versioned().number);
/// assert!(behind.apply_update(update).unwrap());
/// assert_eq!(behind.versioned(), ahead.versioned());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Replica {
    versioned: VersionedDocument,
    recent: VecDeque<Change>,
}

impl Replica {
    /// Returns the version in force.
    #[must_use]
    pub const fn versioned(&self) -> &VersionedDocument {
        &self.versioned
    }

    /// Returns what a daemon that has version `number` lacks.
    #[must_use]
    pub fn update_since(&self, number: u64) -> Update {
        let missing = self.versioned.number.saturating_sub(number);
        let kept = self.recent.len() as u64;
        if missing > kept {
            return Update::Whole(self.versioned.clone());
        }
        let later = self.recent.iter().filter(|change| change.number > number);
        Update::Changes(later.cloned().collect())
    }

    /// Takes an update and returns whether it put a newer version in force.
    ///
    /// Changes that are known already are passed over; a gap ends the update,
    /// since a change means something only on the version before it.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::ConfigInvalid`](crate::error::ErrorKind::ConfigInvalid) if
    /// a change does not fit this daemon's document.
    pub fn apply_update(&mut self, update: Update) -> Result<bool, Refusal> {
        match update {
            Update::Whole(versioned) => Ok(self.take_whole(versioned)),
            Update::Changes(changes) => {
                let before = self.versioned.number;
                for change in changes {
                    self.take_change(change)?;
                }
                Ok(self.versioned.number > before)
            }
        }
    }

    fn take_whole(&mut self, versioned: VersionedDocument) -> bool {
        let is_taken = self.versioned.replace_if_newer(versioned);
        if is_taken {
            self.recent.clear();
        }
        is_taken
    }

    fn take_change(&mut self, change: Change) -> Result<(), Refusal> {
        let follows = change.number == self.versioned.number + 1;
        // Applied out of order, an old value would come back under a new number.
        if !follows && guard::is_on(Guard::ConfigMonotonic) {
            return Ok(());
        }
        let next = apply_patch(&self.versioned, self.versioned.number, &change.merge)?;
        self.versioned = VersionedDocument {
            number: change.number,
            ..next
        };
        self.recent.push_back(change);
        if self.recent.len() > RECENT_CHANGES {
            self.recent.pop_front();
        }
        Ok(())
    }
}
