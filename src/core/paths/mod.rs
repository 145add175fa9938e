//! What a VM knows of its own paths to endpoints.
//!
//! An endpoint that does not accept a connection is down, or this VM is cut off from
//! it. [`EndpointPaths`] tells them apart: several endpoints of a data centre, of a
//! service or of all that fail one after the other, with none that accepts, show that
//! the path is cut.

mod cut_span;
mod endpoint_paths;
mod evidence;
mod report;
mod testimony;

pub use self::{
    cut_span::CutSpan, endpoint_paths::EndpointPaths, evidence::PathEvidence, report::PathReport,
    testimony::Testimony,
};
