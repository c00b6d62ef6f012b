//! Creation of policies by name.

use super::Fifo;
use super::FixedLimit;
use super::LeastOutstanding;
use super::RoundRobin;
use crate::Admission;
use crate::AdmissionConfig;
use crate::AdmissionPolicy;
use crate::RoutePolicy;
use crate::Router;
use crate::RouterConfig;

/// Creates the routing policy `adaptive`, `round-robin` or `least-outstanding`. Returns `None` for
/// any other name.
///
/// # Examples
///
/// ```
/// assert!(dogwoodtray_policy::route_policy("adaptive").is_some());
/// assert!(dogwoodtray_policy::route_policy("unknown").is_none());
/// ```
#[must_use]
pub fn route_policy(name: &str) -> Option<Box<dyn RoutePolicy>> {
    match name {
        "adaptive" => Some(Box::new(Router::new(RouterConfig::default()))),
        "round-robin" => Some(Box::new(RoundRobin::new())),
        "least-outstanding" => Some(Box::new(LeastOutstanding::new())),
        _ => None,
    }
}

/// Creates the admission policy `adaptive`, `fixed-limit` or `fifo`. Returns `None` for any other
/// name.
#[must_use]
pub fn admission_policy(name: &str, cfg: AdmissionConfig) -> Option<Box<dyn AdmissionPolicy>> {
    match name {
        "adaptive" => Some(Box::new(Admission::new(cfg))),
        "fixed-limit" => Some(Box::new(FixedLimit::new(cfg))),
        "fifo" => Some(Box::new(Fifo::new(cfg))),
        _ => None,
    }
}
