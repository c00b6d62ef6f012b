//! Tests of the end of a stream, as its receiver sees it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_http::ByteBudget;
use dogwoodtray_http::EventQueue;
use dogwoodtray_http::Incomplete;
use tokio::time::timeout;

const BUDGET_BYTES: usize = 1 << 20;

/// Guards against a stream that looks complete because the task that fed it is gone.
#[tokio::test]
async fn a_stream_whose_sender_is_dropped_is_not_complete() {
    let (queue, mut events) = EventQueue::open(ByteBudget::new(BUDGET_BYTES));
    assert!(queue.push(Bytes::from_static(b"id: 1\n\n")).await);
    drop(queue);
    let mut next = async || poll_fn(|cx| events.poll_next(cx)).await;
    assert_eq!(next().await, Some(Ok(Bytes::from_static(b"id: 1\n\n"))));
    assert_eq!(next().await, Some(Err(Incomplete::Abandoned)));
}

/// Guards against declared ends that are mixed up.
#[tokio::test]
async fn a_stream_ends_as_its_sender_says() {
    let (queue, mut events) = EventQueue::open(ByteBudget::new(BUDGET_BYTES));
    queue.complete().await;
    assert_eq!(poll_fn(|cx| events.poll_next(cx)).await, None);
    assert_eq!(poll_fn(|cx| events.poll_next(cx)).await, None);
    let (queue, mut events) = EventQueue::open(ByteBudget::new(BUDGET_BYTES));
    queue.break_off().await;
    assert_eq!(poll_fn(|cx| events.poll_next(cx)).await, Some(Err(Incomplete::BrokenOff)));
}

/// Guards against streams that stall for ever because other requests use up the buffers.
#[tokio::test]
async fn a_stream_goes_on_while_the_buffers_are_exhausted() {
    let buffers = ByteBudget::new(BUDGET_BYTES);
    let mut others = buffers.lease();
    others.resize(BUDGET_BYTES).unwrap();
    let (queue, mut events) = EventQueue::open(buffers);
    let events_data = Bytes::from(vec![b'a'; 1_000]);
    assert!(queue.push(events_data.clone()).await);
    let second = timeout(Duration::from_millis(50), queue.push(events_data.clone())).await;
    assert!(second.is_err(), "the first group is still queued");
    assert_eq!(poll_fn(|cx| events.poll_next(cx)).await, Some(Ok(events_data.clone())));
    assert!(queue.push(events_data).await);
}
