use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use super::SettingsFault;

/// Work on the platform's API that one VM does at a time.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    Eq,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DutyKind {
    /// Reports how many requests of each account ran.
    Usage,
    /// Orders endpoints for the services that are scaled.
    Scale,
}

/// The platform's API, and the duties on it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformApiSettings {
    /// The address of the platform's API.
    pub address: SocketAddr,
    /// The calls that the API allows per second, of all VMs together.
    pub calls_per_s: f64,
    /// The duties that the VMs have.
    pub duties: Vec<DutyKind>,
    /// The length of a usage window, in seconds.
    pub usage_window_s: f64,
    /// How long after the end of its window a usage report is due, in seconds.
    pub usage_due_s: f64,
}

/// The shortest usage window that is allowed, in seconds.
const MIN_USAGE_WINDOW_S: f64 = 0.1;
/// The greatest number that is allowed, so that all times fit.
const MAX_NUMBER: f64 = 1e6;

impl PlatformApiSettings {
    /// Returns whether the VMs have a duty.
    ///
    /// # Examples
    ///
    /// ```
    /// use chicoryreach::settings::{DutyKind, PlatformApiSettings};
    ///
    /// let api = PlatformApiSettings {
    ///     address: "127.0.0.1:80".parse().unwrap(),
    ///     calls_per_s: 50.0,
    ///     duties: vec![DutyKind::Usage],
    ///     usage_window_s: 5.0,
    ///     usage_due_s: 10.0,
    /// };
    /// assert!(api.has(DutyKind::Usage));
    /// assert!(!api.has(DutyKind::Scale));
    /// assert!(api.faults().is_empty());
    /// ```
    #[must_use]
    pub fn has(&self, duty: DutyKind) -> bool {
        self.duties.contains(&duty)
    }

    /// Returns the faults of the settings.
    #[must_use]
    pub fn faults(&self) -> Vec<SettingsFault> {
        let numbers = [
            ("calls_per_s", self.calls_per_s, f64::MIN_POSITIVE),
            ("usage_window_s", self.usage_window_s, MIN_USAGE_WINDOW_S),
            ("usage_due_s", self.usage_due_s, MIN_USAGE_WINDOW_S),
        ];
        let wrong = numbers
            .into_iter()
            .filter(|(_, value, min)| !(*min..=MAX_NUMBER).contains(value));
        wrong
            .map(|(name, value, min)| SettingsFault {
                path: format!("platform_api.{name}"),
                found: value.to_string(),
                allowed: if min < MIN_USAGE_WINDOW_S {
                    format!("a number greater than 0, at most {MAX_NUMBER}")
                } else {
                    format!("a number from {min} to {MAX_NUMBER}")
                },
            })
            .collect()
    }
}
