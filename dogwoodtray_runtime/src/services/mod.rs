//! Services, their mailboxes and the registry by which they look each other up.

mod boot_clock;
mod clock;
mod registry;
mod service;

pub use self::boot_clock::BootClock;
pub use self::clock::Clock;
pub use self::registry::ServiceRegistry;
pub use self::service::Flow;
pub use self::service::Mailbox;
pub use self::service::Service;
pub use self::service::ServiceHandle;
pub use self::service::spawn;
