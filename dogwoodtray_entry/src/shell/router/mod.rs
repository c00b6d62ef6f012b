//! Service that owns the links to peers and routes requests.

mod actions;
mod config;
mod drain;
mod links;
mod service;

pub(crate) use self::service::AnswerPart;
pub(crate) use self::service::RouterInput;
pub(super) use self::service::RouterService;
