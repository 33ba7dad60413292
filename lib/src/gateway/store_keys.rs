//! The keys in the store that belong to the gateway itself, and the entry of a box's record.

use bytes::Bytes;

use crate::protocol::Incarnation;
use crate::protocol::fleet::BoxRecord;

/// Prefix of the records of running boxes.
pub const BOXES: &str = "copperweir/boxes/";
/// Prefix of the roster, which contains each box that was ever started. Its entries remain after a
/// box is gone.
pub const ROSTER: &str = "copperweir/roster/";
/// Entry of the roster for a box whose first build begins streams only at listed versions. Older builds
/// write an empty one.
pub const LISTING_BUILD: &[u8] = b"lists";
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
/// Key of the splits of all routes on which streams may be resumed.
pub const ROUTES: &str = "copperweir/streams/routes";
/// Prefix of batches of streams. Boxes don't keep these entries in their copies of the store.
const BATCHES: &str = "copperweir/streams/batches/";

/// The key of the versions of a service.
pub fn versions_key(service: &str) -> String {
    format!("{VERSIONS}{service}")
}

/// The service whose versions a key lists.
pub fn listed_service(key: &str) -> Option<&str> {
    key.strip_prefix(VERSIONS)
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

/// The key and value of a box's record.
pub fn box_entry(record: &BoxRecord) -> (String, Bytes) {
    let value = serde_json::to_vec(record).unwrap_or_else(|error| {
        log::error!("event=unwritable box={} error=\"{error}\"", record.name);
        Vec::new()
    });
    (format!("{BOXES}{}", record.name), Bytes::from(value))
}
