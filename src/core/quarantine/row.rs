use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    core::Name,
    wire::peers::{Clearance, CrashReport},
};

/// What VMs tell each other about crashes through the platform's store, with
/// times by the store's clock.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineRow {
    /// An endpoint crashed.
    Crash {
        /// What ran there.
        report: CrashReport,
        /// When the crash was noticed.
        at_platform_ms: u64,
    },
    /// A VM may run a content once more.
    Claim {
        /// The fingerprint of the content.
        fingerprint: Arc<str>,
        /// The number of the late retry, from 1.
        number: u32,
        /// When it was claimed.
        at_platform_ms: u64,
    },
    /// A content has completed since.
    Cleared {
        /// The content and the crashes that it is no longer blamed for.
        clearance: Clearance,
        /// When it completed.
        at_platform_ms: u64,
    },
}

impl QuarantineRow {
    /// Returns the key under which a VM stores the row.
    ///
    /// Each VM reports a crash under its own key; of a claim there is one for all.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::core::quarantine::QuarantineRow;
    ///
    /// let row = QuarantineRow::Claim {
    ///     fingerprint: "c0ffee".into(),
    ///     number: 1,
    ///     at_platform_ms: 0,
    /// };
    /// assert_eq!(&*row.key("vm-1"), "claim/c0ffee/1");
    /// ```
    #[must_use]
    pub fn key(&self, vm: &str) -> Name {
        match self {
            Self::Crash { report, .. } => {
                format!("crash/{}/{}/{vm}", report.endpoint, report.incarnation).into()
            }
            Self::Claim {
                fingerprint,
                number,
                ..
            } => claim_key(fingerprint, *number),
            Self::Cleared { clearance, .. } => format!("cleared/{}", clearance.fingerprint).into(),
        }
    }

    /// Returns the time of what the row tells, by the store's clock.
    #[must_use]
    pub const fn at_platform_ms(&self) -> u64 {
        match self {
            Self::Crash { at_platform_ms, .. }
            | Self::Claim { at_platform_ms, .. }
            | Self::Cleared { at_platform_ms, .. } => *at_platform_ms,
        }
    }
}

/// Returns the key of a claim.
#[must_use]
pub fn claim_key(fingerprint: &str, number: u32) -> Name {
    format!("claim/{fingerprint}/{number}").into()
}
