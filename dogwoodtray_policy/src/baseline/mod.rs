//! Simple policies that serve as baselines in measurements.

mod fifo;
mod fixed_limit;
mod least_outstanding;
mod round_robin;
mod select;
mod simple_endpoints;

pub use self::fifo::Fifo;
pub use self::fixed_limit::FixedLimit;
pub use self::least_outstanding::LeastOutstanding;
pub use self::round_robin::RoundRobin;
pub use self::select::admission_policy;
pub use self::select::route_policy;
