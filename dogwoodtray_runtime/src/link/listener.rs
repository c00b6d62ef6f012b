//! Listener for incoming links.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use super::LinkConfig;
use super::connection;

/// Listener that accepts links on an address. Dropping it also closes the accepted links.
#[derive(Debug)]
pub struct LinkListener {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl LinkListener {
    /// Binds to an address and starts to accept links.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(addr: SocketAddr, cfg: LinkConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(accept_links(listener, cfg));
        Ok(Self { addr, task })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for LinkListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_links(listener: TcpListener, cfg: LinkConfig) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                // `accept` fails while the process is out of file descriptors, so try again later.
                let Ok((stream, _)) = accepted else {
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                    continue;
                };
                let cfg = cfg.clone();
                links.spawn(async move { connection::serve(stream, &cfg).await });
            }
            Some(_) = links.join_next() => {}
        }
    }
}
