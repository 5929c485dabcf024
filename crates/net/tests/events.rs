//! Event streams are passed on as whole events in order, however the bytes are split.

#![allow(clippy::unwrap_used, reason = "a failure fails the test")]

use heathpitch_net::{EventError, Events};

fn stream(from: u64, to: u64) -> String {
    (from..=to).map(|i| format!("id: {i}\ndata: text {i}\n\n")).collect()
}

#[test]
fn output_does_not_depend_on_chunk_boundaries() {
    let text = stream(1, 9);
    for size in 1..text.len() {
        let mut events = Events::after(None);
        let mut out = Vec::new();
        for chunk in text.as_bytes().chunks(size) {
            out.extend_from_slice(&events.push(chunk).unwrap());
        }
        assert_eq!(out, text.as_bytes(), "chunk size {size}");
        assert_eq!((events.last(), events.count(), events.has_partial()), (Some(9), 9, false));
    }
}

#[test]
fn restart_drops_the_incomplete_event() {
    let mut events = Events::after(None);
    assert_eq!(events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap().len(), 15);
    events.restart();
    assert_eq!(&events.push(b"id: 2\ndata: b\n\n").unwrap()[..], b"id: 2\ndata: b\n\n");
    assert_eq!(events.last(), Some(2));
}

#[test]
fn non_consecutive_ids_are_rejected() {
    for (after, next) in [(1, 3), (5, 5), (5, 4)] {
        let mut events = Events::after(Some(after));
        let error = events.push(stream(next, next).as_bytes()).unwrap_err();
        assert_eq!(error, EventError::Order { last: after, found: next });
        assert_eq!(events.last(), Some(after));
    }
}

#[test]
fn an_unterminated_event_is_limited_in_size() {
    let mut events = Events::after(None);
    let chunks = std::iter::repeat_n([b'x'; 1_024], 300);
    let error = chunks.map(|c| events.push(&c)).find_map(Result::err);
    assert_eq!(error, Some(EventError::TooLarge));
}
