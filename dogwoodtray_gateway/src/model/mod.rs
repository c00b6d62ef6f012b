//! Platform objects as types of the gateway.

mod dialect;
mod endpoint;
mod endpoint_changes;
mod job;
mod name_header;
mod organization;
mod route;

pub use self::dialect::DecodeError;
pub use self::dialect::Dialect;
pub use self::dialect::ProtocolNames;
pub use self::dialect::StatedSize;
pub use self::endpoint::Endpoint;
pub use self::endpoint::EndpointState;
pub use self::endpoint_changes::EndpointChanges;
pub use self::endpoint_changes::ListDigest;
pub use self::job::ItemResult;
pub use self::job::ItemState;
pub use self::job::JobItem;
pub use self::job::MAX_ITEM_TOKENS;
pub use self::job::ResultPage;
pub(crate) use self::name_header::name_header;
pub use self::organization::Organization;
pub use self::organization::Organizations;
pub use self::route::BatchTerms;
pub use self::route::Limits;
pub use self::route::Route;
pub use self::route::RouteKind;
pub use self::route::SiteConfig;
