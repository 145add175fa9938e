use std::collections::BTreeSet;

use crate::core::Name;

/// Whether and how a content may run now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The content may run without restrictions.
    Unrestricted,
    /// The content may run as a trial, on an endpoint that is not in `avoid`.
    Trial {
        /// The endpoints on which suspects run.
        avoid: BTreeSet<Name>,
    },
    /// The content must wait until reports of its last crash have arrived or its
    /// running trial has ended.
    Wait,
    /// The content must not run.
    Quarantined,
    /// The content may run once more on an endpoint that is not in `avoid`, if this
    /// VM claims the late retry with this number.
    Claim {
        /// The endpoints on which suspects run.
        avoid: BTreeSet<Name>,
        /// The number of the late retry, from 1.
        number: u32,
    },
    /// The content must not run before this time.
    Held {
        /// When another late retry may be claimed, or when the content is no longer
        /// blamed.
        until_ms: u64,
    },
}

/// How a run at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The run ended with a complete response, which shows that its content does
    /// not crash endpoints.
    Complete,
    /// The run ended in any other way.
    Incomplete,
    /// The run ended without an answer, and its endpoint may have crashed.
    Unanswered {
        /// The endpoint's incarnation to which it was sent.
        incarnation: u64,
        /// When it started.
        started_ms: u64,
    },
}
