//! Gateway for the routes of the users' platform, and driver of their batch jobs.
//!
//! A [`Gateway`] forwards requests of callers to endpoints. A [`JobDriver`] assigns places at
//! endpoints to the requests of all processes and runs batch jobs in the remaining places. A
//! [`Dialect`] hides the names and encodings of the platform.

mod buffer_parts;
mod caller;
mod calls;
mod cancelled_jobs;
mod config_age;
mod contents;
mod crashes;
mod directory;
mod drain;
mod driver;
mod endpoint_list;
mod forward;
mod http;
mod ignored_entries;
mod item_request;
mod leaving;
mod model;
mod net;
mod node;
mod observed_run;
mod open_hosts;
mod peers;
mod places;
mod process;
mod request;
mod routing;
mod sync;
mod task;
mod trial;
mod trial_log;

pub use crate::directory::Applied;
pub use crate::directory::Directory;
pub use crate::model::BatchTerms;
pub use crate::model::DecodeError;
pub use crate::model::Dialect;
pub use crate::model::Endpoint;
pub use crate::model::EndpointChanges;
pub use crate::model::EndpointState;
pub use crate::model::ItemResult;
pub use crate::model::ItemState;
pub use crate::model::JobItem;
pub use crate::model::Limits;
pub use crate::model::ListDigest;
pub use crate::model::MAX_ITEM_TOKENS;
pub use crate::model::Organization;
pub use crate::model::Organizations;
pub use crate::model::ProtocolNames;
pub use crate::model::ResultPage;
pub use crate::model::Route;
pub use crate::model::RouteKind;
pub use crate::model::SiteConfig;
pub use crate::model::StatedSize;
pub use crate::net::EventParser;
pub use crate::net::StreamEvent;
pub use crate::node::NodeConfig;
pub use crate::node::NodeRole;
pub use crate::process::Gateway;
pub use crate::process::JobDriver;
