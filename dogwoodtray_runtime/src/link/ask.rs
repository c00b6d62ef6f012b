//! One question on a connection of its own.

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

/// Sends one frame to an address and returns the greeting of the other side with its answer.
///
/// Returns `None` if no answer came within the timeout.
pub async fn ask(
    addr: &str,
    hello: Hello,
    question: Frame,
    timeout: Duration,
) -> Option<(Hello, Kind)> {
    time::timeout(timeout, exchange(addr, hello, question)).await.ok()?
}

async fn exchange(addr: &str, hello: Hello, question: Frame) -> Option<(Hello, Kind)> {
    let stream = TcpStream::connect(addr).await.ok()?;
    let mut framed = Framed::new(stream, FrameCodec::new());
    framed.send(Frame::from(hello)).await.ok()?;
    let Kind::Hello(greeting) = framed.next().await?.ok()?.kind? else {
        return None;
    };
    framed.send(question).await.ok()?;
    loop {
        match framed.next().await?.ok()?.kind? {
            Kind::Hello(_) | Kind::Heartbeat(_) | Kind::ConfigSet(_) | Kind::ConfigFetch(_) => {}
            answer => return Some((greeting, answer)),
        }
    }
}
