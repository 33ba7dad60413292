//! Wire messages and file formats: codecs and validated types.

pub mod adapter;
pub mod bounds;
pub mod caller;
pub mod config;
pub mod events;
pub mod fleet;
pub mod jsonc;
pub mod peer;
pub mod platform;
pub mod quantity;
pub mod retry_after;
pub mod routing;
pub mod schema;
pub mod server_status;
pub mod settings;
pub mod team;
pub mod upgrade;

/// The name of a box.
pub type BoxId = String;
/// The name of a region.
pub type RegionId = String;
/// The name of a backend server.
pub type ServerId = String;
/// The name of a pool of backend servers. A plain service is its own pool.
pub type PoolId = String;
/// The name of a team.
pub type TeamId = String;
/// A random number that a box draws at each start. It distinguishes restarts of one box.
pub type Incarnation = u64;
/// The version of the configuration. Each applied change increments it.
pub type Version = u64;

/// The hash that represents a name in messages between boxes. The configuration check rejects two
/// names of one kind with equal hashes.
pub type NameHash = u32;

/// Returns the hash of a name.
pub fn name_hash(name: &str) -> NameHash {
    rapidhash::v3::rapidhash_v3(name.as_bytes()) as NameHash
}
