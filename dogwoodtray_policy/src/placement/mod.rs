//! Assignment of endpoint places to the requests of all processes.
//!
//! Engines have no priorities and admit requests in the order of arrival, so a request that is
//! queued inside an engine cannot be overtaken. The [`Dispatcher`] therefore sends an endpoint no
//! more requests than it has places, keeps the queue itself and preempts batch work.

mod batch_plan;
mod config;
mod cost;
mod dispatcher;
mod endpoint;
mod gaps;
mod learned;
mod queue;
mod returns;
mod served;
mod service;
mod speed;
mod types;

pub use self::config::DispatcherConfig;
pub use self::cost::LearnedRoute;
pub use self::dispatcher::Dispatcher;
pub use self::gaps::EventGaps;
pub use self::gaps::UsualGap;
pub use self::learned::LearnedService;
pub use self::learned::LearnedSpeed;
pub use self::learned::PlacementMetrics;
pub use self::types::EndpointPlaces;
pub use self::types::PlaceAction;
pub use self::types::PlaceCost;
pub use self::types::PlaceId;
pub use self::types::PlaceOutcome;
pub use self::types::PlaceRequest;
