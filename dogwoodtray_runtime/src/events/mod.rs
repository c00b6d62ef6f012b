//! Numbered log events and the timeline that shows the latest of them.

pub mod catalogue;
mod code;
mod log;

pub use self::code::EventCode;
pub use self::code::Level;
pub use self::log::EventLog;
pub use self::log::EventRecord;
