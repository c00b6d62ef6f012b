//! Basic types shared by all crates.

mod id;
mod store;
mod time;

pub use self::id::AttemptId;
pub use self::id::ContentHash;
pub use self::id::Epoch;
pub use self::id::Generation;
pub use self::id::Incarnation;
pub use self::id::Name;
pub use self::id::Version;
pub use self::id::WriteStamp;
pub use self::store::CallId;
pub use self::store::ObjectKey;
pub use self::store::Precondition;
pub use self::store::StoreOp;
pub use self::store::StoreReply;
pub use self::time::Timestamp;
