use std::{collections::BTreeSet, fmt, ops::RangeInclusive};

use serde_json::Value;

use super::{Limits, Settings};

/// An invalid value in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsFault {
    /// The JSON path of the value.
    pub path: String,
    /// The value that was found, or a description of it.
    pub found: String,
    /// A description of the allowed values.
    pub allowed: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, expected {}",
            self.path, self.found, self.allowed
        )
    }
}

/// The keys of a settings file.
const KEYS: [&str; 6] = [
    "vm",
    "data_centre",
    "caller_address",
    "control_address",
    "platform_addresses",
    "limits",
];

/// The allowed range of each limit.
const LIMIT_RANGES: [(&str, RangeInclusive<u64>); 7] = [
    ("max_body_bytes", 1_024..=67_108_864),
    ("max_requests", 1..=65_536),
    ("keep_addresses_ms", 100..=60_000),
    ("max_request_ms", 100..=3_600_000),
    ("min_watch_ms", 10..=60_000),
    ("max_watch_ms", 10..=60_000),
    ("max_generating", 1..=65_536),
];

/// Parses and validates settings from JSON.
///
/// # Errors
///
/// Returns all faults at once, sorted by path. If the text is not valid JSON, the
/// only fault is the syntax error.
///
/// # Examples
///
/// ```
/// use chicoryreach::settings::parse_settings;
///
/// let faults = parse_settings(r#"{"vm": "", "limits": {"max_requests": 0}}"#).unwrap_err();
/// let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
/// assert!(paths.contains(&"vm"));
/// assert!(paths.contains(&"limits.max_requests"));
/// ```
pub fn parse_settings(text: &str) -> Result<Settings, Vec<SettingsFault>> {
    let value: Value = serde_json::from_str(text).map_err(|error| vec![syntax_fault(&error)])?;
    let mut faults = Vec::new();
    check_keys(&value, &mut faults);
    check_name(&value, "vm", &mut faults);
    check_name(&value, "data_centre", &mut faults);
    check_address(&value["caller_address"], "caller_address", &mut faults);
    check_address(&value["control_address"], "control_address", &mut faults);
    check_platform(&value["platform_addresses"], &mut faults);
    check_limits(&value["limits"], &mut faults);
    if !faults.is_empty() {
        faults.sort_by(|a, b| a.path.cmp(&b.path));
        return Err(faults);
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        vec![fault(
            &path,
            &error.into_inner().to_string(),
            "a value of the documented type",
        )]
    })
}

fn syntax_fault(error: &serde_json::Error) -> SettingsFault {
    fault("$", &error.to_string(), "a JSON document")
}

fn fault(path: &str, found: &str, allowed: &str) -> SettingsFault {
    SettingsFault {
        path: path.to_owned(),
        found: found.to_owned(),
        allowed: allowed.to_owned(),
    }
}

fn check_keys(value: &Value, faults: &mut Vec<SettingsFault>) {
    let Some(object) = value.as_object() else {
        faults.push(fault("$", &value.to_string(), "a JSON object"));
        return;
    };
    for key in object.keys().filter(|key| !KEYS.contains(&key.as_str())) {
        faults.push(fault(
            key,
            "an unknown key",
            &format!("one of {}", KEYS.join(", ")),
        ));
    }
}

fn check_name(value: &Value, key: &str, faults: &mut Vec<SettingsFault>) {
    let is_name = |text: &str| {
        !text.is_empty()
            && text
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
    };
    if !value[key].as_str().is_some_and(is_name) {
        let allowed = "a name of letters, digits and hyphens";
        faults.push(fault(key, &value[key].to_string(), allowed));
    }
}

fn check_address(value: &Value, path: &str, faults: &mut Vec<SettingsFault>) {
    let is_address = |text: &str| text.parse::<std::net::SocketAddr>().is_ok();
    if !value.as_str().is_some_and(is_address) {
        faults.push(fault(path, &value.to_string(), "an IP address and a port"));
    }
}

fn check_platform(value: &Value, faults: &mut Vec<SettingsFault>) {
    let Some(addresses) = value.as_array().filter(|array| !array.is_empty()) else {
        let allowed = "a list of at least one address";
        faults.push(fault("platform_addresses", &value.to_string(), allowed));
        return;
    };
    let mut seen = BTreeSet::new();
    for (index, address) in addresses.iter().enumerate() {
        let path = format!("platform_addresses[{index}]");
        check_address(address, &path, faults);
        if !seen.insert(address.to_string()) {
            faults.push(fault(
                &path,
                &format!("a repeated {address}"),
                "each address only once",
            ));
        }
    }
}

fn check_limits(value: &Value, faults: &mut Vec<SettingsFault>) {
    if value.is_null() {
        return;
    }
    let Some(object) = value.as_object() else {
        faults.push(fault("limits", &value.to_string(), "a JSON object"));
        return;
    };
    for (key, found) in object {
        let path = format!("limits.{key}");
        match LIMIT_RANGES.iter().find(|(name, _)| name == key) {
            None => {
                let names: Vec<_> = LIMIT_RANGES.iter().map(|(name, _)| *name).collect();
                faults.push(fault(
                    &path,
                    "an unknown key",
                    &format!("one of {}", names.join(", ")),
                ));
            }
            Some((_, range)) if !found.as_u64().is_some_and(|found| range.contains(&found)) => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                faults.push(fault(&path, &found.to_string(), &allowed));
            }
            Some(_) => {}
        }
    }
    check_watch_bounds(value, faults);
}

fn check_watch_bounds(value: &Value, faults: &mut Vec<SettingsFault>) {
    let defaults = Limits::default();
    let min_ms = value["min_watch_ms"]
        .as_u64()
        .unwrap_or(defaults.min_watch_ms);
    let max_ms = value["max_watch_ms"]
        .as_u64()
        .unwrap_or(defaults.max_watch_ms);
    if min_ms > max_ms {
        let allowed = format!("at least min_watch_ms, {min_ms}");
        faults.push(fault("limits.max_watch_ms", &max_ms.to_string(), &allowed));
    }
}
