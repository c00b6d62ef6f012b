//! Framed connections between the processes of the system.

mod ask;
mod connection;
mod dialer;
mod listener;
mod traffic;

pub use self::ask::AskOutcome;
pub use self::ask::ask;
pub use self::connection::LinkConfig;
pub use self::connection::LinkEvent;
pub use self::connection::LinkHandle;
pub use self::connection::LinkId;
pub use self::dialer::DialHandle;
pub use self::dialer::dial;
pub use self::listener::LinkListener;
