//! Operator port, which serves health, status, metrics and the timeline over HTTP.

mod metrics;
mod port;

pub use self::metrics::MetricsHandle;
pub use self::metrics::install_metrics;
pub use self::port::OperatorPort;
pub use self::port::OperatorService;
