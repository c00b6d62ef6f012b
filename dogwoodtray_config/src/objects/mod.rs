//! The six kinds of configuration objects.

mod adapter;
mod batch_policy;
mod model;
mod object;
mod retirement;
mod route;
mod time;
mod version;

pub use self::adapter::Adapter;
pub use self::batch_policy::BatchPolicy;
pub use self::model::Model;
pub use self::object::Kind;
pub use self::object::Object;
pub use self::object::ObjectId;
pub use self::retirement::RetirementPlan;
pub use self::retirement::Subject;
pub use self::route::Route;
pub use self::route::RouteTarget;
pub(crate) use self::route::is_canonical_path;
pub use self::time::UtcTime;
pub use self::version::ModelVersion;
