use crate::core::guard::{self, Guard};

/// A budget that limits retries to a share of first attempts.
///
/// Each first attempt adds a fraction of a retry to the balance, up to a maximum;
/// each retry subtracts a whole one. If all endpoints fail, their load therefore
/// stays within `1 + share` times the load of first attempts, plus the maximum
/// balance once.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::retry::RetryBudget;
///
/// let mut budget = RetryBudget::new(100, 1_000);
/// assert!(budget.try_spend());
/// assert!(!budget.try_spend());
/// (0..10).for_each(|_| budget.on_first_attempt());
/// assert!(budget.try_spend());
/// ```
#[derive(Clone, Debug)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct RetryBudget {
    /// The amount that a first attempt adds, in thousandths of a retry.
    share_permille: u32,
    /// The maximum balance, in thousandths of a retry.
    max_balance_permille: u32,
    /// The current balance, in thousandths of a retry.
    balance_permille: u32,
}

impl RetryBudget {
    /// Creates a budget with the maximum balance.
    ///
    /// `share_permille` is the amount that a first attempt adds and
    /// `max_balance_permille` the maximum balance, in thousandths of a retry.
    #[must_use]
    pub const fn new(share_permille: u32, max_balance_permille: u32) -> Self {
        Self {
            share_permille,
            max_balance_permille,
            balance_permille: max_balance_permille,
        }
    }

    /// Adds the share of a first attempt to the balance.
    pub fn on_first_attempt(&mut self) {
        let balance = self.balance_permille + self.share_permille;
        self.balance_permille = balance.min(self.max_balance_permille);
    }

    /// Subtracts a retry if the balance allows it, and returns whether it did.
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
