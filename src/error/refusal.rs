use std::sync::Arc;

use quick_error::quick_error;

use super::{ErrorKind, ErrorResponse};

/// The content of a refusal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RefusalDetail {
    /// The kind of error.
    pub kind: ErrorKind,
    /// A sentence that describes what went wrong.
    pub message: Arc<str>,
    /// When to retry, in milliseconds of the local monotonic clock.
    pub retry_at_ms: Option<u64>,
    /// The address to use instead, if one is known.
    pub address: Option<Arc<str>>,
}

quick_error! {
    /// A final response without a result.
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
        /// The refusal ends the request.
        Final(detail: RefusalDetail) {
            display("{}: {}", detail.kind, detail.message)
        }
    }
}

impl Refusal {
    /// Creates a refusal without a retry time or an address.
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

    /// Returns the refusal with the time at which to retry, in milliseconds of the
    /// local monotonic clock.
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

    /// Returns the content of this refusal.
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

    /// Returns the response to this kind of refusal.
    #[must_use]
    pub const fn response(&self) -> ErrorResponse {
        self.kind().response()
    }
}
