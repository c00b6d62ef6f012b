//! Addresses in entries that others write.

use std::net::IpAddr;
use std::net::SocketAddr;

/// Returns the IP address and port of an entry, if a process can listen there.
#[must_use]
pub fn listening_addr(text: &str) -> Option<SocketAddr> {
    let addr: SocketAddr = text.parse().ok()?;
    let is_broadcast = matches!(addr.ip(), IpAddr::V4(ip) if ip.is_broadcast());
    let is_odd = addr.port() == 0 || addr.ip().is_unspecified() || addr.ip().is_multicast();
    (!is_odd && !is_broadcast).then_some(addr)
}
