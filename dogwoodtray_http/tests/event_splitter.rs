//! Tests of the splitting of event streams.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use dogwoodtray_http::EventSplitter;
use dogwoodtray_http::EventTooLarge;
use dogwoodtray_http::MAX_EVENT_BYTES;
use quickcheck::quickcheck;

/// Returns all complete events and the rest of a stream that arrives in parts of these sizes.
fn split(stream: &[u8], sizes: &[usize]) -> (Vec<Vec<u8>>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    let mut rest = stream;
    let mut sizes = sizes.iter().cycle();
    while !rest.is_empty() {
        let size = sizes.next().copied().unwrap_or(1).clamp(1, rest.len());
        splitter.push(&rest[..size]);
        rest = &rest[size..];
        while let Some(event) = splitter.next_event().unwrap() {
            events.push(event.to_vec());
        }
    }
    let length = events.iter().map(Vec::len).sum::<usize>();
    (events, stream[length..].to_vec())
}

/// Returns the events and the rest of a whole stream, one byte after the other.
fn split_naively(stream: &[u8]) -> (Vec<Vec<u8>>, Vec<u8>) {
    let (mut events, mut event) = (Vec::new(), Vec::new());
    for byte in stream {
        event.push(*byte);
        if [&b"\n\n"[..], b"\r\r", b"\n\r\n"].iter().any(|end| event.ends_with(end)) {
            events.push(std::mem::take(&mut event));
        }
    }
    (events, event)
}

quickcheck! {
    /// Guards against events that depend on how the stream is divided into parts, such as one whose
    /// separator arrives in two parts.
    fn events_do_not_depend_on_the_parts(stream: Vec<u8>, sizes: Vec<usize>) -> bool {
        let stream: Vec<u8> =
            stream.into_iter().map(|byte| b"\n\r\na"[usize::from(byte % 4)]).collect();
        let sizes: Vec<usize> = sizes.into_iter().map(|size| size % 5 + 1).collect();
        split(&stream, &sizes) == split_naively(&stream)
    }
}

/// Guards against an event without end that fills the memory, or that is searched again from its
/// start with each part, which takes time that grows with the square of its length.
#[test]
fn an_event_without_end_is_an_error() {
    let mut splitter = EventSplitter::default();
    let part = [b'a'; 64];
    for _ in 0..MAX_EVENT_BYTES / part.len() {
        splitter.push(&part);
        assert_eq!(splitter.next_event(), Ok(None));
    }
    splitter.push(b"a");
    assert_eq!(splitter.next_event(), Err(EventTooLarge::NoEnd));
}

/// Guards against a stream that is broken off although it is sound, because its lines end with CR.
#[test]
fn an_event_ends_at_an_empty_line_of_each_kind() {
    for (stream, events) in [
        ("id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", 2),
        ("id: 1\rdata: a\r\rdata: b\r\r", 2),
        ("id: 1\ndata: a\n\ndata: b\n\n", 2),
        ("data: a\r\ndata: b\r\n", 0),
    ] {
        for size in 1..stream.len() {
            let (found, rest) = split(stream.as_bytes(), &[size]);
            assert_eq!(found.len(), events, "{stream:?} in parts of {size}");
            assert_eq!(rest.is_empty(), events > 0, "{stream:?} in parts of {size}");
        }
    }
}
