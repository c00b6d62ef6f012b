//! Connections to endpoints that record whether the request has been written, and that end at an answer
//! whose framing does not.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum number of bytes that are read without any data of the answer: its head, the framing of its
/// body, and its trailers. A sound answer has a few kilobytes of them.
const MAX_FRAMING_BYTES: usize = 256 * 1024;

/// Connection on which one request is sent.
#[derive(Debug)]
pub(crate) struct RequestStream {
    stream: TcpStream,
    body_bytes: u64,
    written: u64,
    is_written: Arc<AtomicBool>,
    read_without_data: Arc<AtomicUsize>,
}

/// Progress of a request on its [`RequestStream`].
#[derive(Clone, Debug)]
pub(crate) struct RequestProgress {
    is_written: Arc<AtomicBool>,
    read_without_data: Arc<AtomicUsize>,
}

impl RequestProgress {
    /// Returns `true` if the connection has taken the whole request.
    pub(crate) fn is_written(&self) -> bool {
        self.is_written.load(Ordering::Relaxed)
    }

    /// Records that data of the answer arrived.
    pub(crate) fn on_data(&self) {
        self.read_without_data.store(0, Ordering::Relaxed);
    }
}

impl RequestStream {
    /// Wraps a connection on which a request with a body of this size will be sent.
    pub(crate) fn new(stream: TcpStream, body_bytes: u64) -> (Self, RequestProgress) {
        let is_written = Arc::new(AtomicBool::new(false));
        let read_without_data = Arc::new(AtomicUsize::new(0));
        let progress = RequestProgress {
            is_written: Arc::clone(&is_written),
            read_without_data: Arc::clone(&read_without_data),
        };
        (Self { stream, body_bytes, written: 0, is_written, read_without_data }, progress)
    }

    fn count(&mut self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(written)) = written {
            self.written += *written as u64;
        }
    }
}

impl AsyncRead for RequestStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        let total = self.read_without_data.fetch_add(read, Ordering::Relaxed) + read;
        if total > MAX_FRAMING_BYTES {
            return Poll::Ready(Err(io::Error::other("framing without end")));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RequestStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Flushes the connection. The HTTP client does so when it has nothing left to write.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        // The head precedes the body, so the whole request is longer than its body.
        if self.written > self.body_bytes {
            self.is_written.store(true, Ordering::Relaxed);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
