//! A whole fleet in one process, for development and measurement.
//!
//! No process of the system starts another process, so all roles and stand-ins run as tasks and
//! threads of one process and communicate over loopback.

mod demo;
mod fleet;
mod ports;

pub use self::demo::DemoSummary;
pub use self::demo::run_demo;
pub use self::fleet::Fleet;
pub use self::fleet::FleetConfig;
pub use self::fleet::FleetError;
