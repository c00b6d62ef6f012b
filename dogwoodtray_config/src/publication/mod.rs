//! Publication of a set through calls to the store.

mod machine;
mod plan;
mod request;

pub use self::machine::Publication;
pub use self::request::PublicationRequest;
pub use self::request::PublicationResult;
pub use self::request::PublicationStep;
