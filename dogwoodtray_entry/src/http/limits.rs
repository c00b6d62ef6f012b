//! Request limits for each organization.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::TokenBucket;
use hyper::StatusCode;

use super::error::ApiError;
use super::error::RETRY_AFTER_DEFAULT;

/// Number of tracked organizations at which those without open requests are removed. The fleet is
/// designed for 5,700 organizations.
const MAX_TRACKED_ORGANIZATIONS: usize = 8_192;

/// Limits of one organization at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrganizationLimits {
    /// Maximum number of requests per second. The burst size is the requests of one second.
    pub requests_per_s: u32,
    /// Maximum number of concurrent open requests.
    pub open_requests: u32,
}

impl Default for OrganizationLimits {
    fn default() -> Self {
        Self { requests_per_s: 1_000, open_requests: 2_000 }
    }
}

/// Limits the requests of each organization, so that none can exhaust the entry.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    limits: OrganizationLimits,
    organizations: Mutex<HashMap<Name, Usage>>,
}

#[derive(Debug)]
struct Usage {
    tokens: TokenBucket,
    refilled_at: Instant,
    open: u32,
}

/// Permit of an open request, released on drop.
#[derive(Debug)]
pub(crate) struct Permit {
    limiter: Arc<RateLimiter>,
    organization: Name,
}

impl RateLimiter {
    pub(crate) fn new(limits: OrganizationLimits) -> Arc<Self> {
        Arc::new(Self { limits, organizations: Mutex::new(HashMap::new()) })
    }

    /// Admits a request, or returns an error that names the exceeded limit.
    pub(crate) fn admit(
        self: &Arc<Self>,
        organization: &Name,
        now: Instant,
    ) -> Result<Permit, ApiError> {
        let rate = f64::from(self.limits.requests_per_s);
        let mut organizations = self.lock();
        if organizations.len() >= MAX_TRACKED_ORGANIZATIONS {
            organizations.retain(|_, usage| usage.open > 0);
        }
        let usage = organizations.entry(Name::clone(organization)).or_insert(Usage {
            tokens: TokenBucket::new(rate, rate, rate),
            refilled_at: now,
            open: 0,
        });
        usage.tokens.refill(now.saturating_duration_since(usage.refilled_at));
        usage.refilled_at = now;
        if usage.open >= self.limits.open_requests {
            return Err(rate_limited("too many open requests of this organization"));
        }
        if !usage.tokens.try_take() {
            return Err(rate_limited("too many requests a second of this organization"));
        }
        usage.open += 1;
        Ok(Permit { limiter: Arc::clone(self), organization: Name::clone(organization) })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Usage>> {
        self.organizations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(usage) = self.limiter.lock().get_mut(&self.organization) {
            usage.open = usage.open.saturating_sub(1);
        }
    }
}

fn rate_limited(message: &'static str) -> ApiError {
    let error = ApiError::not_run(StatusCode::TOO_MANY_REQUESTS, "rate_limited", message);
    ApiError { retry_after: Some(RETRY_AFTER_DEFAULT), ..error }
}
