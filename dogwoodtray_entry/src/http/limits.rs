//! Limits of one organization at this entry.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use dogwoodtray_coord::Name;
use hyper::StatusCode;

use super::error::ApiError;

/// Organizations that are remembered before idle ones are dropped. The fleet is to serve 5,700.
const MAX_IDLE: usize = 8_192;

/// Limits of one organization at one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrganizationLimits {
    /// Requests a second; one second of them may come at once.
    pub requests_per_s: u32,
    /// Requests that are open at a time.
    pub open_requests: u32,
}

impl Default for OrganizationLimits {
    fn default() -> Self {
        Self { requests_per_s: 1_000, open_requests: 2_000 }
    }
}

/// Keeps one organization from taking the entry away from the others.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    limits: OrganizationLimits,
    organizations: Mutex<HashMap<Name, Usage>>,
}

#[derive(Debug)]
struct Usage {
    tokens: f64,
    at: Instant,
    open: u32,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Arc<RateLimiter>,
    organization: Name,
}

impl RateLimiter {
    pub(crate) fn new(limits: OrganizationLimits) -> Arc<Self> {
        Arc::new(Self { limits, organizations: Mutex::new(HashMap::new()) })
    }

    /// Admits a request, or tells which limit it meets.
    pub(crate) fn admit(
        self: &Arc<Self>,
        organization: &Name,
        now: Instant,
    ) -> Result<Permit, ApiError> {
        let rate = f64::from(self.limits.requests_per_s);
        let mut organizations = self.lock();
        if organizations.len() >= MAX_IDLE {
            organizations.retain(|_, usage| usage.open > 0);
        }
        let usage = organizations.entry(Name::clone(organization)).or_insert(Usage {
            tokens: rate,
            at: now,
            open: 0,
        });
        let gained = now.saturating_duration_since(usage.at).as_secs_f64() * rate;
        usage.tokens = (usage.tokens + gained).min(rate);
        usage.at = now;
        if usage.open >= self.limits.open_requests {
            return Err(limited("too many open requests of this organization"));
        }
        if usage.tokens < 1.0 {
            return Err(limited("too many requests a second of this organization"));
        }
        usage.tokens -= 1.0;
        usage.open += 1;
        Ok(Permit { gate: Arc::clone(self), organization: Name::clone(organization) })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Name, Usage>> {
        self.organizations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(usage) = self.gate.lock().get_mut(&self.organization) {
            usage.open = usage.open.saturating_sub(1);
        }
    }
}

fn limited(message: &'static str) -> ApiError {
    let error = ApiError::not_run(StatusCode::TOO_MANY_REQUESTS, "rate_limited", message);
    ApiError { retry: true, ..error }
}
