//! The client accounts of the configuration, and the keys that identify their callers.

mod account;
mod key;
mod table;

pub use self::{
    account::Account,
    key::KeyDigest,
    table::{AccountError, AccountTable},
};
