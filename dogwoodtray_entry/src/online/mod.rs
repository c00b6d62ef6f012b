//! Routing, retries, hedging and answers of online requests.

mod attempt;
mod blocks;
mod core;
mod endpoints;
mod event;
mod placement;
mod request;
mod slow_endpoints;
mod stream;
mod tick;

pub use self::attempt::NotRunProof;
pub use self::core::OnlineConfig;
pub use self::core::OnlineCore;
pub use self::event::AttemptDone;
pub use self::event::AttemptOutcome;
pub use self::event::BatchEnd;
pub use self::event::DispatchMode;
pub use self::event::LinkNo;
pub use self::event::NotRunReason;
pub use self::event::OnlineAction;
pub use self::event::OnlineEvent;
pub use self::event::PeerInfo;
pub use self::event::RequestEnd;
pub use self::event::RequestNo;
pub use self::event::RequestSpec;
pub(crate) use self::stream::EVENT_STREAM;
pub(crate) use self::stream::is_stream_part;
