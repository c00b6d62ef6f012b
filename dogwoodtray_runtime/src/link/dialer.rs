//! Outgoing links, which are re-established whenever they end.

use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Name;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time;

use super::LinkConfig;
use super::connection;

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Handle to an outgoing link. Dropping it closes the link.
#[derive(Debug)]
pub struct DialHandle {
    task: JoinHandle<()>,
    reachable: Arc<Notify>,
}

impl DialHandle {
    /// Ends the delay before the next attempt, for callers that found the peer reachable again.
    pub fn retry(&self) {
        self.reachable.notify_one();
    }
}

impl Drop for DialHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connects to an address, and reconnects with an exponential delay whenever the link has ended.
#[must_use]
pub fn dial(runtime: &Handle, addr: Name, cfg: LinkConfig) -> DialHandle {
    let reachable = Arc::new(Notify::new());
    let peer_reachable = Arc::clone(&reachable);
    let task = runtime.spawn(async move {
        let mut retry_delay = MIN_RETRY_DELAY;
        loop {
            if connect(&addr, &cfg).await {
                retry_delay = MIN_RETRY_DELAY;
            }
            // Half of the delay is random, so that the peers of a restarted process do not all
            // reconnect at once.
            let jittered_delay = retry_delay.mul_f64(0.5 + rand::random::<f64>() / 2.0);
            retry_delay = match time::timeout(jittered_delay, peer_reachable.notified()).await {
                Ok(()) => MIN_RETRY_DELAY,
                Err(_) => (retry_delay * 2).min(MAX_RETRY_DELAY),
            };
        }
    });
    DialHandle { task, reachable }
}

async fn connect(addr: &str, cfg: &LinkConfig) -> bool {
    let connecting = time::timeout(cfg.connect_timeout, TcpStream::connect(addr));
    let Ok(Ok(stream)) = connecting.await else {
        return false;
    };
    connection::serve(stream, cfg).await
}
