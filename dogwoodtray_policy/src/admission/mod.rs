//! Admission of work to one endpoint.

mod config;
mod controller;
mod limit;
mod policy;
mod queue;
mod reserve;
mod running;

pub use self::config::AdmissionConfig;
pub use self::controller::Admission;
pub use self::limit::AdaptiveLimit;
pub use self::limit::LimitConfig;
pub use self::policy::AdmissionAction;
pub use self::policy::AdmissionEvent;
pub use self::policy::AdmissionPolicy;
pub use self::policy::RefuseReason;
