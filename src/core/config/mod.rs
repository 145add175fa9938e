//! The numbered configuration: its document, patches and versions.

mod document;
mod patch;
mod versioned;

pub use self::{
    document::{Document, EndpointSettings, Service, ServiceKind, Trainer},
    patch::{apply, changed_keys},
    versioned::Versioned,
};
