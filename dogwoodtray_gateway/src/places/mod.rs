//! Places at endpoints: requested from the driver that assigns them, or assigned locally while no
//! driver responds.

mod acquire;
mod gap_monitor;
mod learned;
mod limits;
mod links;
mod metrics;
mod wire;

pub(crate) use self::acquire::PlaceError;
pub(crate) use self::acquire::PlaceParams;
pub(crate) use self::acquire::PlacePermit;
pub(crate) use self::acquire::Places;
pub(crate) use self::gap_monitor::GapMonitor;
pub(crate) use self::learned::LEARNED_INTERVAL;
pub(crate) use self::wire::cost_from_wire;
pub(crate) use self::wire::organization_from_wire;
pub(crate) use self::wire::outcome_from_wire;
pub(crate) use self::wire::refusal;
pub(crate) use self::wire::trial_from_wire;
