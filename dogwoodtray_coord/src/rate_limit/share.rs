//! Share of a limit that one of several deciding processes may use.

/// Process from which a gateway requests places, as known to a driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServedBy {
    /// This driver.
    This,
    /// Another driver.
    Other,
    /// Not known: the gateway is silent or reaches no driver.
    Unknown,
}

/// Returns the share of the limits that a driver may use: the share of the gateways that no other
/// driver may be serving. `hears_all_drivers` tells whether it receives frames from all registered
/// drivers.
///
/// Gateways that are silent count only for a driver that serves more gateways than all others, so
/// that two drivers that hear the same gateways never both count them.
#[must_use]
pub fn served_share(gateways: impl IntoIterator<Item = ServedBy>, hears_all_drivers: bool) -> f64 {
    let (mut own, mut other, mut unknown) = (0_u32, 0_u32, 0_u32);
    for served_by in gateways {
        match served_by {
            ServedBy::This => own += 1,
            ServedBy::Other => other += 1,
            ServedBy::Unknown => unknown += 1,
        }
    }
    if own == 0 {
        return 0.0;
    }
    let counts_unknown = hears_all_drivers && own > other;
    let counted = own + if counts_unknown { unknown } else { 0 };
    f64::from(counted) / f64::from(own + other + unknown)
}
