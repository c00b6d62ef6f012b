//! Single requests, each on its own connection.

use std::ops::ControlFlow;
use std::time::Duration;

use dogwoodtray_wire::FrameCodec;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::Hello;
use dogwoodtray_wire::messages::frame::Kind;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time;
use tokio_util::codec::Framed;

/// Outcome of a request sent with [`request_once`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// No connection was established, so the request was definitely not sent.
    NotSent,
    /// The request may have been received, but no complete answer was.
    Lost,
    /// The complete answer was received.
    Answered,
}

/// Connects to an address, sends one request frame and calls `on_answer` with each frame of the
/// answer until it returns [`ControlFlow::Break`]. Before that, `on_hello` is called with the
/// peer's `Hello`.
pub async fn request_once(
    addr: &str,
    mut hello: Hello,
    request: Frame,
    timeout: Duration,
    on_hello: impl FnOnce(&Hello),
    mut on_answer: impl FnMut(Kind) -> ControlFlow<()>,
) -> RequestOutcome {
    hello.transient = true;
    let mut outcome = RequestOutcome::NotSent;
    let exchange = exchange(addr, hello, request, on_hello, &mut on_answer, &mut outcome);
    if time::timeout(timeout, exchange).await == Ok(Some(())) {
        RequestOutcome::Answered
    } else {
        outcome
    }
}

async fn exchange(
    addr: &str,
    hello: Hello,
    request: Frame,
    on_hello: impl FnOnce(&Hello),
    on_answer: &mut impl FnMut(Kind) -> ControlFlow<()>,
    outcome: &mut RequestOutcome,
) -> Option<()> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut framed = Framed::new(stream, FrameCodec::new());
    framed.send(Frame::from(hello)).await.ok()?;
    let Kind::Hello(peer_hello) = framed.next().await?.ok()?.kind? else {
        return None;
    };
    on_hello(&peer_hello);
    *outcome = RequestOutcome::Lost;
    framed.send(request).await.ok()?;
    loop {
        match framed.next().await?.ok()?.kind? {
            Kind::Hello(_) | Kind::Heartbeat(_) | Kind::ConfigSet(_) | Kind::ConfigFetch(_) => {}
            answer => {
                if on_answer(answer).is_break() {
                    return Some(());
                }
            }
        }
    }
}
