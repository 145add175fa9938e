use crate::core::guard::{self, Guard};

/// Limits retries to a share of first tries.
///
/// Each first try earns a part of a retry, up to a bound; each retry spends a
/// whole one. The load on endpoints that all fail therefore stays within
/// `1 + share` of the load of first tries, but for the bound once.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(100, 1_000);
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// (0..10).for_each(|_| budget.on_first_try());
/// assert!(budget.try_spend());
/// ```
#[derive(Clone, Debug)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct RetryBudget {
    /// What a first try earns, in thousandths of a retry.
    share_permille: u32,
    /// The most that is kept, in thousandths of a retry.
    bound_permille: u32,
    /// What is kept now, in thousandths of a retry.
    balance_permille: u32,
}

impl RetryBudget {
    /// Creates a budget that starts full.
    ///
    /// `share_permille` is what a first try earns and `bound_permille` the most
    /// that is kept, in thousandths of a retry.
    #[must_use]
    pub const fn new(share_permille: u32, bound_permille: u32) -> Self {
        Self {
            share_permille,
            bound_permille,
            balance_permille: bound_permille,
        }
    }

    /// Notes a first try.
    pub fn on_first_try(&mut self) {
        let balance = self.balance_permille + self.share_permille;
        self.balance_permille = balance.min(self.bound_permille);
    }

    /// Spends a retry if there is one, and says whether there was.
    pub fn try_spend(&mut self) -> bool {
        if !guard::is_on(Guard::RetryBudget) {
            return true;
        }
        let Some(balance) = self.balance_permille.checked_sub(1_000) else {
            return false;
        };
        self.balance_permille = balance;
        true
    }
}
