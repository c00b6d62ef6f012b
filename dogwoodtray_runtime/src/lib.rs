//! Service registry, links, event log and operator port of the daemons.
//!
//! The [`Kernel`] is a registry of services by name. A service runs on its own thread, receives
//! events from a crossbeam channel and looks up other services in the registry. Tokio tasks serve
//! the sockets and send events to the mailboxes of services.

mod border;
mod events;
mod kernel;
mod link;
mod log_writer;
mod operator;

pub use crate::border::attempt_from_wire;
pub use crate::border::attempt_to_wire;
pub use crate::border::config_set;
pub use crate::border::suspicions_from_wire;
pub use crate::border::suspicions_to_wire;
pub use crate::events::EventCode;
pub use crate::events::EventLog;
pub use crate::events::EventRecord;
pub use crate::events::Level;
pub use crate::events::catalogue;
pub use crate::kernel::Clock;
pub use crate::kernel::Flow;
pub use crate::kernel::Kernel;
pub use crate::kernel::Mailbox;
pub use crate::kernel::Service;
pub use crate::kernel::ServiceHandle;
pub use crate::kernel::spawn;
pub use crate::link::AskOutcome;
pub use crate::link::DialHandle;
pub use crate::link::LinkConfig;
pub use crate::link::LinkEvent;
pub use crate::link::LinkHandle;
pub use crate::link::LinkId;
pub use crate::link::LinkListener;
pub use crate::link::ask;
pub use crate::link::dial;
pub use crate::log_writer::LogWriter;
pub use crate::operator::MetricsHandle;
pub use crate::operator::OperatorPort;
pub use crate::operator::OperatorService;
pub use crate::operator::install_metrics;
