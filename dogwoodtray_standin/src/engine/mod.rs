//! Stand-in for a model engine with continuous batching.

mod batch;
mod cache;
mod cache_events;
mod chat;
mod config;
mod core;
mod faults;
mod orders;
mod routes;
mod standin;
mod stream;

pub use self::config::EngineConfig;
pub use self::faults::EngineFaults;
pub use self::standin::EngineStandin;
