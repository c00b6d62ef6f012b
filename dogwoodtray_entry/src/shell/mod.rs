//! Entry process: runs the state machines as services and connects them to links and the store.

mod chat_answer;
mod config;
mod convert;
mod drain;
mod entry;
mod jobs;
mod once;
mod probe;
mod router;
mod settings;
mod shared;
mod store;
mod vm_list;

pub(crate) use self::chat_answer::ChatAnswer;
pub use self::entry::Entry;
pub use self::entry::EntryError;
pub(crate) use self::jobs::JobRequest;
pub(crate) use self::jobs::JobsInput;
pub(crate) use self::once::OnceInput;
pub(crate) use self::once::OnceReply;
pub(crate) use self::router::AnswerPart;
pub(crate) use self::router::RouterInput;
pub use self::settings::EntrySettings;
pub(crate) use self::shared::EntryState;

/// Name of the service that owns the links and routes requests.
pub(crate) const ROUTER: &str = "router";

/// Name of the service that accepts and runs jobs.
pub(crate) const JOBS: &str = "jobs";

/// Name of the service that keeps at-most-once records.
pub(crate) const ONCE: &str = "once";
