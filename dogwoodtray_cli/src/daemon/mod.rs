//! Daemons, each of which runs one role until a graceful shutdown has finished.

mod agent;
mod entry;
mod gateway;
mod run;
mod standin;

pub use self::agent::run_agent;
pub use self::entry::run_entry;
pub use self::gateway::run_driver;
pub use self::gateway::run_gateway;
pub use self::standin::run_standin;
