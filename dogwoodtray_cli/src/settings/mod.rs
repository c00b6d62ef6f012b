//! Settings of the daemons, read from flags and environment variables.
//!
//! Each setting is a flag `--some-name` and an environment variable `DOGWOODTRAY_SOME_NAME`; the
//! flag takes precedence. All settings are validated before a daemon starts, and all errors
//! are reported at once.

mod agent;
mod entry;
mod error;
mod gateway;
mod setting;
mod standin;
mod values;

pub use self::agent::AgentSettings;
pub use self::agent::EndpointKind;
pub use self::entry::EntrySettings;
pub use self::entry::OrganisationLimits;
pub use self::error::SettingError;
pub use self::error::SettingsFailure;
pub use self::gateway::DriverSettings;
pub use self::gateway::GatewaySettings;
pub use self::gateway::NodeSettings;
pub use self::standin::EngineStandinSettings;
pub use self::standin::PlatformStandinSettings;
pub use self::standin::ServiceStandinSettings;
pub use self::standin::StandinSettings;
