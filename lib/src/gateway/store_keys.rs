//! The keys in the store that belong to the gateway itself, and the entry of a box's record.

use bytes::Bytes;

use super::stream_versions;
use crate::coordination::stream_versions::ServiceHash;
use crate::protocol::Incarnation;
use crate::protocol::fleet::BoxRecord;

/// Prefix of the records of running boxes.
pub const BOXES: &str = "copperweir/boxes/";
/// Prefix of the roster, which contains each box that was ever started. Its entries remain after a
/// box is gone. The entry of a box that was started once names its incarnation.
pub const ROSTER: &str = "copperweir/roster/";
/// Prefix of the verdicts on requests that are refused because servers crash when they run them.
pub const QUARANTINE: &str = "copperweir/quarantine/";
/// Prefix of the request rates that servers asked for.
pub const RATES: &str = "copperweir/rates/";

/// Prefix of the plans of upgrades, one for each service.
pub const UPGRADES: &str = "copperweir/upgrades/";

/// Prefix of what is kept so that streams go on at their versions.
pub const STREAMS: &str = "copperweir/streams/";
/// Prefix of the versions of services.
pub const VERSIONS: &str = "copperweir/streams/versions/";
/// Maximum length of a service's name in a key.
const MAX_SERVICE_NAME: usize = 128;
/// Begins the hash of a longer name.
const HASH_MARK: char = '#';
/// Key of the splits of all routes on which streams may be resumed.
pub const ROUTES: &str = "copperweir/streams/routes";
/// Prefix of batches of streams. Boxes don't keep these entries in their copies of the store.
const BATCHES: &str = "copperweir/streams/batches/";

/// The key of the versions of a service. The store takes only short keys, so that a long name is
/// replaced by its hash.
pub fn versions_key(service: &str) -> String {
    match service.len() {
        0..=MAX_SERVICE_NAME => format!("{VERSIONS}{service}"),
        _ => format!("{VERSIONS}{HASH_MARK}{:x}", stream_versions::service_hash(service)),
    }
}

/// The service whose versions a key lists.
pub fn listed_service(key: &str) -> Option<ServiceHash> {
    let name = key.strip_prefix(VERSIONS)?;
    match name.strip_prefix(HASH_MARK) {
        Some(hash) => ServiceHash::from_str_radix(hash, 16).ok(),
        None => Some(stream_versions::service_hash(name)),
    }
}

/// One of the keys under which an incarnation of a box writes batches of streams.
pub fn batch_key(box_name: &str, incarnation: Incarnation, number: u64) -> String {
    format!("{BATCHES}{box_name}/{incarnation:x}/{number}")
}

/// Whether a key holds a batch of streams.
pub fn is_batch(key: &str) -> bool {
    key.starts_with(BATCHES)
}

/// The roster key of a box.
pub fn roster_key(record: &BoxRecord) -> String {
    format!("{ROSTER}{}/{}", record.region, record.name)
}

/// The value of the roster entry of a box.
pub fn roster_value(first_incarnation: Option<Incarnation>) -> Bytes {
    let value = first_incarnation.map(|incarnation| format!("{incarnation:x}"));
    Bytes::from(value.unwrap_or_default())
}

/// The incarnation of a box that was started once, by its roster entry; `None` if the box may have
/// been started several times.
pub fn first_incarnation(value: &[u8]) -> Option<Incarnation> {
    Incarnation::from_str_radix(std::str::from_utf8(value).ok()?, 16).ok()
}

/// The key and value of a box's record.
pub fn box_entry(record: &BoxRecord) -> (String, Bytes) {
    let value = serde_json::to_vec(record).unwrap_or_else(|error| {
        log::error!("event=unwritable box={} error=\"{error}\"", record.name);
        Vec::new()
    });
    (format!("{BOXES}{}", record.name), Bytes::from(value))
}
