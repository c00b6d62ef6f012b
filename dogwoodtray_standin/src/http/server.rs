//! Listener and connections.

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

/// Wait after a failed `accept` or `bind`, so that an exhausted resource can recover.
const LISTEN_RETRY: Duration = Duration::from_millis(20);

/// Answers calls.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one call.
    fn handle(&self, call: Call) -> impl Future<Output = Result<Reply, Failure>> + Send;
}

/// State of a server. Any change drops all open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Up,
    /// Connections are refused until this time; `None` until [`Control::restart`].
    Down(Option<Instant>),
    Closed,
}

/// Changes the state of a server.
#[derive(Clone, Debug)]
pub(crate) struct Control {
    state: watch::Sender<State>,
}

impl Control {
    /// Drops all connections and refuses new ones for a time; `None` until a restart.
    pub(crate) fn crash(&self, restart_after: Option<Duration>) {
        let until = restart_after.map(|after| Instant::now() + after);
        self.change(State::Down(until));
    }

    /// Accepts connections again after a crash.
    pub(crate) fn restart(&self) {
        self.state.send_if_modified(|state| {
            let down = matches!(state, State::Down(_));
            if down {
                *state = State::Up;
            }
            down
        });
    }

    fn change(&self, next: State) {
        self.state.send_if_modified(|state| {
            let open = *state != State::Closed;
            if open {
                *state = next;
            }
            open
        });
    }
}

/// A running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub(crate) struct Server {
    addr: SocketAddr,
    control: Control,
}

impl Server {
    /// Binds a listener on the current runtime; `make` gets the control of the server.
    ///
    /// # Errors
    ///
    /// Returns the error of the listener.
    pub(crate) async fn bind<H: Handler>(
        addr: SocketAddr,
        make: impl FnOnce(Control) -> Arc<H>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (state, states) = watch::channel(State::Up);
        let control = Control { state };
        let handler = make(control.clone());
        tokio::spawn(listen(addr, listener, handler, control.clone(), states));
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

async fn listen<H: Handler>(
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
                wait_down(until, &mut states, &control).await;
            }
            (State::Up, None) => listener = bind_again(addr).await,
            (State::Up, Some(open)) => {
                tokio::select! {
                    accepted = open.accept() => match accepted {
                        Ok((stream, _)) => {
                            tokio::spawn(serve(stream, Arc::clone(&handler), states.clone()));
                        }
                        Err(err) => {
                            log::warn!("accept on {addr} failed: {err}");
                            tokio::time::sleep(LISTEN_RETRY).await;
                        }
                    },
                    _ = states.changed() => {}
                }
            }
        }
    }
}

async fn wait_down(until: Option<Instant>, states: &mut watch::Receiver<State>, control: &Control) {
    let Some(until) = until else {
        let _ = states.changed().await;
        return;
    };
    tokio::select! {
        () = tokio::time::sleep_until(until) => control.restart(),
        _ = states.changed() => {}
    }
}

async fn bind_again(addr: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(addr).await {
        Ok(listener) => Some(listener),
        Err(err) => {
            log::warn!("bind to {addr} failed: {err}");
            tokio::time::sleep(LISTEN_RETRY).await;
            None
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>, mut states: watch::Receiver<State>) {
    // Without this the kernel holds small token chunks back.
    if let Err(err) = stream.set_nodelay(true) {
        log::debug!("no TCP_NODELAY: {err}");
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
                log::debug!("connection ended: {err}");
            }
        }
        _ = states.changed() => {}
    }
}
