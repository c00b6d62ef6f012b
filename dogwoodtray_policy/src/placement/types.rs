//! Inputs and outputs of the dispatcher.

use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;

use crate::Class;

/// Identifies a request for a place across processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlaceId {
    /// Incarnation of the requesting process.
    pub holder: u64,
    /// Number of the request within that process.
    pub number: u64,
}

/// What a request says about its cost before it runs.
///
/// A field that is 0 is unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlaceCost {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens that the caller expects.
    pub expected_output_tokens: u32,
    /// Maximum number of output tokens.
    pub max_output_tokens: u32,
    /// Hash of the route.
    pub route: u32,
    /// Hash of the last part of the prompt that other requests share.
    pub prefix: u32,
}

/// A request for a place at an endpoint of a service.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Identifies the request.
    pub id: PlaceId,
    /// Service whose endpoints can run the request.
    pub service: Name,
    /// Class of the request.
    pub class: Class,
    /// Latest start that still meets the latency objective of an online request, or completes a
    /// batch item by its due time. Batch work is ordered by it.
    pub start_by: Timestamp,
    /// Time by which the whole request is due.
    pub due: Timestamp,
    /// Whether the request may be sent again after an endpoint has failed it.
    pub repeatable: bool,
    /// Endpoints at which the request has already failed.
    pub excluded: Vec<Name>,
    /// Organization of the caller, if the configuration names any.
    pub organization: Option<Name>,
    /// Rank of the request among those that wait; 0 is the highest.
    pub priority: u32,
    /// What is known of the cost of the request.
    pub cost: PlaceCost,
}

/// Outcome with which a place is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlaceOutcome {
    /// The endpoint answered.
    Answered,
    /// The request was withdrawn or cancelled by its sender.
    Withdrawn,
    /// The endpoint refused the request because it is full.
    Full,
    /// The endpoint was unreachable or aborted the exchange.
    Failed,
    /// The endpoint answered that it failed.
    Errored,
}

/// Capacity of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointPlaces {
    /// Name of the endpoint.
    pub name: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

/// An action that the caller of the dispatcher carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlaceAction {
    /// The request was granted a place.
    Grant {
        /// Identifies the request.
        id: PlaceId,
        /// Endpoint to send the request to.
        endpoint: Name,
    },
    /// The request is queued for a place.
    Queued {
        /// Identifies the request.
        id: PlaceId,
    },
    /// The request cannot start in time.
    Refuse {
        /// Identifies the request.
        id: PlaceId,
        /// Time after which a place is expected.
        retry_after: Duration,
    },
    /// A batch request must release its place.
    Preempt {
        /// Identifies the request.
        id: PlaceId,
    },
}
