//! Operator port.

mod metrics;
mod port;

pub use self::metrics::MetricsHandle;
pub use self::metrics::install_metrics;
pub use self::port::OperatorPort;
pub use self::port::OperatorService;
