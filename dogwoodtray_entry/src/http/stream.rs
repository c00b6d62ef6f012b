//! Response bodies.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use http_body_util::Full;
use hyper::body::Frame;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::sync::mpsc::UnboundedReceiver;

use super::error::ApiError;
use super::limits::Permit;
use crate::online::RequestEnd;
use crate::online::RequestNo;
use crate::online::RequestSpec;
use crate::shell::AnswerPart;
use crate::shell::EntryState;
use crate::shell::RouterInput;

/// Guard that counts an answer as open until it is dropped. A graceful shutdown waits for open
/// answers.
#[derive(Debug)]
pub(crate) struct OpenAnswerGuard {
    shared: Arc<EntryState>,
}

impl OpenAnswerGuard {
    pub(crate) fn new(shared: Arc<EntryState>) -> Self {
        shared.open_responses.fetch_add(1, Ordering::AcqRel);
        Self { shared }
    }
}

impl Drop for OpenAnswerGuard {
    fn drop(&mut self) {
        self.shared.open_responses.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Guard that notifies the router on drop that the caller of a request has disconnected.
#[derive(Debug)]
pub(crate) struct CallerGuard {
    open: OpenAnswerGuard,
    request: RequestNo,
}

impl CallerGuard {
    pub(crate) fn new(shared: Arc<EntryState>, request: RequestNo) -> Self {
        Self { open: OpenAnswerGuard::new(shared), request }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.open.shared.send_to_router(RouterInput::CallerDisconnected { request: self.request });
    }
}

/// Measures how long a request takes, for the requests that a drain still takes.
#[derive(Debug)]
pub(crate) struct AnswerTimer {
    shared: Arc<EntryState>,
    route: Name,
    start: Timestamp,
}

impl AnswerTimer {
    /// Starts to measure a request. Returns an error if the process stops before it may end.
    pub(crate) fn start(shared: &Arc<EntryState>, spec: &RequestSpec) -> Result<Self, ApiError> {
        if !shared.drain.takes(&spec.model, spec.timeout) {
            return Err(ApiError::too_late());
        }
        let start = shared.drain.now();
        Ok(Self { shared: Arc::clone(shared), route: Name::clone(&spec.model), start })
    }

    /// Records that the request was answered.
    pub(crate) fn finish(&self) {
        self.shared.drain.record(&self.route, self.start);
    }
}

quick_error! {
    /// Error that ends a response before it is complete. The connection to the caller is closed, so
    /// that the caller can detect the truncation.
    #[derive(Debug)]
    pub enum BodyError {
        /// The answer broke off after it had begun.
        BrokenOff {
            display("the answer broke off")
        }
    }
}

/// Body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// The whole body at once.
    Whole(Full<Bytes>),
    /// A stream of tokens.
    Tokens(TokenStream),
}

/// How far a stream of tokens has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamStage {
    /// More parts may follow.
    Open,
    /// The caller was told that the answer broke off.
    BrokenOff,
    /// The answer is complete.
    Complete,
}

/// Stream of the tokens of an answer.
#[derive(Debug)]
pub(crate) struct TokenStream {
    first: Option<Bytes>,
    parts: UnboundedReceiver<AnswerPart>,
    request_id: Arc<str>,
    stage: StreamStage,
    _guard: CallerGuard,
    timer: AnswerTimer,
    permit: Option<Permit>,
}

impl TokenStream {
    pub(crate) const fn new(
        first: Bytes,
        parts: UnboundedReceiver<AnswerPart>,
        request_id: Arc<str>,
        guard: CallerGuard,
        timer: AnswerTimer,
    ) -> Self {
        Self {
            first: Some(first),
            parts,
            request_id,
            stage: StreamStage::Open,
            _guard: guard,
            timer,
            permit: None,
        }
    }

    /// Keeps the permit of the request until the stream has ended.
    pub(crate) fn hold_permit(&mut self, permit: Permit) {
        self.permit = Some(permit);
    }

    fn poll_next_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyError>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(first)));
        }
        match self.stage {
            StreamStage::Open => {}
            StreamStage::BrokenOff => return Poll::Ready(Some(Err(BodyError::BrokenOff))),
            StreamStage::Complete => return Poll::Ready(None),
        }
        let error = match ready!(self.parts.poll_recv(cx)) {
            Some(AnswerPart::Data { data, .. }) => return Poll::Ready(Some(Ok(data))),
            Some(AnswerPart::End(RequestEnd::Answered { .. })) => {
                self.stage = StreamStage::Complete;
                self.timer.finish();
                return Poll::Ready(None);
            }
            Some(AnswerPart::End(end)) => ApiError::from_request_end(&end),
            None => ApiError::stopping(),
        };
        // The headers are already sent, so the error is sent as an event in place of `[DONE]`.
        self.stage = StreamStage::BrokenOff;
        let error = error.to_json(&self.request_id);
        Poll::Ready(Some(Ok(Bytes::from(format!("data: {error}\n\n")))))
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|infallible| match infallible {})
            }
            Self::Tokens(stream) => {
                stream.poll_next_part(cx).map(|part| part.map(|data| data.map(Frame::data)))
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
