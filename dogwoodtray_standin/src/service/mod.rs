//! Stand-in for a plain service.

mod config;
mod standin;

pub use self::config::ServiceConfig;
pub use self::config::ServiceFaults;
pub use self::standin::ServiceStandin;
