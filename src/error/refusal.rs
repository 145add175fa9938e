use std::sync::Arc;

use quick_error::quick_error;

use super::{ErrorKind, ErrorResponse};

/// What a refusal says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalDetail {
    /// The kind, from the closed list.
    pub kind: ErrorKind,
    /// What went wrong, as a sentence.
    pub message: Arc<str>,
    /// When to come back, in milliseconds of the local monotonic clock.
    pub retry_at_ms: Option<u64>,
    /// The address to use instead, where one is known.
    pub address: Option<Arc<str>>,
}

quick_error! {
    /// A final answer that carries no result.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::error::{ErrorKind, Refusal};
    ///
    /// let refusal = Refusal::new(ErrorKind::UnknownService, "no service 'slip'");
    /// assert_eq!(refusal.to_string(), "unknown_service: no service 'slip'");
    /// assert!(refusal.response().not_run);
    /// ```
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// The request ends here.
        Final(detail: RefusalDetail) {
            display("{}: {}", detail.kind, detail.message)
        }
    }
}

impl Refusal {
    /// Creates a refusal that names no time to come back.
    #[must_use]
    pub fn new<M>(kind: ErrorKind, message: M) -> Self
    where
        M: Into<Arc<str>>,
    {
        Self::Final(RefusalDetail {
            kind,
            message: message.into(),
            retry_at_ms: None,
            address: None,
        })
    }

    /// Returns the refusal with the time at which to come back, in
    /// milliseconds of the local monotonic clock.
    #[must_use]
    pub fn with_retry_at(self, at_ms: u64) -> Self {
        let Self::Final(detail) = self;
        Self::Final(RefusalDetail {
            retry_at_ms: Some(at_ms),
            ..detail
        })
    }

    /// Returns the refusal with the address at which to try instead.
    #[must_use]
    pub fn with_address<A>(self, address: A) -> Self
    where
        A: Into<Arc<str>>,
    {
        let Self::Final(detail) = self;
        Self::Final(RefusalDetail {
            address: Some(address.into()),
            ..detail
        })
    }

    /// Returns what the refusal says.
    #[must_use]
    pub const fn detail(&self) -> &RefusalDetail {
        let Self::Final(detail) = self;
        detail
    }

    /// Returns the kind of this refusal.
    #[must_use]
    pub const fn kind(&self) -> ErrorKind {
        self.detail().kind
    }

    /// Returns the row of the answer table for this refusal.
    #[must_use]
    pub const fn response(&self) -> ErrorResponse {
        self.kind().response()
    }
}
