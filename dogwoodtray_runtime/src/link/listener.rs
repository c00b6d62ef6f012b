//! Accepts links.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use super::LinkConfig;
use super::connection;

/// Accepts links on an address until it is dropped. The accepted links end with it.
#[derive(Debug)]
pub struct LinkListener {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl LinkListener {
    /// Binds an address and starts to accept links.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(addr: SocketAddr, cfg: LinkConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, cfg));
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

async fn accept(listener: TcpListener, cfg: LinkConfig) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                // Accepting fails when file descriptors run out; the loop goes on once some close.
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
