//! Claims on objects in the store.

mod event;
mod machine;
mod record;
mod watch;

pub use self::event::ClaimAction;
pub use self::event::ClaimEvent;
pub use self::event::ClaimState;
pub use self::event::LossReason;
pub use self::machine::Claim;
pub use self::record::ClaimCodec;
pub use self::record::ClaimRecord;
pub use self::record::Holder;
pub use self::watch::HolderStatus;
pub use self::watch::HolderWatch;
pub use self::watch::MIN_UNANSWERED_PROBES;
pub use self::watch::PROBE_INTERVAL;
pub use self::watch::TAKEOVER_TIMEOUT;
