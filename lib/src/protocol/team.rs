//! Teams: their API keys, the priority of their requests, the regions that may execute these, and
//! their rate limits.
//!
//! A key is reduced to its digest as soon as a request head is read. Keys themselves are never
//! stored, and never sent to backend servers, to other boxes or to the log.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

use super::RegionId;
use super::TeamId;

const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a key. Lookups use the digest, so that their duration reveals nothing
/// about the key.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyDigest {
    /// Writes lower-case hex.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    /// Writes the first two bytes only, enough to distinguish keys in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:02x}{:02x})", self.0[0], self.0[1])
    }
}

/// An error for a text that is not a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a digest has 64 hexadecimal digits")]
pub struct ParseDigestError;

impl FromStr for KeyDigest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<KeyDigest, ParseDigestError> {
        if text.len() != 2 * DIGEST_BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(ParseDigestError);
        }
        let mut digest = [0; DIGEST_BYTES];
        for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| ParseDigestError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| ParseDigestError)?;
        }
        Ok(KeyDigest(digest))
    }
}

/// The unit that a rate limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateUnit {
    /// Requests; each has a cost of 1.
    Requests,
    /// Tokens of the prompt plus the maximum number of generated tokens.
    Tokens {
        /// The cost of a request that does not give its number of tokens.
        default_tokens: u64,
    },
}

/// The rate limit of a team, over all boxes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units per second.
    pub rate: f64,
    /// The burst size, in units.
    pub burst: f64,
    /// The unit that is counted.
    pub unit: RateUnit,
}

impl RateLimit {
    /// Returns the cost of a request, given the number of tokens in its headers.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            RateUnit::Requests => 1.0,
            RateUnit::Tokens { default_tokens } => tokens.unwrap_or(default_tokens) as f64,
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The name.
    pub name: TeamId,
    /// The priority of the team's requests, which overrides that of the route; 0 is the most
    /// urgent.
    pub priority: Option<u8>,
    /// The regions that may execute its requests; empty for all regions.
    pub home_regions: Vec<RegionId>,
    /// The rate limit; `None` for no limit.
    pub limit: Option<RateLimit>,
}

impl Team {
    /// Creates a team with defaults for everything except its name.
    pub fn with_name(name: &str) -> Team {
        Team { name: name.to_owned(), priority: None, home_regions: Vec::new(), limit: None }
    }

    /// Returns whether a region may execute the team's requests.
    pub fn allows(&self, region: &str) -> bool {
        self.home_regions.is_empty() || self.home_regions.iter().any(|home| home == region)
    }
}

/// The teams of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Teams {
    by_key: HashMap<KeyDigest, Arc<Team>>,
    by_name: HashMap<TeamId, Arc<Team>>,
}

impl Teams {
    /// Indexes teams by name and by the digests of their keys. A key that is listed for two teams
    /// belongs to the first.
    pub fn new(teams: impl IntoIterator<Item = (Team, Vec<KeyDigest>)>) -> Teams {
        let mut index = Teams::default();
        for (team, keys) in teams {
            let team = Arc::new(team);
            for key in keys {
                index.by_key.entry(key).or_insert_with(|| Arc::clone(&team));
            }
            index.by_name.entry(team.name.clone()).or_insert(team);
        }
        index
    }

    /// Returns the team that owns a key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }

    /// Returns the team with a name.
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// Returns all teams, in arbitrary order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.by_name.values()
    }
}
