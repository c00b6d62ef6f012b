//! Simple policies that serve as baselines in measurements.

mod by_name;
mod endpoints;
mod fifo;
mod fixed_limit;
mod least_outstanding;
mod round_robin;

pub use self::by_name::admission_policy;
pub use self::by_name::route_policy;
pub use self::fifo::Fifo;
pub use self::fixed_limit::FixedLimit;
pub use self::least_outstanding::LeastOutstanding;
pub use self::round_robin::RoundRobin;
