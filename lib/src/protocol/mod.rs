//! What is said on the wire and in files: codecs and checked types.

pub mod adapter;
pub mod caller;
pub mod config;
pub mod events;
pub mod fleet;
pub mod jsonc;
pub mod peer;
pub mod platform;
pub mod retry_after;
pub mod routing;
pub mod schema;
pub mod server_status;
pub mod settings;
pub mod team;

/// Name of a box.
pub type BoxId = String;
/// Name of a region.
pub type RegionId = String;
/// Name of a backend server.
pub type ServerId = String;
/// Name of a pool of backend servers. A plain service is its own pool.
pub type PoolId = String;
/// Name of a team.
pub type TeamId = String;
/// Random number that a box draws at each start.
pub type Incarnation = u64;
/// Version of the configuration; grows by one with each applied file.
pub type Version = u64;

/// Hash that stands for a name on the wire between boxes. The configuration's
/// check refuses two names of a kind with the same one.
pub type NameHash = u32;

/// The hash of a name.
pub fn name_hash(name: &str) -> NameHash {
    rapidhash::v3::rapidhash_v3(name.as_bytes()) as NameHash
}
