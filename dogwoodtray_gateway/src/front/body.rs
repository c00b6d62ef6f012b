//! Bodies of answers.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dogwoodtray_policy::PlaceEnd;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::sync::mpsc::Receiver;
use tokio::time::Sleep;

use super::trace::Trace;
use crate::net::UpstreamBody;
use crate::places::Lease;

quick_error! {
    /// Reason why an answer ends before it is whole. The connection to the caller is closed, so
    /// that the answer does not look complete.
    #[derive(Debug)]
    pub enum Aborted {
        /// The exchange with the endpoint broke.
        Upstream(err: hyper::Error) {
            display("the endpoint broke the answer off: {err}")
            source(err)
            from()
        }
        /// The time of the request is over.
        Deadline {
            display("the time of the request is over")
        }
        /// No endpoint could go on with the stream.
        NotResumed {
            display("the stream could not be resumed")
        }
    }
}

/// Body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// Known as a whole.
    Full(Option<Bytes>),
    /// Passed on from an endpoint as it arrives.
    Passed(Box<PassedBody>),
    /// Passed on event by event.
    Events(Receiver<Result<Bytes, Aborted>>),
}

impl AnswerBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }
}

/// Body that is passed on, with what ends together with it.
#[derive(Debug)]
pub(crate) struct PassedBody {
    pub(crate) body: UpstreamBody,
    pub(crate) deadline: Pin<Box<Sleep>>,
    pub(crate) lease: Option<Lease>,
    pub(crate) trace: Trace,
}

impl PassedBody {
    fn end(&mut self, end: PlaceEnd, outcome: &'static str) {
        if let Some(mut lease) = self.lease.take() {
            lease.ended(end);
        }
        self.trace.finish(outcome);
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.trace.on_data();
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => {
                self.end(PlaceEnd::Withdrawn, "broken off by the endpoint");
                Poll::Ready(Some(Err(Aborted::Upstream(err))))
            }
            Poll::Ready(None) => {
                self.end(PlaceEnd::Answered, "answered");
                Poll::Ready(None)
            }
            Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => {
                self.end(PlaceEnd::Withdrawn, "out of time");
                Poll::Ready(Some(Err(Aborted::Deadline)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Passed(passed) => passed.poll(cx),
            Self::Events(rx) => rx.poll_recv(cx).map(|event| event.map(|e| e.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            // The end is noted when it is read.
            Self::Passed(_) | Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Passed(passed) => passed.body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
