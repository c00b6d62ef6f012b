//! Bodies of answers whose end is confirmed where nothing in the answer proves it.

use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use dogwoodtray_http::AnswerBody;
use dogwoodtray_http::AnswerError;
use dogwoodtray_http::BodyFraming;
use dogwoodtray_http::BodyKind;
use dogwoodtray_http::Truncation;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::is_refused;
use crate::model::Endpoint;
use crate::node::Node;

type BodyFrame = Option<Result<Frame<Bytes>, AnswerError>>;

/// Body of an answer of an endpoint. It ends without an error only if the answer is complete.
///
/// An answer without length and chunks ends with its connection, which the process of an endpoint closes
/// as well when it crashes. Such an end counts only if the endpoint is still there, or was about to
/// leave and the rest of the answer, if any, cannot be requested elsewhere.
pub(crate) struct EndpointBody {
    inner: AnswerBody,
    node: Rc<Node>,
    endpoint: Rc<Endpoint>,
    /// Whether another endpoint can continue the answer after its last event.
    is_resumable: bool,
    /// Check at the end of the body.
    confirmation: Option<Pin<Box<dyn Future<Output = BodyFrame>>>>,
}

impl EndpointBody {
    pub(super) const fn new(inner: AnswerBody, node: Rc<Node>, endpoint: Rc<Endpoint>) -> Self {
        Self { inner, node, endpoint, is_resumable: false, confirmation: None }
    }

    /// States that another endpoint can continue the answer after its last event.
    pub(crate) const fn set_resumable(&mut self) {
        self.is_resumable = true;
    }

    /// Returns the upper bound of the body length, if the head of the response specifies one.
    pub(crate) fn size_hint_upper(&self) -> Option<u64> {
        self.inner.size_hint_upper()
    }

    /// Returns how the head of the response delimits the body.
    pub(crate) const fn framing(&self) -> BodyFraming {
        self.inner.framing()
    }

    /// Returns the structure of the body.
    pub(crate) const fn kind(&self) -> BodyKind {
        self.inner.kind()
    }

    /// Returns `true` if the end of the body has to be confirmed.
    fn is_unproved(&self, end: &BodyFrame) -> bool {
        let is_end = matches!(end, None | Some(Err(AnswerError::Truncated(Truncation::NoEvents))));
        is_end && self.framing() == BodyFraming::Connection
    }

    /// Starts to confirm the end of the body.
    fn confirm(&self, end: BodyFrame) -> Pin<Box<dyn Future<Output = BodyFrame>>> {
        let (node, endpoint) = (Rc::clone(&self.node), Rc::clone(&self.endpoint));
        // One that leaves as planned may also end in the middle of its answers.
        let may_be_planned = !self.is_resumable;
        Box::pin(async move {
            if node.is_gone(&endpoint, may_be_planned).await {
                metrics::counter!("dogwoodtray_unconfirmed_ends_total").increment(1);
                return Some(Err(Truncation::EndpointGone.into()));
            }
            end
        })
    }
}

impl fmt::Debug for EndpointBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EndpointBody").field("inner", &self.inner).finish_non_exhaustive()
    }
}

impl Body for EndpointBody {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<BodyFrame> {
        let this = &mut *self;
        if this.confirmation.is_none() {
            let frame = ready!(Pin::new(&mut this.inner).poll_frame(cx));
            if !this.is_unproved(&frame) {
                return Poll::Ready(frame);
            }
            this.confirmation = Some(this.confirm(frame));
        }
        let Some(confirmation) = &mut this.confirmation else { return Poll::Ready(None) };
        confirmation.as_mut().poll(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.framing() != BodyFraming::Connection && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// # Endpoints that are gone
impl Node {
    /// Returns `true` if an endpoint has ended: its address refuses connections. If its end may be
    /// planned, only one that is listed as ready counts.
    pub(crate) async fn is_gone(&self, endpoint: &Endpoint, may_be_planned: bool) -> bool {
        let listed = self.directory.borrow().endpoint(&endpoint.id).cloned();
        let is_listed = listed.is_some_and(|listed| listed.addr == endpoint.addr);
        (is_listed || !may_be_planned) && is_refused(endpoint.addr).await
    }
}
