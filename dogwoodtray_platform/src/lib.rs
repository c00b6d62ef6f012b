//! Client of the platform's object API, with a rate limit on its calls.
//!
//! The API counts calls against limits of the whole fleet, so [`HttpStore`] reserves each call from
//! a [`CallBudget`]. Results distinguish calls that were not sent from calls whose outcome is
//! unknown: only the latter may have taken effect.

mod addr;
mod budget;
mod http;
mod json_text;
mod line_limit;
mod memory;
mod memory_objects;
mod objects;
mod store;

pub use crate::addr::listening_addr;
pub use crate::budget::BudgetConfig;
pub use crate::budget::CallBudget;
pub use crate::http::HttpStore;
pub use crate::http::HttpStoreConfig;
pub use crate::http::percent_decode;
pub use crate::http::percent_encode;
pub use crate::json_text::decode_json;
pub use crate::json_text::has_unreadable_bytes;
pub use crate::line_limit::LineLimit;
pub use crate::memory::MemoryFault;
pub use crate::memory::MemoryStore;
pub use crate::memory_objects::MemoryObjects;
pub use crate::objects::Change;
pub use crate::objects::ConditionalResult;
pub use crate::objects::CreateResult;
pub use crate::objects::GetResult;
pub use crate::objects::ListResult;
pub use crate::objects::Object;
pub use crate::objects::ObjectStore;
pub use crate::objects::UpdateResult;
pub use crate::objects::WatchResult;
pub use crate::store::BoxFuture;
pub use crate::store::Store;
pub use crate::store::VmEntry;
pub use crate::store::VmRole;
pub use crate::store::VmState;
pub use crate::store::WatchReply;
