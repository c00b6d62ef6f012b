//! Links to the other processes and their availability.

mod links;
mod view;

pub(crate) use self::view::DISPATCHER_KEY;
pub(crate) use self::view::Peers;
