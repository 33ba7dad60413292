//! Estimate of the prompt prefixes that a model engine has cached, from the requests that this box
//! sent there.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::adapter::PromptSegment;

/// Fraction of an engine's memory available to shared prefixes; running requests need the rest.
const SHARED_MEMORY_FRACTION: f64 = 0.6;
/// Time after which a prefix is assumed to be evicted: other boxes fill the same memory.
const ENTRY_TTL: Duration = Duration::from_secs(60);

/// Shared prompt parts cached at one engine.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    parts: HashMap<u64, (u32, Instant)>,
    tokens: u64,
    capacity: u64,
}

impl PrefixCache {
    /// Creates an empty cache for an engine with `memory_tokens` of memory.
    pub fn new(memory_tokens: u64) -> PrefixCache {
        let capacity = (memory_tokens as f64 * SHARED_MEMORY_FRACTION) as u64;
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Records that a request with these parts is sent there. Its last part is unique to the
    /// request and not shared.
    pub fn insert(&mut self, parts: &[PromptSegment], now: Instant) {
        let Some((_, shared)) = parts.split_last() else { return };
        for part in shared {
            if self.parts.insert(part.id, (part.tokens, now)).is_none() {
                self.tokens += u64::from(part.tokens);
            }
        }
        while self.tokens > self.capacity {
            let Some(oldest) = self.parts.iter().min_by_key(|(_, (_, at))| *at) else { return };
            let (id, tokens) = (*oldest.0, oldest.1.0);
            self.parts.remove(&id);
            self.tokens -= u64::from(tokens);
        }
    }

    /// Tokens at the beginning of a prompt that are cached.
    pub fn cached_tokens(&self, parts: &[PromptSegment], now: Instant) -> u64 {
        let Some((_, shared)) = parts.split_last() else { return 0 };
        let is_cached = |part: &&PromptSegment| {
            self.parts.get(&part.id).is_some_and(|(_, at)| now < *at + ENTRY_TTL)
        };
        shared.iter().take_while(is_cached).map(|part| u64::from(part.tokens)).sum()
    }
}
