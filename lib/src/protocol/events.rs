//! Splits a byte stream of server-sent events into complete events.
//!
//! The response of a backend server may break off in the middle of an event. Only complete events
//! are passed on, so a caller has received exactly the events up to the ID of the last one. IDs
//! increase from event to event, which [`Sequence`] checks across the responses that continue a
//! stream. An ID that is left out says nothing: a server may number its events otherwise.

use bytes::Bytes;
use bytes::BytesMut;

use super::bounds::MAX_EVENT_BYTES;

/// The end of an event.
const END: &[u8] = b"\n\n";

/// An incomplete event has more than [`MAX_EVENT_BYTES`] bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("an event has over {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// A splitter that buffers the incomplete event at the end of a stream.
#[derive(Debug, Default)]
pub struct Splitter {
    incomplete: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes and returns all events that are now complete as one buffer. Only the added bytes
    /// are searched.
    pub fn push(&mut self, mut bytes: Bytes) -> Result<Option<Bytes>, EventTooLong> {
        // Common case: complete events arrive together and need no copy.
        if self.incomplete.is_empty() {
            let Some(start) = find_last_end(&bytes) else { return self.buffer(&bytes) };
            let complete = bytes.split_to(start + END.len());
            self.incomplete.extend_from_slice(&bytes);
            self.update_last_id(&complete);
            return Ok(Some(complete));
        }
        // The end of an event may begin with the last buffered byte.
        let buffered = self.incomplete.len();
        let begins_end = self.incomplete.ends_with(b"\n") && bytes.starts_with(b"\n");
        let end = match find_last_end(&bytes) {
            Some(start) => start + END.len(),
            None if begins_end => 1,
            None => return self.buffer(&bytes),
        };
        self.incomplete.extend_from_slice(&bytes);
        let complete = self.incomplete.split_to(buffered + end).freeze();
        self.update_last_id(&complete);
        Ok(Some(complete))
    }

    /// Returns the ID of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// Number of bytes of the incomplete event.
    pub fn incomplete_len(&self) -> usize {
        self.incomplete.len()
    }

    /// Discards an incomplete event, so that another response can continue the stream after the
    /// last complete event.
    pub fn discard_incomplete(&mut self) {
        self.incomplete.clear();
    }

    /// Buffers bytes that complete no event.
    fn buffer(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLong> {
        if self.incomplete.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.incomplete.extend_from_slice(bytes);
        Ok(None)
    }

    fn update_last_id(&mut self, events: &[u8]) {
        self.last_id = last_event_id(events).or(self.last_id);
    }
}

/// Returns the last ID in complete events.
fn last_event_id(events: &[u8]) -> Option<u64> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    parse_id(lines.find_map(|line| line.strip_prefix(b"id:"))?)
}

/// Whether an event is more than a comment.
fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n').any(|line| line.starts_with(b"data"))
}

fn parse_id(text: &[u8]) -> Option<u64> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}

/// Returns where the first end of an event starts.
fn find_first_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).position(|pair| pair == END)
}

/// Returns where the last end of an event starts.
fn find_last_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(END.len()).rposition(|pair| pair == END)
}

/// The ID of an event that does not follow the one before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("event {id} does not follow event {last_id}")]
pub struct OutOfSequence {
    /// The ID of the event before it.
    pub last_id: u64,
    /// The ID of the event.
    pub id: u64,
}

/// The position in a stream of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sequence {
    last_id: Option<u64>,
    has_unnumbered: bool,
}

impl Sequence {
    /// Creates a position after the event `last_id`. Without it, the stream may begin with any ID.
    pub fn after(last_id: Option<u64>) -> Sequence {
        Sequence { last_id, has_unnumbered: false }
    }

    /// Returns the ID of the last event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the ID of the last event says which events there were. An event without an ID
    /// after it would be sent again by a server that continues after that ID.
    pub fn is_known(&self) -> bool {
        !self.has_unnumbered
    }

    /// Advances over complete events up to the first one that does not follow its predecessor.
    /// Returns the number of bytes before that one, and the IDs if there is one.
    pub fn advance(&mut self, events: &[u8]) -> (usize, Option<OutOfSequence>) {
        let mut position = 0;
        while position < events.len() {
            let event = &events[position..];
            let len = find_first_end(event).map_or(event.len(), |start| start + END.len());
            if let Some(id) = last_event_id(&event[..len]) {
                if let Some(last_id) = self.last_id
                    && id <= last_id
                {
                    return (position, Some(OutOfSequence { last_id, id }));
                }
                self.last_id = Some(id);
                self.has_unnumbered = false;
            } else if has_data(&event[..len]) {
                self.has_unnumbered = true;
            }
            position += len;
        }
        (position, None)
    }
}
