//! Links to the other processes, and who of them is there.

mod links;
mod view;

pub(crate) use self::view::DISPATCHER_KEY;
pub(crate) use self::view::Peers;
