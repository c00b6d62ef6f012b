//! Types shared by all policies.

mod work;

pub use self::work::Class;
pub use self::work::Cost;
pub use self::work::WorkId;
