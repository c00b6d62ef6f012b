//! Errors of settings.

use std::fmt;

use bpaf::ParseFailure;

use super::setting::Setting;
use crate::Exit;

/// Error of one setting that is missing or has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingError {
    /// Name of the flag, without dashes.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub env: &'static str,
    /// Invalid value, or `None` if the setting is missing.
    pub value: Option<String>,
    /// Description of the allowed values.
    pub allowed: String,
}

impl SettingError {
    pub(super) fn new(setting: &Setting, value: Option<&str>, allowed: impl Into<String>) -> Self {
        let value = value.map(str::to_owned);
        Self { flag: setting.flag, env: setting.env, value, allowed: allowed.into() }
    }
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "--{} ({}): ", self.flag, self.env)?;
        match &self.value {
            Some(value) => write!(f, "{value:?} is not allowed; ")?,
            None => f.write_str("not set; ")?,
        }
        write!(f, "allowed is {}", self.allowed)
    }
}

/// Reason why a program exits before it starts its work.
#[derive(Debug)]
pub enum SettingsFailure {
    /// The arguments cannot be parsed, or request the help or the version.
    Arguments(ParseFailure),
    /// Some settings are missing or have invalid values.
    Invalid(Vec<SettingError>),
}

impl SettingsFailure {
    /// Prints the failure or the requested help, and returns the exit code.
    pub fn report(self) -> Exit {
        match self {
            Self::Arguments(failure) => {
                failure.print_message(100);
                if failure.exit_code() == 0 { Exit::Ok } else { Exit::Usage }
            }
            Self::Invalid(_) => {
                eprintln!("{self}");
                Exit::Usage
            }
        }
    }
}

impl fmt::Display for SettingsFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arguments(failure) => write!(f, "{failure:?}"),
            Self::Invalid(errors) => {
                write!(f, "errors in the settings: {}", errors.len())?;
                errors.iter().try_for_each(|error| write!(f, "\n  {error}"))
            }
        }
    }
}

impl std::error::Error for SettingsFailure {}
