//! Simulation of one entry and its agents and engines, with fault injection in virtual time.

mod agent;
mod world;

pub(crate) use self::world::Fault;
pub(crate) use self::world::Report;
pub(crate) use self::world::World;
