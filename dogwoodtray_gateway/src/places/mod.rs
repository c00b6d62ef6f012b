//! Places at endpoints: requested from the driver that assigns them, or assigned locally while no
//! driver responds.

mod ask;
mod links;
mod wire;

pub(crate) use self::ask::Lease;
pub(crate) use self::ask::NoPlace;
pub(crate) use self::ask::Places;
pub(crate) use self::ask::Want;
pub(crate) use self::wire::end_from_wire;
pub(crate) use self::wire::millis;
