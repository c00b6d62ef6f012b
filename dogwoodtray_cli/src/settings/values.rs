//! Values of settings and their validation.

use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use dogwoodtray_coord::Name;

use super::error::SettingError;
use super::error::SettingsFailure;
use super::setting::Setting;

/// Maximum length of the name of a node, a data centre, a region or a model.
const MAX_NAME_BYTES: usize = 64;

/// Raw values by flag, and the errors found so far.
///
/// The methods record an error and return a placeholder if a value is invalid, so that one pass
/// finds all errors. [`Values::finish`] then returns these errors instead of the settings.
#[derive(Clone, Debug, Default)]
pub(super) struct Values {
    raw: HashMap<&'static str, String>,
    errors: Vec<SettingError>,
}

impl Values {
    pub(super) fn set(&mut self, setting: &'static Setting, value: Option<String>) {
        let value = value.or_else(|| setting.default.map(str::to_owned));
        if let Some(value) = value {
            self.raw.insert(setting.flag, value);
        }
    }

    /// Returns the settings, or all errors that were found.
    pub(super) fn finish<T>(self, settings: T) -> Result<T, SettingsFailure> {
        if self.errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsFailure::Invalid(self.errors))
        }
    }

    pub(super) fn reject(&mut self, setting: &Setting, allowed: impl Into<String>) {
        let value = self.raw.get(setting.flag).map(String::as_str);
        self.errors.push(SettingError::new(setting, value, allowed));
    }

    fn parse<T>(
        &mut self,
        setting: &Setting,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.raw.get(setting.flag).and_then(|raw| parse(raw));
        if value.is_none() {
            self.reject(setting, allowed);
        }
        value
    }

    pub(super) fn name(&mut self, setting: &Setting) -> Name {
        let allowed = "a name of 1 to 64 letters, digits, '.', '_' and '-'";
        let name = self.parse(setting, allowed, |raw| is_valid_name(raw).then(|| Name::from(raw)));
        name.unwrap_or_else(|| Name::from(""))
    }

    pub(super) fn names(&mut self, setting: &Setting) -> Vec<Name> {
        let allowed = "a list of names separated by commas, at least one and none twice";
        let names = self.parse(setting, allowed, |raw| {
            let names: Vec<Name> = raw.split(',').map(|name| Name::from(name.trim())).collect();
            let repeated = (1..names.len()).any(|index| names[..index].contains(&names[index]));
            (!repeated && names.iter().all(|name| is_valid_name(name))).then_some(names)
        });
        names.unwrap_or_default()
    }

    /// Parses an address to listen on. With port 0, the operating system chooses a port.
    pub(super) fn listen_addr(&mut self, setting: &Setting) -> SocketAddr {
        let allowed = "an IP address and a port, such as 10.0.0.7:8080";
        self.parse(setting, allowed, |raw| raw.parse().ok()).unwrap_or_else(placeholder_addr)
    }

    /// Parses an address to listen on that other processes connect to.
    pub(super) fn advertised_addr(&mut self, setting: &Setting) -> SocketAddr {
        let allowed = "the IP address that others dial and a port, such as 10.0.0.7:8080";
        let has_ip = |addr: &SocketAddr| !addr.ip().is_unspecified();
        let addr = self.parse(setting, allowed, |raw| raw.parse().ok().filter(has_ip));
        addr.unwrap_or_else(placeholder_addr)
    }

    /// Parses an address to connect to.
    pub(super) fn remote_addr(&mut self, setting: &Setting) -> SocketAddr {
        let allowed = "an IP address and a port other than 0, such as 10.0.0.7:8080";
        let is_complete = |addr: &SocketAddr| !addr.ip().is_unspecified() && addr.port() != 0;
        let addr = self.parse(setting, allowed, |raw| raw.parse().ok().filter(is_complete));
        addr.unwrap_or_else(placeholder_addr)
    }

    pub(super) fn number<T>(&mut self, setting: &Setting, range: RangeInclusive<T>) -> T
    where
        T: Copy + Display + FromStr + PartialOrd,
    {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        let number =
            self.parse(setting, &allowed, |raw| raw.parse().ok().filter(|n| range.contains(n)));
        number.unwrap_or(*range.start())
    }

    /// Parses a number that may be left empty.
    pub(super) fn optional_number<T>(
        &mut self,
        setting: &Setting,
        range: RangeInclusive<T>,
    ) -> Option<T>
    where
        T: Copy + Display + FromStr + PartialOrd,
    {
        if self.is_empty(setting) {
            return None;
        }
        let allowed = format!("a number from {} to {}, or empty", range.start(), range.end());
        self.parse(setting, &allowed, |raw| raw.parse().ok().filter(|n| range.contains(n)))
    }

    /// Parses a truth value; an empty one is false.
    pub(super) fn optional_boolean(&mut self, setting: &Setting) -> bool {
        if self.is_empty(setting) {
            return false;
        }
        self.parse(setting, "true, false or empty", |raw| raw.parse().ok()).unwrap_or_default()
    }

    fn is_empty(&self, setting: &Setting) -> bool {
        self.raw.get(setting.flag).is_none_or(String::is_empty)
    }

    pub(super) fn boolean(&mut self, setting: &Setting) -> bool {
        self.parse(setting, "true or false", |raw| raw.parse().ok()).unwrap_or_default()
    }

    /// Parses one of several values and returns its index.
    pub(super) fn choice_index(&mut self, setting: &Setting, choices: &[&'static str]) -> usize {
        let allowed = format!("one of {}", choices.join(", "));
        let index =
            self.parse(setting, &allowed, |raw| choices.iter().position(|choice| *choice == raw));
        index.unwrap_or_default()
    }

    /// Records an error for each listener whose address conflicts with that of an earlier one.
    pub(super) fn check_distinct_addrs(&mut self, listeners: &[(&Setting, SocketAddr)]) {
        for (index, (setting, addr)) in listeners.iter().enumerate() {
            let conflicting = |(_, other): &&(&Setting, SocketAddr)| addrs_conflict(*other, *addr);
            if let Some((other, _)) = listeners[..index].iter().find(conflicting) {
                self.reject(setting, format!("an address other than that of --{}", other.flag));
            }
        }
    }
}

fn placeholder_addr() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

/// Returns whether two listeners cannot be bound at the same time. Port 0 never conflicts.
fn addrs_conflict(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && same_ip
}

fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
