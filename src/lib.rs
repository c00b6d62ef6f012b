//! Serves online requests and batch jobs of model inference on one shared fleet.
//!
//! This crate re-exports the crates of the workspace. [`coord`] contains the coordination
//! components, which can be embedded on their own. [`entry`], [`agent`] and [`gateway`] implement
//! the roles of the fleet.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use dogwoodtray::coord::RetryBudget;
//! use dogwoodtray::coord::RetryBudgetConfig;
//! use dogwoodtray::coord::Timestamp;
//!
//! let config = RetryBudgetConfig { ratio_permille: 100, min_per_sec: 1, max_saved: 10 };
//! let mut budget = RetryBudget::new(Timestamp::ZERO, config);
//! assert!(budget.try_retry(Timestamp::ZERO + Duration::from_secs(1)));
//! ```

pub use dogwoodtray_agent as agent;
pub use dogwoodtray_config as config;
pub use dogwoodtray_coord as coord;
pub use dogwoodtray_entry as entry;
pub use dogwoodtray_gateway as gateway;
pub use dogwoodtray_http as http;
pub use dogwoodtray_load as load;
pub use dogwoodtray_platform as platform;
pub use dogwoodtray_policy as policy;
pub use dogwoodtray_runtime as runtime;
pub use dogwoodtray_standin as standin;
pub use dogwoodtray_wire as wire;
