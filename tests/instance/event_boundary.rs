//! Tests of where event streams end.

use basillead::gateway::event_boundary::EventBoundary;
use http::{HeaderMap, HeaderValue, header};

#[test]
fn boundary_at_any_cut() {
    for (stream, ends) in [
        ("id: 1\ndata: a\n\nid: 2\n\n", vec![0, 15, 22]),
        ("id: 1\r\n\r\n: note\r\n\r\n", vec![0, 9, 19]),
    ] {
        for cut in 0..=stream.len() {
            let mut boundary = EventBoundary::default();
            for byte in &stream.as_bytes()[..cut] {
                boundary.push(&[*byte]);
            }
            let mut whole = EventBoundary::default();
            whole.push(&stream.as_bytes()[..cut]);
            assert_eq!(boundary, whole, "cut {cut}");
            assert_eq!(
                whole.is_complete(),
                ends.contains(&cut),
                "cut {cut} of {stream:?}"
            );
        }
    }
}

#[test]
fn boundary_of_unframed_event_streams_only() {
    let mut headers = HeaderMap::new();
    assert_eq!(EventBoundary::of(&headers), None);
    let events = HeaderValue::from_static("text/event-stream; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, events);
    assert!(EventBoundary::of(&headers).is_some());
    let chunked = HeaderValue::from_static("chunked");
    headers.insert(header::TRANSFER_ENCODING, chunked);
    assert_eq!(EventBoundary::of(&headers), None);
    headers.remove(header::TRANSFER_ENCODING);
    headers.insert(header::CONTENT_LENGTH, HeaderValue::from_static("7"));
    assert_eq!(EventBoundary::of(&headers), None);
}
