//! Configuration objects, their checks and their publication format.
//!
//! Operators maintain the six kinds of objects in TOML files. [`parse_file`] parses a file into an
//! [`ObjectSet`], [`check`] returns the errors of a set, and [`merge`] combines the edits of two
//! operators. A set is published and distributed as a [`Snapshot`]. Daemons look up objects in a
//! [`View`]. The crate performs no I/O: [`Publication`] returns calls to the store as values.

mod check;
mod codec;
mod delta;
mod diff;
mod error;
mod file;
mod held;
mod merge;
mod objects;
mod pointer;
mod publication;
mod set;
mod snapshot;
mod view;

pub use crate::check::Finding;
pub use crate::check::Reason;
pub use crate::check::check;
pub use crate::codec::MAX_ENCODED_BYTES;
pub use crate::diff::Change;
pub use crate::diff::ChangeKind;
pub use crate::diff::FieldChange;
pub use crate::diff::diff;
pub use crate::error::DecodeError;
pub use crate::error::EncodeError;
pub use crate::error::FileError;
pub use crate::file::parse_file;
pub use crate::file::write_file;
pub use crate::held::CurrentSnapshot;
pub use crate::held::Received;
pub use crate::merge::Conflict;
pub use crate::merge::ObjectConflict;
pub use crate::merge::merge;
pub use crate::objects::Adapter;
pub use crate::objects::BatchPolicy;
pub use crate::objects::Kind;
pub use crate::objects::Model;
pub use crate::objects::ModelVersion;
pub use crate::objects::Object;
pub use crate::objects::ObjectId;
pub use crate::objects::RetirementPlan;
pub use crate::objects::Route;
pub use crate::objects::RouteTarget;
pub use crate::objects::Subject;
pub use crate::objects::UtcTime;
pub use crate::pointer::CURRENT_KIND;
pub use crate::pointer::CURRENT_NAME;
pub use crate::pointer::Pointer;
pub use crate::pointer::SET_KIND;
pub use crate::pointer::SetRef;
pub use crate::pointer::current_key;
pub use crate::publication::Publication;
pub use crate::publication::PublicationRequest;
pub use crate::publication::PublicationResult;
pub use crate::publication::PublicationStep;
pub use crate::set::ObjectSet;
pub use crate::snapshot::EncodedSnapshot;
pub use crate::snapshot::Snapshot;
pub use crate::view::Retirement;
pub use crate::view::View;
