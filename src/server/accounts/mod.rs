//! Finds out for which account a caller's request is, from the key that it presents.

mod authentication;
mod batch_access;

pub(super) use self::{
    authentication::{Caller, authenticate, sets_account},
    batch_access::{check_batch_call, check_owner},
};
