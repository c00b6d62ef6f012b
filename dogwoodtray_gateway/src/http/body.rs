//! Bodies of responses to callers.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use dogwoodtray_http::ByteLease;
use dogwoodtray_http::Incomplete;
use dogwoodtray_http::OutOfBytes;
use dogwoodtray_http::QueuedEvents;
use dogwoodtray_policy::PlaceOutcome;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::time::Sleep;

use super::run::Run;
use super::trace::Trace;
use crate::net::AnswerError;
use crate::net::EndpointBody;
use crate::places::GapMonitor;

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
        /// No endpoint could resume the stream, or its task ended before the stream did.
        Incomplete(err: Incomplete) {
            display("{err}")
            from()
        }
    }
}

/// Body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Complete body; `None` if it is empty or has been sent.
    Full(Option<Bytes>),
    /// Complete body of an endpoint's response.
    Buffered(BufferedFrames),
    /// Body of an endpoint's response, forwarded as it arrives.
    Proxied(Box<ProxiedBody>),
    /// Events of a stream, forwarded one by one.
    Events(QueuedEvents),
}

impl ResponseBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }
}

/// Data that has been received and is not sent yet, with its share of the buffers of all requests.
#[derive(Debug)]
pub(crate) struct BufferedFrames {
    frames: VecDeque<Bytes>,
    bytes: usize,
    lease: ByteLease,
}

impl BufferedFrames {
    pub(crate) const fn new(lease: ByteLease) -> Self {
        Self { frames: VecDeque::new(), bytes: 0, lease }
    }

    /// Returns the size of the data.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends data. Returns an error if it exceeds the buffers of all requests.
    pub(crate) fn push(&mut self, data: Bytes) -> Result<(), OutOfBytes> {
        self.bytes += data.len();
        if !data.is_empty() {
            self.frames.push_back(data);
        }
        self.lease.resize(self.bytes)
    }

    fn pop(&mut self) -> Option<Bytes> {
        let data = self.frames.pop_front()?;
        self.bytes -= data.len();
        self.lease.shrink_to(self.bytes);
        Some(data)
    }
}

/// Body that is forwarded, with the state that is released when it ends.
#[derive(Debug)]
pub(crate) struct ProxiedBody {
    /// Start of the body, which is sent before the rest of it.
    pub(crate) buffered: BufferedFrames,
    pub(crate) body: EndpointBody,
    /// Outcome of the place if the body is complete.
    pub(crate) complete_outcome: PlaceOutcome,
    pub(crate) deadline: Pin<Box<Sleep>>,
    pub(crate) run: Option<Run>,
    /// Observer of the gaps between the events of a stream.
    pub(crate) gaps: Option<GapMonitor>,
    /// Whether the caller waits for data.
    pub(crate) is_waiting: bool,
    pub(crate) trace: Trace,
}

impl ProxiedBody {
    fn finish(&mut self, place_outcome: PlaceOutcome, outcome: &'static str) {
        if let Some(mut run) = self.run.take() {
            run.set_outcome(place_outcome);
        }
        self.gaps = None;
        self.trace.finish(outcome);
    }

    /// Records that data arrived. Data for which nobody waited may have arrived long before.
    fn on_data(&mut self) {
        let was_waiting = std::mem::take(&mut self.is_waiting);
        match &mut self.gaps {
            Some(gaps) if was_waiting => gaps.on_event(),
            Some(gaps) => gaps.on_pause(),
            None => {}
        }
    }

    /// Returns the length of the rest, if the endpoint stated one.
    fn size_hint(&self) -> SizeHint {
        let rest = self.body.size_hint();
        rest.exact().map_or_else(SizeHint::default, |rest| {
            SizeHint::with_exact(rest + self.buffered.bytes as u64)
        })
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(data) = self.buffered.pop() {
            self.trace.on_data();
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        match Pin::new(&mut self.body).poll_frame(cx) {
            Poll::Ready(Some(Ok(frame))) => {
                self.trace.on_data();
                self.on_data();
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
            Poll::Pending => {
                self.is_waiting = true;
                if let Some(gaps) = &mut self.gaps {
                    gaps.poll_check(cx);
                }
                Poll::Pending
            }
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
            Self::Buffered(frames) => Poll::Ready(frames.pop().map(|data| Ok(Frame::data(data)))),
            Self::Proxied(proxied) => proxied.poll(cx),
            Self::Events(events) => {
                events.poll_next(cx).map(|next| Some(next?.map(Frame::data).map_err(Into::into)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.is_none(),
            Self::Buffered(frames) => frames.frames.is_empty(),
            // The outcome is recorded when the end of the body is polled.
            Self::Proxied(_) | Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Buffered(frames) => SizeHint::with_exact(frames.bytes as u64),
            Self::Proxied(proxied) => proxied.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
