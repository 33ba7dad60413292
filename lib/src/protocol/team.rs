//! Teams: who may send requests, by which keys, how urgent these are, where
//! they may run, and how much a team may ask for.
//!
//! A key is known by its digest alone, from the moment a request's head is
//! read: keys themselves are kept nowhere, and are told neither to backend
//! servers nor to other boxes or the log.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use sha2::Digest;
use sha2::Sha256;

use super::RegionId;
use super::TeamId;

/// Bytes of a digest.
const DIGEST: usize = 32;

/// SHA-256 of a key; looked up by value, so that the time of a look-up says nothing of a key.
#[derive(Clone, Copy, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; DIGEST]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyDigest {
    /// Lower-case hex.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    /// Enough to tell two keys apart in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:02x}{:02x})", self.0[0], self.0[1])
    }
}

/// The text is no digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("a digest has 64 hexadecimal digits")]
pub struct DigestError;

impl FromStr for KeyDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<KeyDigest, DigestError> {
        if text.len() != 2 * DIGEST || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(DigestError);
        }
        let mut digest = [0; DIGEST];
        for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| DigestError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| DigestError)?;
        }
        Ok(KeyDigest(digest))
    }
}

/// What a limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateUnit {
    /// Requests, each as one.
    Requests,
    /// Tokens of the prompt and the most to be generated.
    Tokens {
        /// What a request counts as that does not say.
        default_tokens: u64,
    },
}

/// How much a team may ask of all boxes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units a second.
    pub rate: f64,
    /// Units beyond that at once.
    pub burst: f64,
    /// What is counted.
    pub unit: RateUnit,
}

impl RateLimit {
    /// What a request counts as, by the tokens that it says it has.
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
    /// Name.
    pub name: TeamId,
    /// Rank of its requests in place of their route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions that may run its requests; empty means all.
    pub home_regions: Vec<RegionId>,
    /// How much it may ask for; `None` for no limit.
    pub limit: Option<RateLimit>,
}

impl Team {
    /// A team of which only the name is known.
    pub fn with_name(name: &str) -> Team {
        Team { name: name.to_owned(), priority: None, home_regions: Vec::new(), limit: None }
    }

    /// Whether a region may run its requests.
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
    /// Teams with the digests of their keys. A key that two of them have belongs to the first.
    pub fn new(teams: impl IntoIterator<Item = (Team, Vec<KeyDigest>)>) -> Teams {
        let mut all = Teams::default();
        for (team, keys) in teams {
            let team = Arc::new(team);
            for key in keys {
                all.by_key.entry(key).or_insert_with(|| Arc::clone(&team));
            }
            all.by_name.entry(team.name.clone()).or_insert(team);
        }
        all
    }

    /// The team that holds a key.
    pub fn find_by_key(&self, key: &KeyDigest) -> Option<&Arc<Team>> {
        self.by_key.get(key)
    }

    /// The team of a name.
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<Team>> {
        self.by_name.get(name)
    }

    /// All teams, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Team>> {
        self.by_name.values()
    }
}
