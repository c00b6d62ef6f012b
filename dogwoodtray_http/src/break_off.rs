//! Bodies of answers to callers that may break off.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// Body that returns an error one poll later than the inner one.
///
/// The HTTP server drops what it has not written yet when a body fails. The pause lets it write the
/// frames before the error first.
#[derive(Debug)]
pub struct FlushBeforeError<B: Body> {
    inner: B,
    error: Option<B::Error>,
}

impl<B: Body> FlushBeforeError<B> {
    /// Wraps a body.
    pub const fn new(inner: B) -> Self {
        Self { inner, error: None }
    }
}

impl<B> Body for FlushBeforeError<B>
where
    B: Body + Unpin,
    B::Error: Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        let Poll::Ready(Some(Err(error))) = polled else { return polled };
        self.error = Some(error);
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
