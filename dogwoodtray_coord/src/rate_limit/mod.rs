//! Limits on the requests of organizations over all processes.
//!
//! The design and the proof of the bound are in `docs/design/organization-limits.md`.

mod bucket;
mod limits;
mod local;
mod share;
mod tolerance;

pub use self::bucket::TokenBucket;
pub use self::limits::RateLimits;
pub use self::limits::SpendId;
pub use self::local::LocalLimits;
pub use self::share::ServedBy;
pub use self::share::served_share;
pub use self::tolerance::LimitTolerance;

/// Maximum number of buckets of a gateway without a driver. The fleet is designed for 5,700 organizations.
const MAX_TRACKED_BUCKETS: usize = 8_192;

/// Limit of an organization.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Number of requests that may exceed the rate at once.
    pub burst: f64,
}
