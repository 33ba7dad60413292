//! The prefix that a prompt shares with others, and its home engine.
//!
//! An engine processes a shared prefix once and caches it. Each prefix has one home among the
//! engines of all regions, the same for all boxes, by rendezvous hashing of its last part. Earlier
//! parts are common to many prefixes; hashing these would gather all prefixes with the same
//! beginning at a few engines.

use super::rendezvous;
use crate::protocol::adapter::PromptSegment;

/// Minimum length, in tokens, of a prefix that is processed at its home even if the home is in
/// another region. The round trip of 110 to 160 ms is outweighed: the prefix is not processed
/// again, and homes are spread evenly over the engines of all regions, whose busy hours differ. A
/// shorter prefix is not worth the round trip: 90 tokens are processed in 2 ms.
const CROSS_REGION_MIN_TOKENS: u32 = 100;

/// A prefix shared by several prompts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrefix {
    /// Id of the last part.
    id: u64,
    /// Total length of the parts, tokens.
    tokens: u32,
}

impl SharedPrefix {
    /// The shared prefix of a prompt: all parts but the last, which is unique to the request.
    pub fn of(parts: &[PromptSegment]) -> Option<SharedPrefix> {
        let (_, shared) = parts.split_last()?;
        let last = shared.last()?;
        let tokens = shared.iter().fold(0, |sum: u32, part| sum.saturating_add(part.tokens));
        Some(SharedPrefix { id: last.id, tokens })
    }

    /// Id of the last part, which identifies the whole prefix.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Whether requests with this prefix are sent to its home in another region.
    pub fn crosses_regions(&self) -> bool {
        self.tokens >= CROSS_REGION_MIN_TOKENS
    }

    /// Weight of an engine for this prefix; the engine with the highest weight is its home.
    pub fn weight(&self, engine_hash: u64) -> u64 {
        rendezvous::mix(engine_hash, self.id)
    }
}
