//! Bodies of responses to callers.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dogwoodtray_policy::PlaceOutcome;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::sync::mpsc::Receiver;
use tokio::time::Sleep;

use super::run::Run;
use super::trace::Trace;
use crate::net::AnswerBody;
use crate::net::AnswerError;

quick_error! {
    /// Error that ends a response before it is complete. The connection to the caller is closed, so
    /// that the caller can detect the truncation.
    #[derive(Debug)]
    pub enum BodyError {
        /// The exchange with the endpoint failed.
        Upstream(err: AnswerError) {
            display("the response of the endpoint was interrupted: {err}")
            source(err)
            from()
        }
        /// The deadline of the request passed.
        DeadlineExceeded {
            display("the deadline of the request passed")
        }
        /// No endpoint could resume the stream.
        ResumeFailed {
            display("the stream could not be resumed")
        }
    }
}

/// Body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Complete body; `None` if it is empty or has been sent.
    Full(Option<Bytes>),
    /// Body of an endpoint's response, forwarded as it arrives.
    Proxied(Box<ProxiedBody>),
    /// Events of a stream, forwarded one by one.
    Events(Receiver<Result<Bytes, BodyError>>),
}

impl ResponseBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }
}

/// Body that is forwarded, with the state that is released when it ends.
#[derive(Debug)]
pub(crate) struct ProxiedBody {
    pub(crate) body: AnswerBody,
    /// Outcome of the place if the body is complete.
    pub(crate) complete_outcome: PlaceOutcome,
    pub(crate) deadline: Pin<Box<Sleep>>,
    pub(crate) run: Option<Run>,
    pub(crate) trace: Trace,
}

impl ProxiedBody {
    fn finish(&mut self, place_outcome: PlaceOutcome, outcome: &'static str) {
        if let Some(mut run) = self.run.take() {
            run.set_outcome(place_outcome);
        }
        self.trace.finish(outcome);
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.trace.on_data();
                if let Some(run) = &mut self.run {
                    run.on_output();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Poll::Ready(Some(Err(err))) => {
                if let Some(run) = &mut self.run {
                    run.on_broken_off(&err);
                }
                self.finish(PlaceOutcome::Withdrawn, "broken off by the endpoint");
                Poll::Ready(Some(Err(BodyError::Upstream(err))))
            }
            Poll::Ready(None) => {
                if let Some(run) = &mut self.run {
                    run.on_completed();
                }
                self.finish(self.complete_outcome, "answered");
                Poll::Ready(None)
            }
            Poll::Pending if self.deadline.as_mut().poll(cx).is_ready() => {
                self.finish(PlaceOutcome::Withdrawn, "out of time");
                Poll::Ready(Some(Err(BodyError::DeadlineExceeded)))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Proxied(proxied) => proxied.poll(cx),
            Self::Events(rx) => rx.poll_recv(cx).map(|event| event.map(|e| e.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            // The outcome is recorded when the end of the body is polled.
            Self::Proxied(_) | Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Proxied(proxied) => proxied.body.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
