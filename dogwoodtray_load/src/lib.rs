//! Open-loop load generator, experiments and reports.
//!
//! Requests are sent at planned times, independent of the state of earlier requests, and latency
//! is measured from the planned time. A slow system therefore can't reduce the load and so hide
//! its queueing delay. Each answer is compared with the text that the engine stand-in generates
//! for the prompt.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use dogwoodtray_load::{Arrivals, LoadConfig, RequestShape, run};
//! use dogwoodtray_standin::{EngineConfig, EngineStandin};
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let engine = EngineStandin::bind(EngineConfig::default()).await.unwrap();
//! let cfg = LoadConfig::new([engine.addr()])
//!     .stream(RequestShape::counter_slips(), Arrivals::poisson(50.0))
//!     .warm_up(Duration::ZERO)
//!     .duration(Duration::from_millis(200));
//! let report = run(cfg).await.unwrap();
//! let class = &report.classes["counter-slips"];
//! assert_eq!(class.sent, class.whole);
//! # });
//! ```

mod arrivals;
mod chart;
mod client;
mod compare;
mod config;
mod error;
mod items;
mod job;
mod online;
mod plan;
mod record;
mod report;
mod run;
mod shape;
mod sse;
mod summary;

pub use crate::arrivals::Arrivals;
pub use crate::chart::render_svg;
pub use crate::chart::write_svg;
pub use crate::compare::LoadComparison;
pub use crate::compare::compare;
pub use crate::config::LoadConfig;
pub use crate::error::LoadError;
pub use crate::report::ClassReport;
pub use crate::report::ItemCounts;
pub use crate::report::JobReport;
pub use crate::report::Latency;
pub use crate::report::LoadReport;
pub use crate::run::run;
pub use crate::shape::JobShape;
pub use crate::shape::RequestShape;
pub use crate::shape::TokenDistribution;
