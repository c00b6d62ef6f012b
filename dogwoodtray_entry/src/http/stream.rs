//! Bodies of answers.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc::UnboundedReceiver;

use super::error::ApiError;
use super::limits::Permit;
use crate::online::RequestEnd;
use crate::online::RequestNo;
use crate::shell::AnswerPart;
use crate::shell::RouterInput;
use crate::shell::Shared;

/// Counts an answer as open until it is dropped. A graceful shutdown waits for it.
#[derive(Debug)]
pub(crate) struct OpenAnswer {
    shared: Arc<Shared>,
}

impl OpenAnswer {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        shared.open_answers.fetch_add(1, Ordering::AcqRel);
        Self { shared }
    }
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.shared.open_answers.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Tells the router when the caller of a request is gone.
#[derive(Debug)]
pub(crate) struct CallerGuard {
    open: OpenAnswer,
    request: RequestNo,
}

impl CallerGuard {
    pub(crate) fn new(shared: Arc<Shared>, request: RequestNo) -> Self {
        Self { open: OpenAnswer::new(shared), request }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.open.shared.tell_router(RouterInput::CallerGone { request: self.request });
    }
}

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum Body {
    /// Known as a whole.
    Whole(Full<Bytes>),
    /// Token by token.
    Tokens(TokenStream),
}

/// Tokens on their way to a caller.
#[derive(Debug)]
pub(crate) struct TokenStream {
    first: Option<Bytes>,
    parts: UnboundedReceiver<AnswerPart>,
    request_id: Arc<str>,
    ended: bool,
    _guard: CallerGuard,
    permit: Option<Permit>,
}

impl TokenStream {
    pub(crate) const fn new(
        first: Bytes,
        parts: UnboundedReceiver<AnswerPart>,
        request_id: Arc<str>,
        guard: CallerGuard,
    ) -> Self {
        Self { first: Some(first), parts, request_id, ended: false, _guard: guard, permit: None }
    }

    /// Keeps the permit of the request until the stream has ended.
    pub(crate) fn hold(&mut self, permit: Permit) {
        self.permit = Some(permit);
    }

    fn next_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(first));
        }
        if self.ended {
            return Poll::Ready(None);
        }
        match self.parts.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(AnswerPart::Data { data, .. })) => Poll::Ready(Some(data)),
            Poll::Ready(Some(AnswerPart::End(RequestEnd::Answered { .. })) | None) => {
                self.ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(Some(AnswerPart::End(end))) => {
                self.ended = true;
                // Headers are out, so the error travels as an event, and `[DONE]` is left out.
                let error = ApiError::of_end(&end).to_json(&self.request_id);
                Poll::Ready(Some(Bytes::from(format!("data: {error}\n\n"))))
            }
        }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(cx),
            Self::Tokens(stream) => {
                stream.next_part(cx).map(|part| part.map(|data| Ok(Frame::data(data))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Tokens(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Tokens(_) => SizeHint::default(),
        }
    }
}
