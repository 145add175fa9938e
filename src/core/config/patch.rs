use std::{collections::BTreeSet, sync::Arc};

use serde_json::Value;

use super::{Document, VersionedDocument};
use crate::{
    core::guard::{self, Guard},
    error::{ErrorKind, Refusal},
};

/// Returns the version that a JSON merge patch against version `against`
/// produces.
///
/// # Errors
///
/// [`ErrorKind::ConfigConflict`] if `against` is not the number of `current`,
/// and [`ErrorKind::ConfigInvalid`] if the result is not a valid document.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::config::{VersionedDocument, apply_patch};
/// use serde_json::json;
///
/// let current = VersionedDocument::default();
/// let patch = json!({"draining_vms": ["vm-1"]});
/// let next = apply_patch(&current, 0, &patch).unwrap();
/// assert_eq!(next.number, 1);
/// assert!(apply_patch(&next, 0, &patch).is_err());
/// ```
pub fn apply_patch(
    current: &VersionedDocument,
    against: u64,
    merge: &Value,
) -> Result<VersionedDocument, Refusal> {
    if guard::is_on(Guard::PatchVersion) && against != current.number {
        let message = format!(
            "the patch was written against version {against}, but version {} is in force",
            current.number
        );
        return Err(Refusal::new(ErrorKind::ConfigConflict, message));
    }
    let mut value = serde_json::to_value(current.document.as_ref()).map_err(config_invalid)?;
    json_patch::merge(&mut value, merge);
    let document: Document = serde_path_to_error::deserialize(value).map_err(config_invalid)?;
    check_trainer_services(&document)?;
    Ok(VersionedDocument {
        number: current.number + 1,
        document: Arc::new(document),
    })
}

/// Returns the keys in the top two levels of a merge patch.
///
/// A key of the second level is returned as `top.second`; a top-level key is
/// returned by itself only if nothing is below it.
#[must_use]
pub fn changed_keys(merge: &Value) -> BTreeSet<Arc<str>> {
    let mut keys = BTreeSet::new();
    for (top, value) in merge.as_object().into_iter().flatten() {
        match value.as_object() {
            Some(nested) if !nested.is_empty() => {
                keys.extend(nested.keys().map(|key| format!("{top}.{key}").into()));
            }
            _ => {
                keys.insert(top.as_str().into());
            }
        }
    }
    keys
}

fn check_trainer_services(document: &Document) -> Result<(), Refusal> {
    for (name, trainer) in &document.trainers {
        if !document.services.contains_key(&trainer.service) {
            let message = format!(
                "trainers.{name}.service: service '{}' does not exist",
                trainer.service
            );
            return Err(Refusal::new(ErrorKind::ConfigInvalid, message));
        }
    }
    Ok(())
}

fn config_invalid<E>(error: E) -> Refusal
where
    E: std::fmt::Display,
{
    Refusal::new(ErrorKind::ConfigInvalid, error.to_string())
}
