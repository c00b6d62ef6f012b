//! Events and actions of the dispatcher.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use crate::Class;

/// Names one ask for a place across processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlaceId {
    /// Incarnation of the process that asks.
    pub holder: u64,
    /// Counter within that process.
    pub ask: u64,
}

impl PlaceId {
    /// The first of all ids.
    pub(super) const MIN: Self = Self { holder: 0, ask: 0 };
}

/// Asks for a place at an endpoint of a service.
#[derive(Clone, Debug)]
pub struct PlaceAsk {
    /// Names the ask.
    pub id: PlaceId,
    /// Service whose endpoints can run the request.
    pub service: Name,
    /// Class of the request.
    pub class: Class,
    /// Latest time at which the request can start and still meet its latency objective, or a
    /// batch item can go on and still be done when it is due. Orders batch work.
    pub start_by: Timestamp,
    /// Time at which the request is due as a whole.
    pub due: Timestamp,
    /// Endpoints that have already failed the request.
    pub excluded: Vec<Name>,
}

/// How a place was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceEnd {
    /// The endpoint answered.
    Answered,
    /// The request was withdrawn or cut off on this side.
    Withdrawn,
    /// The endpoint refused the request because it is full.
    Full,
    /// The endpoint could not be reached or broke the exchange off.
    Failed,
}

/// Places that one endpoint offers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointPlaces {
    /// Name of the endpoint.
    pub name: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// Output of the dispatcher.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaceAction {
    /// The ask has a place.
    Grant {
        /// The ask.
        id: PlaceId,
        /// Endpoint that the request goes to.
        endpoint: Name,
    },
    /// The ask waits for a place.
    Queued {
        /// The ask.
        id: PlaceId,
    },
    /// The ask cannot be met in time.
    Refuse {
        /// The ask.
        id: PlaceId,
        /// Time after which a place is expected.
        retry_after: Duration,
    },
    /// A batch request must give its place back.
    Preempt {
        /// The ask.
        id: PlaceId,
    },
}
