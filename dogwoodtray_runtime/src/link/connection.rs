//! A single connection, from the handshake to its end.

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

use super::traffic::TrafficCounters;

/// Maximum number of frames written to the send buffer between two flushes.
const MAX_FRAMES_PER_FLUSH: usize = 64;

static NEXT_LINK_ID: AtomicU64 = AtomicU64::new(1);

/// Identifier of a connection, unique within the process and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    fn next() -> Self {
        Self(NEXT_LINK_ID.fetch_add(1, Ordering::Relaxed))
    }
}

/// Event on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// The link was established and the handshake is complete.
    Up {
        /// Handle that sends frames on the link.
        link: LinkHandle,
        /// `Hello` message of the peer.
        hello: Hello,
    },
    /// A frame was received.
    Frame {
        /// Link that received the frame.
        link: LinkId,
        /// Content of the frame.
        kind: Kind,
    },
    /// The link ended. No further event of this link follows.
    Down {
        /// Link that ended.
        link: LinkId,
        /// Reason, written to the log.
        reason: &'static str,
    },
}

/// Settings and callbacks of links.
#[derive(Clone)]
pub struct LinkConfig {
    /// Time without any received frame after which a link is closed.
    pub silence_deadline: Duration,
    /// Time limit for establishing the connection, and again for the handshake.
    pub connect_timeout: Duration,
    /// Returns the `Hello` message of this process.
    pub hello: Arc<dyn Fn() -> Hello + Send + Sync>,
    /// Receives the events of all links.
    pub sink: Arc<dyn Fn(LinkEvent) + Send + Sync>,
}

impl LinkConfig {
    /// Creates settings with default time limits.
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

/// Handle that sends frames on a link. The link ends when all its handles are dropped.
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

/// Performs the handshake on a connection and serves the connection until it ends.
///
/// Returns `true` if the handshake succeeded.
pub(super) async fn serve(stream: TcpStream, cfg: &LinkConfig) -> bool {
    // Nagle's algorithm would delay the small frames that carry tokens.
    let _ = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, FrameCodec::new());
    let handshake = async {
        framed.send(Frame::from((cfg.hello)())).await.ok()?;
        let Some(Ok(Frame { kind: Some(Kind::Hello(hello)) })) = framed.next().await else {
            return None;
        };
        Some(hello)
    };
    let Ok(Some(hello)) = time::timeout(cfg.connect_timeout, handshake).await else {
        return false;
    };

    let id = LinkId::next();
    let (tx, rx) = mpsc::unbounded_channel();
    (cfg.sink)(LinkEvent::Up { link: LinkHandle { id, tx }, hello });
    let (sink, stream) = framed.split();
    let reason = tokio::select! {
        reason = read_frames(stream, id, cfg) => reason,
        reason = write_frames(sink, rx) => reason,
    };
    (cfg.sink)(LinkEvent::Down { link: id, reason });
    true
}

async fn read_frames(
    mut stream: SplitStream<Framed<TcpStream, FrameCodec>>,
    id: LinkId,
    cfg: &LinkConfig,
) -> &'static str {
    let traffic = TrafficCounters::new("in");
    let mut last_frame_at = Instant::now();
    loop {
        let frame = match time::timeout(cfg.silence_deadline, stream.next()).await {
            Err(_) => return "silent past the deadline",
            Ok(None) => return "closed by the peer",
            Ok(Some(Err(_))) => return "failed or malformed",
            Ok(Some(Ok(frame))) => frame,
        };
        traffic.count(&frame);
        // If this process was suspended, frames have queued up in the meantime. The peer has
        // closed the link by then and no longer expects these frames to be processed.
        if last_frame_at.elapsed() >= cfg.silence_deadline {
            return "stopped past the deadline";
        }
        last_frame_at = Instant::now();
        // Unknown kinds are sent by newer versions of the peer and are ignored.
        if let Some(kind) = frame.kind {
            (cfg.sink)(LinkEvent::Frame { link: id, kind });
        }
    }
}

async fn write_frames(
    mut sink: SplitSink<Framed<TcpStream, FrameCodec>, Frame>,
    mut rx: UnboundedReceiver<Frame>,
) -> &'static str {
    let traffic = TrafficCounters::new("out");
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
