//! Splits a byte stream of server-sent events into complete events.
//!
//! The response of a backend server may break off in the middle of an event. Only complete events
//! are passed on, so a caller has received exactly the events up to the ID of the last one.

use bytes::Bytes;
use bytes::BytesMut;

/// A splitter that buffers the incomplete event at the end of a stream.
#[derive(Debug, Default)]
pub struct Splitter {
    incomplete: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes and returns all events that are now complete as one buffer.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        // Common case: complete events arrive together and need no copy.
        if self.incomplete.is_empty() && bytes.ends_with(b"\n\n") {
            self.update_last_id(&bytes);
            return Some(bytes);
        }
        self.incomplete.extend_from_slice(&bytes);
        let end = self.incomplete.windows(2).rposition(|pair| pair == b"\n\n")? + 2;
        let complete = self.incomplete.split_to(end).freeze();
        self.update_last_id(&complete);
        Some(complete)
    }

    /// Returns the ID of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether no incomplete event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.incomplete.is_empty()
    }

    /// Discards an incomplete event, so that another response can continue the stream after the
    /// last complete event.
    pub fn discard_incomplete(&mut self) {
        self.incomplete.clear();
    }

    fn update_last_id(&mut self, events: &[u8]) {
        let mut lines = events.rsplit(|byte| *byte == b'\n');
        let last = lines.find_map(|line| line.strip_prefix(b"id:"));
        let last = last.and_then(|id| std::str::from_utf8(id).ok());
        if let Some(id) = last.and_then(|id| id.trim().parse().ok()) {
            self.last_id = Some(id);
        }
    }
}
