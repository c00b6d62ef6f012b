//! One request on a connection of its own.

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

/// How a request went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskOutcome {
    /// No connection was made, so the request was certainly not sent.
    NotSent,
    /// The request may have arrived, but the answer did not end.
    Lost,
    /// The answer ended.
    Answered,
}

/// Sends one frame to an address and hands each frame of the answer to `on_answer` until that
/// breaks off. `on_hello` sees the greeting of the other side first.
pub async fn ask(
    addr: &str,
    mut hello: Hello,
    request: Frame,
    timeout: Duration,
    on_hello: impl FnOnce(&Hello),
    mut on_answer: impl FnMut(Kind) -> ControlFlow<()>,
) -> AskOutcome {
    hello.transient = true;
    let mut asked = AskOutcome::NotSent;
    let exchange = exchange(addr, hello, request, on_hello, &mut on_answer, &mut asked);
    if time::timeout(timeout, exchange).await == Ok(Some(())) {
        AskOutcome::Answered
    } else {
        asked
    }
}

async fn exchange(
    addr: &str,
    hello: Hello,
    request: Frame,
    on_hello: impl FnOnce(&Hello),
    on_answer: &mut impl FnMut(Kind) -> ControlFlow<()>,
    asked: &mut AskOutcome,
) -> Option<()> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut framed = Framed::new(stream, FrameCodec::new());
    framed.send(Frame::from(hello)).await.ok()?;
    let Kind::Hello(greeting) = framed.next().await?.ok()?.kind? else {
        return None;
    };
    on_hello(&greeting);
    *asked = AskOutcome::Lost;
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
