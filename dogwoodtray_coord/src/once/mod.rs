//! At-most-once records of one key range.

mod active;
mod codec;
mod encoding;
mod event;
mod lookup;
mod range;
mod record;
mod requests;
mod seal;
mod table;

pub use self::event::OnceAction;
pub use self::event::OnceEvent;
pub use self::event::OnceRefusal;
pub use self::range::OnceRange;
pub use self::record::ANSWER_GRACE_MS;
pub use self::record::Answer;
pub use self::record::KeyHash;
pub use self::record::OnceConfig;
pub use self::record::Outcome;
pub use self::record::RequestId;
