//! One entry and three agents with engines, in virtual time, with faults.

mod agent;
mod world;

pub(crate) use self::world::Fault;
pub(crate) use self::world::Report;
pub(crate) use self::world::World;
