//! Stand-in for the platform's object API.

mod config;
mod counts;
mod objects;
mod routes;
mod standin;
mod state;
mod vm;

pub use self::config::PlatformConfig;
pub use self::config::PlatformFaults;
pub use self::standin::PlatformStandin;
pub use self::vm::Vm;
pub use self::vm::VmRole;
pub use self::vm::VmState;
