//! Group commit of entries to an object in the store.

mod event;
mod machine;

pub use self::event::CommitAction;
pub use self::event::CommitCodec;
pub use self::event::CommitConfig;
pub use self::event::CommitEvent;
pub use self::event::CommitRefusal;
pub use self::machine::GroupCommit;
