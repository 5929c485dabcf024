//! Splitting of server-sent event streams (`text/event-stream`) into whole events.

use bytes::{Bytes, BytesMut};

/// Size limit of an incomplete event.
const MAX_EVENT_BYTES: usize = 256 << 10;
/// Terminator of an event.
const TERMINATOR: &[u8] = b"\n\n";

/// Splits a stream into whole events and checks that their ids are consecutive.
///
/// # Examples
///
/// ```
/// use heathpitch_net::Events;
///
/// let mut events = Events::after(None);
/// let whole = events.push(b"id: 1\ndata: a\n\nid: 2\nda")?;
/// assert_eq!(&whole[..], b"id: 1\ndata: a\n\n");
/// assert_eq!(events.last(), Some(1));
/// assert!(events.has_partial());
/// # Ok::<(), heathpitch_net::EventError>(())
/// ```
#[derive(Debug)]
pub struct Events {
    buffer: BytesMut,
    last: Option<u64>,
    count: u64,
}

/// Error in an event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// An event exceeds the size limit.
    #[error("an event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The id of an event does not follow that of the previous one.
    #[error("event {found} after event {last}")]
    Order {
        /// Id of the previous event.
        last: u64,
        /// Id found.
        found: u64,
    },
}

impl Events {
    /// A stream whose first event is to follow event `last`, if given.
    pub fn after(last: Option<u64>) -> Self {
        Self { buffer: BytesMut::new(), last, count: 0 }
    }

    /// Adds received bytes and returns the events completed by them.
    ///
    /// # Errors
    ///
    /// [`EventError`]. Events received together with the invalid one are dropped, so that a stream
    /// resumed elsewhere continues after the last event returned.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, EventError> {
        // What was buffered before has no terminator.
        let from = self.buffer.len().saturating_sub(TERMINATOR.len() - 1);
        self.buffer.extend_from_slice(bytes);
        let is_terminator = |window: &[u8]| window == TERMINATOR;
        let whole = match self.buffer[from..].windows(TERMINATOR.len()).rposition(is_terminator) {
            Some(at) => self.buffer.split_to(from + at + TERMINATOR.len()).freeze(),
            None if self.buffer.len() > MAX_EVENT_BYTES => return Err(EventError::TooLarge),
            None => return Ok(Bytes::new()),
        };
        let mut last = self.last;
        let mut count = self.count;
        for id in event_ids(&whole) {
            match last {
                Some(l) if id != l + 1 => {
                    return Err(EventError::Order { last: l, found: id });
                }
                _ => last = Some(id),
            }
            count += 1;
        }
        (self.last, self.count) = (last, count);
        Ok(whole)
    }

    /// Id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of whole events.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Bytes of an incomplete event that are buffered.
    pub fn partial_len(&self) -> usize {
        self.buffer.len()
    }

    /// Drops an incomplete event, to continue the stream with another engine.
    pub fn restart(&mut self) {
        self.buffer.clear();
    }
}

/// Ids of events, in order.
fn event_ids(text: &[u8]) -> impl Iterator<Item = u64> + '_ {
    text.split(|b| *b == b'\n').filter_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}
