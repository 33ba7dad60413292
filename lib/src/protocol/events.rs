//! Splits a stream of server-sent events into whole events.
//!
//! A backend server may break off inside an event. Only whole events are
//! passed on, so what a caller has is always known by the last id.

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes of a stream whose last event may be incomplete.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes; gives the whole events that are there now, in one piece.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        // The usual case: whole events arrive together and need no copy.
        if self.rest.is_empty() && bytes.ends_with(b"\n\n") {
            self.read_ids(&bytes);
            return Some(bytes);
        }
        self.rest.extend_from_slice(&bytes);
        let end = self.rest.windows(2).rposition(|pair| pair == b"\n\n")? + 2;
        let whole = self.rest.split_to(end).freeze();
        self.read_ids(&whole);
        Some(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the stream stands between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.rest.is_empty()
    }

    /// Forgets an incomplete event, to go on with another stream.
    pub fn discard_incomplete(&mut self) {
        self.rest.clear();
    }

    fn read_ids(&mut self, events: &[u8]) {
        let mut lines = events.rsplit(|byte| *byte == b'\n');
        let last = lines.find_map(|line| line.strip_prefix(b"id:"));
        let last = last.and_then(|id| std::str::from_utf8(id).ok());
        if let Some(id) = last.and_then(|id| id.trim().parse().ok()) {
            self.last_id = Some(id);
        }
    }
}
