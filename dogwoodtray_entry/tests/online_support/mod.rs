//! Simulation of one entry and its agents and engines, with fault injection in virtual time.

mod agent;
mod simulation;

pub(crate) use self::simulation::Fault;
pub(crate) use self::simulation::Report;
pub(crate) use self::simulation::Simulation;
