//! Connections of callers whose answers may end with the connection.

use std::future::Future;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use hyper::Version;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio::time::sleep;

/// Time that a connection stays open for reading after its last answer. The kernel resets a connection
/// that is closed with unread bytes, such as a further request, which may cut the answer.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Number of bytes that are discarded at a time.
const DISCARD_BYTES: usize = 4_096;

/// Time after which a connection is reset if its caller takes nothing of an answer. Until then, the
/// answer holds its place at an endpoint.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(3);

/// Connection of a caller.
///
/// An answer to a request of HTTP/1.0 may end with the connection. While one is incomplete, closing the
/// connection resets it, also if the process is killed, so that the caller can tell a break from the
/// end. The HTTP server shuts a connection down after a complete answer only.
///
/// Writing fails, and the connection is reset, once the caller has taken nothing for some seconds.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    is_reset_wanted: Arc<AtomicBool>,
    is_reset_set: bool,
    /// End of the time for reading after the last answer.
    linger: Option<Pin<Box<Sleep>>>,
    /// End of the time in which the caller has to take some of its answer, if it takes nothing.
    unread: Option<Pin<Box<Sleep>>>,
}

/// Handle by which the requests of a connection are made known to its [`CallerStream`].
#[derive(Clone, Debug)]
pub struct RequestVersions {
    is_reset_wanted: Arc<AtomicBool>,
}

impl RequestVersions {
    /// Records that a request of this version of HTTP is about to be answered.
    pub fn on_request(&self, version: Version) {
        self.is_reset_wanted.store(version < Version::HTTP_11, Ordering::Relaxed);
    }
}

impl CallerStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, RequestVersions) {
        let is_reset_wanted = Arc::new(AtomicBool::new(false));
        let versions = RequestVersions { is_reset_wanted: Arc::clone(&is_reset_wanted) };
        (
            Self { stream, is_reset_wanted, is_reset_set: false, linger: None, unread: None },
            versions,
        )
    }

    /// Sets whether closing the connection resets it.
    fn set_reset(&mut self, reset: bool) -> io::Result<()> {
        if self.is_reset_set != reset {
            SockRef::from(&self.stream).set_linger(reset.then_some(Duration::ZERO))?;
            self.is_reset_set = reset;
        }
        Ok(())
    }

    fn before_write(&mut self) -> io::Result<()> {
        let reset = self.is_reset_wanted.load(Ordering::Relaxed);
        self.set_reset(reset)
    }

    /// Turns a write into an error if the caller has taken nothing for too long.
    fn after_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.unread = None;
            return written;
        }
        let unread = self.unread.get_or_insert_with(|| Box::pin(sleep(UNREAD_TIMEOUT)));
        ready!(unread.as_mut().poll(cx));
        metrics::counter!("dogwoodtray_unread_answers_total").increment(1);
        self.set_reset(true)?;
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.after_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.before_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.after_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            this.set_reset(false)?;
            this.linger = Some(Box::pin(sleep(LINGER_TIME)));
        }
        let mut discarded = [0; DISCARD_BYTES];
        loop {
            let mut buf = ReadBuf::new(&mut discarded);
            match Pin::new(&mut this.stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {}
                // The caller has closed its side or is gone.
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => break,
            }
        }
        match &mut this.linger {
            Some(linger) => linger.as_mut().poll(cx).map(Ok),
            None => Poll::Ready(Ok(())),
        }
    }
}
