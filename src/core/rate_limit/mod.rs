//! Request limits that endpoints name for all VMs together.
//!
//! One VM, the issuer, permits each request to a limited endpoint.
//! [`issuers`] ranks the VMs for an endpoint, [`IssuerAuthority`] tells whether this
//! one may issue the whole limit, [`PermitIssuer`] keeps the buckets, and
//! [`NamedLimit`] what a VM that sends requests knows of an endpoint.

mod authority;
mod issuer;
mod limit;
mod named;
mod purpose;
mod question_budget;
mod ranking;

pub use self::{
    authority::IssuerAuthority,
    issuer::{IssuedShare, PermitAnswer, PermitIssuer, PermitQuery},
    limit::RateLimit,
    named::NamedLimit,
    purpose::Purpose,
    question_budget::QuestionBudget,
    ranking::{issued_share, issuers},
};
