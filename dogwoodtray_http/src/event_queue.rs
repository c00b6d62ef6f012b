//! Queue of the events of a stream between its endpoint and its caller.

use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use quick_error::quick_error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;

use crate::byte_budget::ByteBudget;
use crate::byte_budget::ByteLease;

/// Capacity of a queue, in groups of events.
const MAX_QUEUED_GROUPS: usize = 64;

/// Capacity of a queue in bytes. A larger group of events waits until the queue is empty.
const MAX_QUEUED_BYTES: u32 = 128 * 1024;

quick_error! {
    /// Reason why a stream ends before it is complete.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Incomplete {
        /// The sender declared the stream broken off.
        BrokenOff {
            display("the stream broke off")
        }
        /// The sender is gone and declared no end.
        Abandoned {
            display("the stream was abandoned")
        }
    }
}

/// Entry of a queue.
#[derive(Debug)]
enum Queued {
    Events {
        data: Bytes,
        /// Share of the queue, which is returned when the events are received.
        _permit: OwnedSemaphorePermit,
        /// Share of the buffers of all requests.
        _lease: ByteLease,
    },
    Completed,
    BrokenOff,
}

/// Sender of the events of a stream.
///
/// A stream is complete only if its sender says so. One whose sender is dropped before is not.
#[derive(Debug)]
pub struct EventQueue {
    tx: Sender<Queued>,
    /// Bytes that may be queued.
    capacity: Arc<Semaphore>,
    buffers: ByteBudget,
}

/// Receiver of the events of a stream.
#[derive(Debug)]
pub struct QueuedEvents {
    rx: Receiver<Queued>,
    is_complete: bool,
}

impl EventQueue {
    /// Opens a queue whose events count towards `buffers`.
    #[must_use]
    pub fn open(buffers: ByteBudget) -> (Self, QueuedEvents) {
        let (tx, rx) = mpsc::channel(MAX_QUEUED_GROUPS);
        let capacity = Arc::new(Semaphore::new(MAX_QUEUED_BYTES as usize));
        (Self { tx, capacity, buffers }, QueuedEvents { rx, is_complete: false })
    }

    /// Queues events. Waits while the queue is full, or while there is anything in it if the buffers of
    /// all requests have reached their limit. Returns `false` if the receiver is gone.
    pub async fn push(&self, data: Bytes) -> bool {
        let bytes = u32::try_from(data.len()).unwrap_or(u32::MAX).min(MAX_QUEUED_BYTES);
        let mut lease = self.buffers.lease();
        let wanted = if lease.resize(data.len()).is_ok() { bytes } else { MAX_QUEUED_BYTES };
        let permit = Arc::clone(&self.capacity).acquire_many_owned(wanted).await;
        // Not reached: the semaphore is never closed.
        let Ok(permit) = permit else { return false };
        self.tx.send(Queued::Events { data, _permit: permit, _lease: lease }).await.is_ok()
    }

    /// Ends the stream as complete.
    pub async fn complete(self) {
        // The send fails only if the receiver is gone.
        let _ = self.tx.send(Queued::Completed).await;
    }

    /// Ends the stream as broken off.
    pub async fn break_off(self) {
        // The send fails only if the receiver is gone.
        let _ = self.tx.send(Queued::BrokenOff).await;
    }

    /// Waits until the receiver is gone.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }
}

impl QueuedEvents {
    /// Polls for the next events. Returns `None` at the end of a complete stream.
    pub fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Incomplete>>> {
        if self.is_complete {
            return Poll::Ready(None);
        }
        self.rx.poll_recv(cx).map(|queued| match queued {
            Some(Queued::Events { data, .. }) => Some(Ok(data)),
            Some(Queued::Completed) => {
                self.is_complete = true;
                None
            }
            Some(Queued::BrokenOff) => Some(Err(Incomplete::BrokenOff)),
            None => Some(Err(Incomplete::Abandoned)),
        })
    }
}
