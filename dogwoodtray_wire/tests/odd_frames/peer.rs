//! Peer that sends given frames on a link, and a count of the panics that follow.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use dogwoodtray_wire::FrameCodec;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::Hello;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio_util::codec::Framed;

/// Time in which the other process handles the last frames.
const HANDLING_TIME: Duration = Duration::from_millis(200);

static PANICS: AtomicUsize = AtomicUsize::new(0);

/// Counts the panics of the whole process from now on.
pub(crate) fn count_panics() {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, SeqCst);
        print(info);
    }));
}

/// Returns the number of panics.
pub(crate) fn panics() -> usize {
    PANICS.load(SeqCst)
}

/// Sends a greeting and frames on a link, until they are sent or the link ends.
pub(crate) async fn send_frames(
    stream: TcpStream,
    hello: Hello,
    frames: impl Iterator<Item = Frame>,
) {
    let (mut tx, mut rx) = Framed::new(stream, FrameCodec::new()).split();
    tokio::spawn(async move { while let Some(Ok(_)) = rx.next().await {} });
    for frame in std::iter::once(Frame::from(hello)).chain(frames) {
        // A frame may end the link.
        if tx.send(frame).await.is_err() {
            return;
        }
    }
    sleep(HANDLING_TIME).await;
}
