//! Decodes the client accounts of a configuration.

use hyper::header::HeaderValue;
use serde_json::Value;

use crate::core::accounts::{Account, AccountTable, KeyDigest};

/// Decodes the accounts; fields that are not known are ignored.
///
/// An account without keys is valid: its last key may have been revoked.
///
/// # Errors
///
/// Returns the path of the first field that is missing or has another type, or which two
/// accounts cannot be told apart. No error quotes a value, which might be a key.
pub(super) fn decode_accounts(tenants: &Value) -> Result<AccountTable, String> {
    let entries = tenants.as_array().ok_or("tenants: not a list")?;
    let accounts = entries.iter().enumerate();
    let accounts: Result<Vec<Account>, String> = accounts
        .map(|(index, entry)| decode_account(index, entry))
        .collect();
    AccountTable::new(accounts?).map_err(|error| format!("tenants: {error}"))
}

fn decode_account(index: usize, entry: &Value) -> Result<Account, String> {
    let fault = |field: &str, message: &str| format!("tenants[{index}].{field}: {message}");
    let name = entry.get("name").and_then(Value::as_str);
    let name = name
        .filter(|name| !name.is_empty() && HeaderValue::from_str(name).is_ok())
        .ok_or_else(|| fault("name", "not the name of an account"))?;
    let keys = entry.get("keys").and_then(Value::as_array);
    let keys = keys.ok_or_else(|| fault("keys", "not a list"))?;
    let digest = |key: &Value| key.as_str().map(KeyDigest::of);
    let keys: Option<Vec<KeyDigest>> = keys.iter().map(digest).collect();
    let keys = keys.ok_or_else(|| fault("keys", "not a list of texts"))?;
    let priority = match entry.get("priority") {
        None | Some(Value::Null) => None,
        Some(value) => {
            let rank = value.as_u64().and_then(|rank| u8::try_from(rank).ok());
            Some(rank.ok_or_else(|| fault("priority", "not a number from 0 to 255"))?)
        }
    };
    Ok(Account {
        name: name.into(),
        keys,
        priority,
    })
}
