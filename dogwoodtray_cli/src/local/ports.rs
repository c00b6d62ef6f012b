//! Free ports on loopback.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

/// Returns a loopback address whose port is currently free.
///
/// The operator port cannot be bound to port 0, because its server does not report the assigned
/// port.
pub(super) fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
