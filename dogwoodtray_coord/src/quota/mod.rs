//! Quotas that several processes share.

mod event;
mod machine;
mod rate;
mod record;

pub use self::event::QuotaAction;
pub use self::event::QuotaDecision;
pub use self::event::QuotaEvent;
pub use self::event::QuotaRefusal;
pub use self::event::QuotaRequest;
pub use self::event::WorkStatus;
pub use self::event::WorkView;
pub use self::machine::RESERVATION_TIMEOUT;
pub use self::machine::SharedQuota;
