//! Service registry, links, event log and operator port of the daemons.
//!
//! The [`ServiceRegistry`] finds services by name. A service runs on its own thread, receives
//! events from a crossbeam channel and looks up other services in the registry. Tokio tasks serve
//! the sockets and send events to the mailboxes of services.

mod convert;
mod events;
mod link;
mod log_writer;
mod operator;
mod services;

pub use crate::convert::attempt_from_wire;
pub use crate::convert::attempt_to_wire;
pub use crate::convert::block_from_wire;
pub use crate::convert::block_to_wire;
pub use crate::convert::config_set;
pub use crate::convert::crash_report;
pub use crate::convert::crashed_run;
pub use crate::convert::evidence_from_wire;
pub use crate::convert::evidence_to_wire;
pub use crate::convert::millis;
pub use crate::convert::time_ago;
pub use crate::convert::trial_stage_to_wire;
pub use crate::events::EventCode;
pub use crate::events::EventLog;
pub use crate::events::EventRecord;
pub use crate::events::Level;
pub use crate::events::catalogue;
pub use crate::link::DialHandle;
pub use crate::link::LinkConfig;
pub use crate::link::LinkEvent;
pub use crate::link::LinkHandle;
pub use crate::link::LinkId;
pub use crate::link::LinkListener;
pub use crate::link::RequestOutcome;
pub use crate::link::dial;
pub use crate::link::request_once;
pub use crate::log_writer::LogWriter;
pub use crate::operator::MetricsHandle;
pub use crate::operator::OperatorPort;
pub use crate::operator::OperatorService;
pub use crate::operator::install_metrics;
pub use crate::services::BootClock;
pub use crate::services::Clock;
pub use crate::services::Flow;
pub use crate::services::Mailbox;
pub use crate::services::Service;
pub use crate::services::ServiceHandle;
pub use crate::services::ServiceRegistry;
pub use crate::services::spawn;
