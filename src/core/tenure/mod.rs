//! Who acts alone, by the platform's clock.

mod clock;
mod tenure;

pub use self::{
    clock::PlatformClock,
    tenure::{Claim, Tenure, TenureRow},
};
