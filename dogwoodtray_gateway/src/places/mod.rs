//! Places at endpoints: asked of the driver that gives them, or taken on this process's own count
//! while no driver answers.

mod ask;
mod links;
mod wire;

pub(crate) use self::ask::Lease;
pub(crate) use self::ask::NoPlace;
pub(crate) use self::ask::Places;
pub(crate) use self::ask::Want;
pub(crate) use self::wire::end_from_wire;
pub(crate) use self::wire::millis;
