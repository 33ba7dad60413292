//! Reads all keys with a prefix from the store, in one call or several.

use std::time::Instant;

use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyValue;
use crate::protocol::adapter::Operation;
use crate::protocol::adapter::StoreResponse;
use crate::protocol::platform::Era;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Position;
use crate::state::clock;
use crate::transport::store;

/// Prefix of all keys. One watch covers them all, so that each change wakes a box once.
pub const ALL_KEYS: &str = "";

/// The keys with a prefix.
pub struct Contents {
    /// The keys with their values.
    pub items: Vec<KeyValue>,
    /// Position in the history from which on to watch for changes.
    pub position: Position,
    /// When the first call of the read was sent.
    pub asked_at: Instant,
}

/// Reads all keys with a prefix, in the newest known era. It never uses stale reads, though they cost
/// a tenth: while the store compacts its history they lag by seconds, and a box that starts would
/// send to a failure domain for longer after its evacuation than is allowed. Returns `None` if there
/// are more than `max_keys` keys.
pub async fn read<A: Adapter>(
    store: &store::Client<A>,
    prefix: &str,
    known_era: Era,
    max_keys: usize,
) -> Result<Option<Contents>, PlatformError> {
    let mut after: Option<String> = None;
    let mut oldest: Option<Position> = None;
    let mut all_items = Vec::new();
    let asked_at = clock::now();
    loop {
        let range = Operation::Range { prefix: prefix.to_owned(), after: after.clone() };
        let page = store.call_with_era(&range).await?;
        let StoreResponse::Page { items, more, revision } = page.response else {
            return Err(PlatformError::Malformed("not a page".to_owned()));
        };
        let era = page.era.unwrap_or(known_era);
        if era < store.newest_era() || oldest.is_some_and(|oldest| oldest.era != era) {
            return Err(PlatformError::NoResponse("the store went back meanwhile".to_owned()));
        }
        let position = Position { era, revision };
        let last = items.last().map(|item| item.key.clone());
        if last.is_some() && last <= after {
            // Without this, a store that repeats a page would be read without end.
            return Err(PlatformError::Malformed("a page repeats the one before".to_owned()));
        }
        after = last;
        // The pages are no consistent snapshot, so changes are watched for from the oldest page on.
        let position = oldest.map_or(position, |oldest| oldest.min(position));
        oldest = Some(position);
        all_items.extend(items);
        if !more || after.is_none() {
            return Ok(Some(Contents { items: all_items, position, asked_at }));
        }
        if all_items.len() >= max_keys {
            return Ok(None);
        }
    }
}
