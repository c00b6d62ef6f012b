//! Tests of what the end of an answer proves.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use dogwoodtray_http::AnswerKind;
use dogwoodtray_http::BodyFraming;
use dogwoodtray_http::BodyKind;
use dogwoodtray_http::EndCheck;
use dogwoodtray_http::Truncation;
use hyper::Response;
use hyper::header::HeaderMap;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response::Parts;
use quickcheck::quickcheck;

/// Returns the verdict on a body that arrives in parts of these sizes.
fn verify(
    framing: BodyFraming,
    kind: BodyKind,
    body: &[u8],
    sizes: &[usize],
) -> Result<(), Truncation> {
    let mut check = EndCheck::new(framing, kind);
    let mut rest = body;
    let mut sizes = sizes.iter().cycle();
    while !rest.is_empty() {
        let size = sizes.next().copied().unwrap_or(1).clamp(1, rest.len());
        check.push(&rest[..size]);
        rest = &rest[size..];
    }
    check.verify()
}

quickcheck! {
    /// Guards against a verdict that depends on how the answer is divided into parts.
    fn only_an_end_between_two_events_is_complete(
        lengths: Vec<u8>,
        cut: usize,
        sizes: Vec<usize>
    ) -> bool {
        let lengths: Vec<usize> = lengths.iter().map(|length| usize::from(length % 40)).collect();
        let mut ends = vec![0];
        let mut body = Vec::new();
        for length in lengths {
            body.extend_from_slice(b"data:");
            body.extend(std::iter::repeat_n(b'x', length));
            body.extend_from_slice(b"\n\n");
            ends.push(body.len());
        }
        let cut = cut % (body.len() + 1);
        let sizes: Vec<usize> = sizes.into_iter().map(|size| size % 9 + 1).collect();
        let expected = if ends.contains(&cut) { Ok(()) } else { Err(Truncation::PartialEvent) };
        verify(BodyFraming::Chunks, BodyKind::Events, &body[..cut], &sizes) == expected
    }

    /// Guards against an announced end that is missed or found elsewhere.
    fn only_the_final_event_announces_the_end(cut: usize, sizes: Vec<usize>) -> bool {
        let body = b"data: {}\n\ndata: [DONE] \n\nid: 4\ndata: x[DONE]\n\ndata: [DONE]\n\n";
        let cut = cut % (body.len() + 1);
        let sizes: Vec<usize> = sizes.into_iter().map(|size| size % 30 + 1).collect();
        let verdict =
            verify(BodyFraming::Connection, BodyKind::AnnouncedEvents, &body[..cut], &sizes);
        verdict.is_ok() == (cut == body.len())
    }
}

/// Guards against an end that is taken for complete, or for a break, by the wrong evidence.
#[test]
fn the_framing_decides_where_the_body_does_not() {
    let verify = |framing, kind, body: &str| verify(framing, kind, body.as_bytes(), &[64]);
    let (opaque, events) = (BodyKind::Opaque, BodyKind::Events);
    assert_eq!(verify(BodyFraming::Length(5), opaque, "half"), Err(Truncation::MissingBytes));
    assert_eq!(verify(BodyFraming::Length(4), opaque, "half"), Ok(()));
    assert_eq!(verify(BodyFraming::Connection, opaque, ""), Ok(()));
    assert_eq!(verify(BodyFraming::Connection, events, ""), Err(Truncation::NoEvents));
    assert_eq!(verify(BodyFraming::Chunks, events, ""), Ok(()));
    assert_eq!(verify(BodyFraming::Length(0), events, ""), Ok(()));
    assert_eq!(verify(BodyFraming::Length(9), events, ":\n\n"), Err(Truncation::MissingBytes));
    let announced = BodyKind::AnnouncedEvents;
    for framing in [BodyFraming::Chunks, BodyFraming::Connection] {
        assert_eq!(verify(framing, announced, "data: a\n\n"), Err(Truncation::NoFinalEvent));
        assert_eq!(verify(framing, announced, "data: a\n\ndata: [DONE]\n\n"), Ok(()));
        assert_eq!(verify(framing, announced, "data:[DONE]\n\n"), Ok(()));
    }
}

fn parts(status: u16, content_type: Option<&'static str>) -> Parts {
    let mut response = Response::builder().status(status);
    if let Some(content_type) = content_type {
        response = response.header("content-type", content_type);
    }
    response.body(()).unwrap().into_parts().0
}

/// Guards against events that are treated as bytes, and the text of an error that is treated as events.
#[test]
fn the_request_and_the_head_tell_the_structure_of_the_body() {
    let events = Some("text/event-stream; charset=utf-8");
    let json = Some("application/json");
    for (kind, status, content_type, expected) in [
        (AnswerKind::Stream, 200, None, BodyKind::Events),
        (AnswerKind::Stream, 200, events, BodyKind::Events),
        (AnswerKind::Stream, 500, None, BodyKind::Opaque),
        (AnswerKind::Stream, 500, events, BodyKind::Events),
        (AnswerKind::Plain, 200, None, BodyKind::Opaque),
        (AnswerKind::Plain, 200, events, BodyKind::Events),
        (AnswerKind::Chat, 200, events, BodyKind::AnnouncedEvents),
        (AnswerKind::Chat, 200, json, BodyKind::Opaque),
        (AnswerKind::Chat, 503, events, BodyKind::Events),
    ] {
        let found = BodyKind::new(kind, &parts(status, content_type));
        assert_eq!(found, expected, "{kind:?}, {status}, {content_type:?}");
    }
}

/// Guards against an answer whose last transfer coding is another one and that is taken for chunked.
#[test]
fn only_a_last_coding_of_chunks_marks_the_end() {
    for (values, expected) in [
        (&["chunked"][..], BodyFraming::Chunks),
        (&["gzip, Chunked"], BodyFraming::Chunks),
        (&["gzip", "chunked"], BodyFraming::Chunks),
        (&["chunked, gzip"], BodyFraming::Connection),
        (&["chunked", "gzip"], BodyFraming::Connection),
        (&[], BodyFraming::Connection),
    ] {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append(TRANSFER_ENCODING, HeaderValue::from_static(value));
        }
        assert_eq!(BodyFraming::new(&headers, None), expected, "{values:?}");
        assert_eq!(BodyFraming::new(&headers, Some(3)), BodyFraming::Length(3), "{values:?}");
    }
}
