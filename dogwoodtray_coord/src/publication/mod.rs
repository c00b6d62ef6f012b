//! Generations of the configuration.

mod pointer;
mod publisher;
mod view;

pub use self::pointer::Pointer;
pub use self::publisher::Publication;
pub use self::publisher::PublishAction;
pub use self::publisher::PublishEvent;
pub use self::publisher::PublishResult;
pub use self::publisher::Publisher;
pub use self::view::FetchFrom;
pub use self::view::GenerationView;
pub use self::view::Readiness;
