//! Order of batch work.

mod order;

pub use self::order::BatchOrder;
pub use self::order::JobKey;
