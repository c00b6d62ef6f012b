//! Framed connections between the processes of the system.

mod connection;
mod dialer;
mod listener;
mod request;
mod traffic;

pub use self::connection::LinkConfig;
pub use self::connection::LinkEvent;
pub use self::connection::LinkHandle;
pub use self::connection::LinkId;
pub use self::dialer::DialHandle;
pub use self::dialer::dial;
pub use self::listener::LinkListener;
pub use self::request::RequestOutcome;
pub use self::request::request_once;
