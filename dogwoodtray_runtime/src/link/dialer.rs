//! Keeps a link to one address up.

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

const FIRST_RETRY: Duration = Duration::from_millis(100);
const MAX_RETRY: Duration = Duration::from_secs(2);

/// Keeps a link up until it is dropped.
#[derive(Debug)]
pub struct DialHandle {
    task: JoinHandle<()>,
    reachable: Arc<Notify>,
}

impl DialHandle {
    /// Ends the pause between two tries, as the peer is known to be reachable again.
    pub fn retry(&self) {
        self.reachable.notify_one();
    }
}

impl Drop for DialHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Dials an address, and dials it again whenever the link has ended.
#[must_use]
pub fn dial(runtime: &Handle, addr: Name, cfg: LinkConfig) -> DialHandle {
    let reachable = Arc::new(Notify::new());
    let notified = Arc::clone(&reachable);
    let task = runtime.spawn(async move {
        let mut retry = FIRST_RETRY;
        loop {
            if connect(&addr, &cfg).await {
                retry = FIRST_RETRY;
            }
            // Half of the wait is random, so that peers of a restarted process spread out.
            let pause = retry.mul_f64(0.5 + rand::random::<f64>() / 2.0);
            retry = match time::timeout(pause, notified.notified()).await {
                Ok(()) => FIRST_RETRY,
                Err(_) => (retry * 2).min(MAX_RETRY),
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
