//! Scheduling order of batch jobs.

mod order;

pub use self::order::BatchOrder;
pub use self::order::JobKey;
