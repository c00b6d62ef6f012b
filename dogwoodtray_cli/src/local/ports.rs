//! Ports on loopback that are reserved until they are used.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Addresses on loopback that nobody else is given while this value lives.
///
/// Each is held by a bound socket that does not listen. The system gives such a port to no other socket
/// that asks for a free one, and lets a listener bind it that names it.
#[derive(Debug, Default)]
pub(super) struct PortReservations {
    sockets: Vec<Socket>,
}

impl PortReservations {
    /// Reserves an address. Not all servers report the port that they are given for port 0.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub(super) fn reserve(&mut self) -> io::Result<SocketAddr> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let addr = socket.local_addr()?.as_socket();
        self.sockets.push(socket);
        addr.ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))
    }
}
