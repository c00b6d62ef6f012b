//! A whole system in one process, for developers and measurements.
//!
//! A process of the system starts no other, so all roles and stand-ins run as tasks and threads of
//! one process and talk over loopback.

mod demo;
mod fleet;
mod ports;

pub use self::demo::DemoSummary;
pub use self::demo::run_demo;
pub use self::fleet::Fleet;
pub use self::fleet::FleetConfig;
pub use self::fleet::FleetError;
