//! Places at endpoints, shared by the requests of all processes.
//!
//! Engines have no priorities and admit in order of arrival, so a request that waits inside an
//! engine cannot be overtaken. The [`Dispatcher`] therefore keeps no more requests at an endpoint
//! than it has places, holds the queue on this side and takes places back from batch work.

mod config;
mod dispatcher;
mod endpoint;
mod service;
mod types;

pub use self::config::DispatcherConfig;
pub use self::dispatcher::Dispatcher;
pub use self::types::EndpointPlaces;
pub use self::types::PlaceAction;
pub use self::types::PlaceAsk;
pub use self::types::PlaceEnd;
pub use self::types::PlaceId;
