//! The software versions of a service's servers, as the store lists them.
//!
//! A box starts a resumable stream only at a version that is listed. A stream of which nothing else
//! is known therefore began at one of the listed versions, also if every box that knew it is gone.
//! If a single version is listed, and the list was complete all the time, that is the one.
//!
//! The splits of routes are listed in the same form. Streams don't wait for these lists, because a
//! list tells the service of a stream only if the newest split leads there too.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::stream_versions;
use super::stream_versions::Split;
use super::stream_versions::SplitHash;
use crate::protocol::RegionId;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::Era;

/// Maximum number of versions in a list.
pub const MAX_VERSIONS: usize = 256;
/// Maximum number of routes with lists.
const MAX_ROUTES: usize = 4096;

/// The versions that the store lists for a service.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionList {
    /// Era of the store for which the list is complete. A store that was restored from an older copy
    /// may have lost versions.
    pub era: Era,
    /// The versions.
    pub versions: BTreeSet<VersionHash>,
    /// Whether no stream can run that began at another version, before there was a list.
    pub complete: bool,
}

impl VersionList {
    /// The version at which every stream of the service began that is not known otherwise.
    pub fn sole_version(&self, era: Era) -> Option<VersionHash> {
        let sole = self.versions.first().copied().filter(|_| self.versions.len() == 1);
        sole.filter(|_| self.is_complete(era))
    }

    /// Whether the list is complete in an era of the store.
    pub fn is_complete(&self, era: Era) -> bool {
        self.complete && self.era == era
    }

    fn check(&self) -> Result<(), String> {
        match self.versions.len() {
            1..=MAX_VERSIONS => Ok(()),
            0 => Err("versions: none".to_owned()),
            _ => Err("versions: too many".to_owned()),
        }
    }

    /// The value to store.
    pub fn to_value(&self) -> Bytes {
        // Serializing numbers can't fail.
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}

impl TryFrom<&[u8]> for VersionList {
    type Error = String;

    fn try_from(value: &[u8]) -> Result<VersionList, String> {
        let list: VersionList = serde_json::from_slice(value).map_err(|error| error.to_string())?;
        list.check()?;
        Ok(list)
    }
}

/// Share of the slots that servers of listed versions have, in the region in which they have the
/// smallest one. `slots` are those of each version by region.
pub fn min_listed_share(
    slots: &HashMap<VersionHash, HashMap<RegionId, u64>>,
    listed: &[VersionHash],
) -> f64 {
    let regions: BTreeSet<&RegionId> = slots.values().flat_map(HashMap::keys).collect();
    let share = |region: &RegionId| {
        let in_region = |version: &VersionHash| slots.get(version)?.get(region).copied();
        let all: u64 = slots.keys().filter_map(in_region).sum();
        let of_listed: u64 = listed.iter().filter_map(in_region).sum();
        of_listed as f64 / all.max(1) as f64
    };
    regions.into_iter().map(share).min_by(f64::total_cmp).unwrap_or(0.0)
}

/// The splits of all routes on which streams may be resumed, by host and path prefix.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteLists {
    /// A list for each route, with splits in place of versions.
    pub routes: BTreeMap<String, VersionList>,
    /// The splits.
    pub splits: BTreeMap<SplitHash, Split>,
}

impl RouteLists {
    /// The value to store.
    pub fn to_value(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }
}

impl TryFrom<&[u8]> for RouteLists {
    type Error = String;

    fn try_from(value: &[u8]) -> Result<RouteLists, String> {
        let lists: RouteLists = serde_json::from_slice(value).map_err(|error| error.to_string())?;
        if lists.routes.len() > MAX_ROUTES {
            return Err("routes: too many".to_owned());
        }
        lists.routes.values().try_for_each(VersionList::check)?;
        if lists.splits.iter().any(|(hash, split)| stream_versions::split_hash(split) != *hash) {
            return Err("splits: one has another hash".to_owned());
        }
        let mut listed = lists.routes.values().flat_map(|list| &list.versions);
        if listed.any(|split| !lists.splits.contains_key(split)) {
            return Err("splits: one is missing".to_owned());
        }
        Ok(lists)
    }
}
