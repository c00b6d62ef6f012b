//! One connection, from the exchange of greetings to its end.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dogwoodtray_wire::FrameCodec;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::Hello;
use dogwoodtray_wire::messages::frame::Kind;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time;
use tokio::time::Instant;
use tokio_util::codec::Framed;

use super::traffic::Traffic;

/// Frames that are put into the send buffer before it is flushed.
const MAX_FRAMES_PER_FLUSH: usize = 64;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Names one connection within a process. Never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    fn next() -> Self {
        Self(NEXT_LINK.fetch_add(1, Ordering::Relaxed))
    }
}

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link is up; greetings were exchanged.
    Up {
        /// The link, with which frames are sent.
        link: LinkHandle,
        /// Greeting of the other side.
        hello: Hello,
    },
    /// A frame arrived.
    Frame {
        /// Link that it arrived on.
        link: LinkId,
        /// Content of the frame.
        kind: Kind,
    },
    /// A link ended. No frame of it follows.
    Down {
        /// Link that ended.
        link: LinkId,
        /// Reason, for the log.
        reason: &'static str,
    },
}

/// Settings and callbacks of links.
#[derive(Clone)]
pub struct LinkConfig {
    /// Time without any frame after which a link counts as silent and is dropped.
    pub silence_deadline: Duration,
    /// Time that a connection and its greetings may take.
    pub connect_timeout: Duration,
    /// Makes the greeting of this process.
    pub hello: Arc<dyn Fn() -> Hello + Send + Sync>,
    /// Receives the events.
    pub sink: Arc<dyn Fn(LinkEvent) + Send + Sync>,
}

impl LinkConfig {
    /// Creates settings with the usual deadlines.
    #[must_use]
    pub fn new(
        hello: impl Fn() -> Hello + Send + Sync + 'static,
        sink: impl Fn(LinkEvent) + Send + Sync + 'static,
    ) -> Self {
        Self {
            silence_deadline: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
            hello: Arc::new(hello),
            sink: Arc::new(sink),
        }
    }
}

impl fmt::Debug for LinkConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkConfig")
            .field("silence_deadline", &self.silence_deadline)
            .field("connect_timeout", &self.connect_timeout)
            .finish_non_exhaustive()
    }
}

/// Sends frames on a link. The link ends when all its handles are dropped.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    id: LinkId,
    tx: UnboundedSender<Frame>,
}

impl LinkHandle {
    /// Returns the id of the link.
    #[must_use]
    pub const fn id(&self) -> LinkId {
        self.id
    }

    /// Queues a frame. Returns `false` if the link has ended.
    pub fn send(&self, frame: impl Into<Frame>) -> bool {
        self.tx.send(frame.into()).is_ok()
    }
}

/// Exchanges greetings on a connection and serves it until it ends.
///
/// Returns whether greetings were exchanged.
pub(super) async fn serve(stream: TcpStream, cfg: &LinkConfig) -> bool {
    // Token frames are small, and Nagle's algorithm would hold them back.
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, FrameCodec::new());
    let greeting = async {
        framed.send(Frame::from((cfg.hello)())).await.ok()?;
        let Some(Ok(Frame { kind: Some(Kind::Hello(hello)) })) = framed.next().await else {
            return None;
        };
        Some(hello)
    };
    let Ok(Some(hello)) = time::timeout(cfg.connect_timeout, greeting).await else {
        return false;
    };

    let id = LinkId::next();
    let (tx, rx) = mpsc::unbounded_channel();
    (cfg.sink)(LinkEvent::Up { link: LinkHandle { id, tx }, hello });
    let (sink, stream) = framed.split();
    let reason = tokio::select! {
        reason = read(stream, id, cfg) => reason,
        reason = write(sink, rx) => reason,
    };
    (cfg.sink)(LinkEvent::Down { link: id, reason });
    true
}

async fn read(
    mut stream: SplitStream<Framed<TcpStream, FrameCodec>>,
    id: LinkId,
    cfg: &LinkConfig,
) -> &'static str {
    let traffic = Traffic::new("in");
    let mut heard_at = Instant::now();
    loop {
        let frame = match time::timeout(cfg.silence_deadline, stream.next()).await {
            Err(_) => return "silent past the deadline",
            Ok(None) => return "closed by the peer",
            Ok(Some(Err(_))) => return "failed or malformed",
            Ok(Some(Ok(frame))) => frame,
        };
        traffic.count(&frame);
        // A process that was stopped finds what queued up meanwhile. Its peer has dropped the
        // link by then and does not wait for these frames any more.
        if heard_at.elapsed() >= cfg.silence_deadline {
            return "stopped past the deadline";
        }
        heard_at = Instant::now();
        // An unknown kind comes from a newer version of the peer and is skipped.
        if let Some(kind) = frame.kind {
            (cfg.sink)(LinkEvent::Frame { link: id, kind });
        }
    }
}

async fn write(
    mut sink: SplitSink<Framed<TcpStream, FrameCodec>, Frame>,
    mut rx: UnboundedReceiver<Frame>,
) -> &'static str {
    let traffic = Traffic::new("out");
    let mut batch = Vec::with_capacity(MAX_FRAMES_PER_FLUSH);
    while rx.recv_many(&mut batch, MAX_FRAMES_PER_FLUSH).await > 0 {
        for frame in batch.drain(..) {
            traffic.count(&frame);
            if sink.feed(frame).await.is_err() {
                return "write failed";
            }
        }
        if sink.flush().await.is_err() {
            return "write failed";
        }
    }
    "closed here"
}
