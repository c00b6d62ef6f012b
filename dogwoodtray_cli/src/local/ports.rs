//! Free ports on loopback.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

/// Finds a port that is free now.
///
/// The operator port cannot bind port 0, because its server does not tell which port it got.
pub(super) fn free_addr() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
