//! HTTP server that can crash and restart.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Call;
use super::Failure;
use super::Reply;

/// Delay after a failed `accept` or `bind`, so that an exhausted resource can recover.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handler of the calls to a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one call.
    fn handle(&self, call: Call) -> impl Future<Output = Result<Reply, Failure>> + Send;
}

/// State of a server. Each change drops all open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    /// Connections are refused until this time, or until [`Control::restart`] if it is `None`.
    Down(Option<Instant>),
    Closed,
}

/// Handle that changes the state of a server.
#[derive(Clone, Debug)]
pub(crate) struct Control {
    state: watch::Sender<State>,
}

impl Control {
    /// Drops all connections and refuses new ones for the given time, or until [`Self::restart`] if
    /// it is `None`.
    pub(crate) fn crash(&self, restart_after: Option<Duration>) {
        let until = restart_after.map(|after| Instant::now() + after);
        self.change(State::Down(until));
    }

    /// Accepts connections again after a crash.
    pub(crate) fn restart(&self) {
        self.state.send_if_modified(|state| {
            let is_down = matches!(state, State::Down(_));
            if is_down {
                *state = State::Up;
            }
            is_down
        });
    }

    fn change(&self, next: State) {
        self.state.send_if_modified(|state| {
            let is_open = *state != State::Closed;
            if is_open {
                *state = next;
            }
            is_open
        });
    }
}

/// Running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    control: Control,
}

impl Server {
    /// Binds a listener and starts the server on the current runtime. `make_handler` receives the
    /// control of the server.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener.
    pub(crate) async fn bind<H: Handler>(
        addr: SocketAddr,
        make_handler: impl FnOnce(Control) -> Arc<H>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (state, states) = watch::channel(State::Up);
        let control = Control { state };
        let handler = make_handler(control.clone());
        tokio::spawn(run_listener(addr, listener, handler, control.clone(), states));
        Ok(Self { addr, control })
    }

    /// Returns the address of the listener.
    pub(crate) const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the control of the server.
    pub(crate) const fn control(&self) -> &Control {
        &self.control
    }

    /// Closes the listener and drops all connections.
    pub(crate) fn shutdown(&self) {
        self.control.change(State::Closed);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shutdown();
    }
}

async fn run_listener<H: Handler>(
    addr: SocketAddr,
    listener: TcpListener,
    handler: Arc<H>,
    control: Control,
    mut states: watch::Receiver<State>,
) {
    let mut listener = Some(listener);
    loop {
        let state = *states.borrow_and_update();
        match (state, &listener) {
            (State::Closed, _) => return,
            (State::Down(until), _) => {
                listener = None;
                wait_while_down(until, &mut states, &control).await;
            }
            (State::Up, None) => listener = rebind(addr).await,
            (State::Up, Some(active)) => {
                tokio::select! {
                    accepted = active.accept() => match accepted {
                        Ok((stream, _)) => {
                            tokio::spawn(serve_connection(
                                stream,
                                Arc::clone(&handler),
                                states.clone(),
                            ));
                        }
                        Err(err) => {
                            log::warn!("failed to accept a connection on {addr}: {err}");
                            tokio::time::sleep(LISTEN_RETRY_DELAY).await;
                        }
                    },
                    _ = states.changed() => {}
                }
            }
        }
    }
}

async fn wait_while_down(
    until: Option<Instant>,
    states: &mut watch::Receiver<State>,
    control: &Control,
) {
    let Some(until) = until else {
        let _ = states.changed().await;
        return;
    };
    tokio::select! {
        () = tokio::time::sleep_until(until) => control.restart(),
        _ = states.changed() => {}
    }
}

async fn rebind(addr: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(addr).await {
        Ok(listener) => Some(listener),
        Err(err) => {
            log::warn!("failed to bind to {addr}: {err}");
            tokio::time::sleep(LISTEN_RETRY_DELAY).await;
            None
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    mut states: watch::Receiver<State>,
) {
    // Without this option the kernel delays small token chunks.
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {err}");
    }
    let service = service_fn(move |req: Request<Incoming>| {
        let handler = Arc::clone(&handler);
        async move {
            let reply = match Call::read(req).await {
                Ok(call) => handler.handle(call).await,
                Err(failure) => Err(failure),
            };
            reply.or_else(Failure::into_reply)
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        result = connection => {
            if let Err(err) = result {
                log::debug!("connection failed: {err}");
            }
        }
        _ = states.changed() => {}
    }
}
