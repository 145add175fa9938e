use std::{collections::BTreeMap, sync::Arc};

use quick_error::quick_error;

use super::{Account, KeyDigest};
use crate::core::Name;

quick_error! {
    /// Why accounts cannot be told apart by their names and keys.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum AccountError {
        /// Two accounts have the same name.
        DuplicateName(name: Name) {
            display("two accounts are named {}", name)
        }
        /// Two accounts hold the same key.
        SharedKey(first: Name, second: Name) {
            display("accounts {} and {} hold the same key", first, second)
        }
    }
}

/// The accounts of one version of the configuration, by their keys.
///
/// # Examples
///
/// ```
/// use chicoryreach::core::accounts::{Account, AccountTable, KeyDigest};
///
/// let club = Account {
///     name: "club".into(),
///     keys: vec![KeyDigest::of("k1")],
///     priority: Some(1),
/// };
/// let table = AccountTable::new(vec![club]).expect("the accounts differ");
/// assert_eq!(&*table.find("k1").expect("its key").name, "club");
/// assert!(table.find("k2").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct AccountTable {
    by_key: BTreeMap<KeyDigest, Arc<Account>>,
    by_name: BTreeMap<Name, Arc<Account>>,
}

impl AccountTable {
    /// Creates a table.
    ///
    /// # Errors
    ///
    /// Returns an error if two accounts have the same name or hold the same key: a caller
    /// could then be taken for another account's.
    pub fn new(accounts: Vec<Account>) -> Result<Self, AccountError> {
        let mut table = Self::default();
        for account in accounts {
            let account = Arc::new(account);
            let name = account.name.clone();
            for key in &account.keys {
                let holder = table.by_key.insert(*key, account.clone());
                if let Some(holder) = holder.filter(|holder| holder.name != name) {
                    return Err(AccountError::SharedKey(holder.name.clone(), name));
                }
            }
            if table.by_name.insert(name.clone(), account).is_some() {
                return Err(AccountError::DuplicateName(name));
            }
        }
        Ok(table)
    }

    /// Returns the account that holds a key.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Arc<Account>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// Returns the account with this name.
    #[must_use]
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Returns the number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no accounts, so that no key is valid.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
