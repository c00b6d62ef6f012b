//! Relay in front of a process, whose open connections can go silent for good.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::free_addr;

/// Interval at which a silent connection checks whether its relay still exists.
const SILENCE_POLL: Duration = Duration::from_millis(100);

/// Relay to an address. Connections that are open when it is silenced carry nothing any more, without
/// a reset; new ones work.
pub(crate) struct SilentRelay {
    pub(crate) addr: SocketAddr,
    /// Number of times that the open connections were silenced.
    silenced: Rc<Cell<u32>>,
    /// Number of connections that were opened.
    pub(crate) opened: Rc<Cell<u32>>,
}

impl SilentRelay {
    pub(crate) async fn open(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(free_addr()).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let relay = Self { addr, silenced: Rc::default(), opened: Rc::default() };
        let (silenced, opened) = (Rc::clone(&relay.silenced), Rc::clone(&relay.opened));
        spawn_local(async move {
            while let Ok((inbound, _)) = listener.accept().await {
                let Ok(outbound) = TcpStream::connect(to).await else { continue };
                opened.set(opened.get() + 1);
                let (from_caller, to_caller) = inbound.into_split();
                let (from_target, to_target) = outbound.into_split();
                spawn_local(copy(from_caller, to_target, Rc::clone(&silenced)));
                spawn_local(copy(from_target, to_caller, Rc::clone(&silenced)));
            }
        });
        relay
    }

    /// Silences all open connections.
    pub(crate) fn silence(&self) {
        self.silenced.set(self.silenced.get() + 1);
    }
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, silenced: Rc<Cell<u32>>) {
    let before = silenced.get();
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).await;
        // A silent connection stays open, and its bytes and its end are lost.
        while silenced.get() != before {
            sleep(SILENCE_POLL).await;
        }
        let Ok(count @ 1..) = read else { return };
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
