//! Routing, admission and batch scheduling policies.
//!
//! The policies use no clock, sockets or threads. The caller passes in the current time and a
//! seeded random number generator, and carries out the returned actions.

mod admission;
mod baseline;
mod batch;
mod draining;
mod job_access;
mod placement;
mod routing;
mod types;

pub use crate::admission::AdaptiveLimit;
pub use crate::admission::Admission;
pub use crate::admission::AdmissionAction;
pub use crate::admission::AdmissionConfig;
pub use crate::admission::AdmissionEvent;
pub use crate::admission::AdmissionPolicy;
pub use crate::admission::LimitConfig;
pub use crate::admission::RefuseReason;
pub use crate::baseline::Fifo;
pub use crate::baseline::FixedLimit;
pub use crate::baseline::LeastOutstanding;
pub use crate::baseline::RoundRobin;
pub use crate::baseline::admission_policy;
pub use crate::baseline::route_policy;
pub use crate::batch::BatchOrder;
pub use crate::batch::JobKey;
pub use crate::draining::BALANCER_REMOVAL_TIME;
pub use crate::draining::DrainAdmission;
pub use crate::draining::DrainWindow;
pub use crate::draining::SlowestRequests;
pub use crate::job_access::JobAcceptance;
pub use crate::job_access::JobCaller;
pub use crate::job_access::JobCandidate;
pub use crate::job_access::JobOwner;
pub use crate::job_access::NoJob;
pub use crate::placement::Dispatcher;
pub use crate::placement::DispatcherConfig;
pub use crate::placement::EndpointPlaces;
pub use crate::placement::EventGaps;
pub use crate::placement::LearnedRoute;
pub use crate::placement::LearnedService;
pub use crate::placement::LearnedSpeed;
pub use crate::placement::PlaceAction;
pub use crate::placement::PlaceCost;
pub use crate::placement::PlaceId;
pub use crate::placement::PlaceOutcome;
pub use crate::placement::PlaceRequest;
pub use crate::placement::PlacementMetrics;
pub use crate::placement::UsualGap;
pub use crate::routing::EndpointKey;
pub use crate::routing::HedgeConfig;
pub use crate::routing::HedgePolicy;
pub use crate::routing::PROBE_TOKENS;
pub use crate::routing::RoutePolicy;
pub use crate::routing::RouteRequest;
pub use crate::routing::Router;
pub use crate::routing::RouterConfig;
pub use crate::types::Class;
pub use crate::types::Cost;
pub use crate::types::WorkId;
