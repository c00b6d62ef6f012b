//! Values of settings, and their checks.

use std::collections::HashMap;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use dogwoodtray_coord::Name;

use super::error::SettingError;
use super::error::SettingsFailure;
use super::setting::Setting;

/// Longest name of a node, a data centre or a region in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Raw values by flag, with the errors found so far.
///
/// The methods return a placeholder when a value is not allowed, so that the checks go on;
/// [`Values::finish`] then refuses the settings as a whole.
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

    /// Returns the settings if no error was found.
    pub(super) fn finish<T>(self, settings: T) -> Result<T, SettingsFailure> {
        if self.errors.is_empty() {
            Ok(settings)
        } else {
            Err(SettingsFailure::Invalid(self.errors))
        }
    }

    pub(super) fn refuse(&mut self, setting: &Setting, allowed: impl Into<String>) {
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
            self.refuse(setting, allowed);
        }
        value
    }

    pub(super) fn name(&mut self, setting: &Setting) -> Name {
        let allowed = "a name of 1 to 64 letters, digits, '.', '_' and '-'";
        let name = self.parse(setting, allowed, |raw| is_name(raw).then(|| Name::from(raw)));
        name.unwrap_or_else(|| Name::from(""))
    }

    pub(super) fn names(&mut self, setting: &Setting) -> Vec<Name> {
        let allowed = "a list of names separated by commas, at least one and none twice";
        let names = self.parse(setting, allowed, |raw| {
            let names: Vec<Name> = raw.split(',').map(|name| Name::from(name.trim())).collect();
            let repeated = (1..names.len()).any(|at| names[..at].contains(&names[at]));
            (!repeated && names.iter().all(|name| is_name(name))).then_some(names)
        });
        names.unwrap_or_default()
    }

    /// Reads an address to listen on. Port 0 lets the system choose.
    pub(super) fn listen(&mut self, setting: &Setting) -> SocketAddr {
        let allowed = "an IP address and a port, such as 10.0.0.7:8080";
        self.parse(setting, allowed, |raw| raw.parse().ok()).unwrap_or_else(no_addr)
    }

    /// Reads an address to listen on that other processes dial.
    pub(super) fn listen_known(&mut self, setting: &Setting) -> SocketAddr {
        let allowed = "the IP address that others dial and a port, such as 10.0.0.7:8080";
        let known = |addr: &SocketAddr| !addr.ip().is_unspecified();
        let addr = self.parse(setting, allowed, |raw| raw.parse().ok().filter(known));
        addr.unwrap_or_else(no_addr)
    }

    /// Reads an address to dial.
    pub(super) fn dial(&mut self, setting: &Setting) -> SocketAddr {
        let allowed = "an IP address and a port other than 0, such as 10.0.0.7:8080";
        let usable = |addr: &SocketAddr| !addr.ip().is_unspecified() && addr.port() != 0;
        let addr = self.parse(setting, allowed, |raw| raw.parse().ok().filter(usable));
        addr.unwrap_or_else(no_addr)
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

    pub(super) fn flag(&mut self, setting: &Setting) -> bool {
        self.parse(setting, "true or false", |raw| raw.parse().ok()).unwrap_or_default()
    }

    /// Reads one of several words and returns its index.
    pub(super) fn word(&mut self, setting: &Setting, words: &[&'static str]) -> usize {
        let allowed = format!("one of {}", words.join(", "));
        let index = self.parse(setting, &allowed, |raw| words.iter().position(|word| *word == raw));
        index.unwrap_or_default()
    }

    /// Reports addresses that two listeners of one process share.
    pub(super) fn distinct(&mut self, listeners: &[(&Setting, SocketAddr)]) {
        for (at, (setting, addr)) in listeners.iter().enumerate() {
            let same = |(_, other): &&(&Setting, SocketAddr)| collide(*other, *addr);
            if let Some((other, _)) = listeners[..at].iter().find(same) {
                self.refuse(setting, format!("an address other than that of --{}", other.flag));
            }
        }
    }
}

fn no_addr() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}

/// Tells whether two listeners cannot be bound together. Port 0 never collides.
fn collide(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && a.port() != 0 && same_ip
}

fn is_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
