//! TCP relays that reset, delay or black-hole connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::sleep;

const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Treatment of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards all bytes.
    Open,
    /// Resets the connection to both sides.
    Cut,
    /// Discards all bytes without closing the connection to either side.
    Silent,
    /// Discards the bytes that the server sends.
    OneWay,
    /// Forwards all bytes after a delay.
    Slow(Duration),
}

/// Relay in front of one server.
#[derive(Debug)]
pub(crate) struct Relay {
    connections: Arc<Mutex<Vec<watch::Sender<Mode>>>>,
    /// Mode of new connections.
    initial_mode: Arc<Mutex<Mode>>,
}

impl Relay {
    /// Starts a relay that listens on `addr` and connects to `target`.
    pub(crate) fn start(rt: &Handle, addr: SocketAddr, target: SocketAddr) -> Self {
        let connections = Arc::default();
        let initial_mode = Arc::new(Mutex::new(Mode::Open));
        rt.spawn(accept(addr, target, Arc::clone(&connections), Arc::clone(&initial_mode)));
        Self { connections, initial_mode }
    }

    /// Sets the mode of all open connections and of new ones.
    pub(crate) fn set_all(&self, mode: Mode) {
        *self.initial_mode.lock().unwrap() = mode;
        for connection in self.connections.lock().unwrap().iter() {
            // A closed connection has no receiver.
            let _ = connection.send(mode);
        }
    }

    /// Sets the mode of each open connection with the probability `share`. New ones are not
    /// affected.
    pub(crate) fn set(&self, mode: Mode, share: f64, rng: &mut StdRng) {
        self.connections.lock().unwrap().retain(|connection| {
            let chosen = rng.random_bool(share);
            !(chosen && connection.send(mode).is_ok())
        });
    }
}

async fn accept(
    addr: SocketAddr,
    target: SocketAddr,
    connections: Arc<Mutex<Vec<watch::Sender<Mode>>>>,
    initial_mode: Arc<Mutex<Mode>>,
) {
    loop {
        // The relay does not listen while its server is down, so that a caller can distinguish a
        // server that is down from a broken connection.
        while TcpStream::connect(target).await.is_err() {
            sleep(RETRY_DELAY).await;
        }
        let Ok(listener) = TcpListener::bind(addr).await else {
            sleep(RETRY_DELAY).await;
            continue;
        };
        while let Ok((caller, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else { break };
            let _ = caller.set_nodelay(true);
            let _ = server.set_nodelay(true);
            let mode = *initial_mode.lock().unwrap();
            if mode == Mode::Cut {
                continue;
            }
            let (tx, rx) = watch::channel(mode);
            let mut open = connections.lock().unwrap();
            open.retain(|connection| connection.receiver_count() > 0);
            open.push(tx);
            tokio::spawn(relay(caller, server, rx));
        }
    }
}

/// Forwards the bytes of a connection in both directions, and resets both sides after a fault.
async fn relay(mut caller: TcpStream, mut server: TcpStream, mode: watch::Receiver<Mode>) {
    let forwarded = {
        let (from_caller, to_caller) = caller.split();
        let (from_server, to_server) = server.split();
        tokio::try_join!(
            forward(from_caller, to_server, mode.clone(), false),
            forward(from_server, to_caller, mode, true)
        )
    };
    if forwarded.is_err() {
        for stream in [&caller, &server] {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Forwards the bytes of one direction until its end.
async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
    from_server: bool,
) -> io::Result<()> {
    let mut buf = [0; 16 * 1024];
    let mut is_mode_watched = true;
    let mut has_discarded = false;
    loop {
        let read = tokio::select! {
            changed = mode.changed(), if is_mode_watched => {
                is_mode_watched = changed.is_ok();
                if *mode.borrow() == Mode::Cut {
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                continue;
            }
            read = from.read(&mut buf) => read?,
        };
        let now = *mode.borrow();
        if let Mode::Slow(delay) = now {
            sleep(delay).await;
        }
        if now == Mode::Silent || (now == Mode::OneWay && from_server) {
            if read == 0 {
                // The other side is not notified that the connection has closed.
                std::future::pending::<()>().await;
            }
            has_discarded = true;
            continue;
        }
        // TCP ends a connection rather than deliver bytes with a gap.
        if has_discarded {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        if read == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..read]).await?;
    }
}
