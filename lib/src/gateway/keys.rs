//! The product's own keys in the store, and the values of boxes there.

use bytes::Bytes;

use crate::protocol::fleet::BoxRecord;

/// Beginning of the keys of boxes.
pub const BOXES: &str = "copperweir/boxes/";
/// Beginning of the keys that say which boxes there ever were; they stay when a box is gone.
pub const ROSTER: &str = "copperweir/roster/";
/// Beginning of the keys of requests that are refused because servers end under them.
pub const QUARANTINE: &str = "copperweir/quarantine/";
/// Beginning of the keys of rates that servers name.
pub const RATES: &str = "copperweir/rates/";

/// The key that says that there is a box.
pub fn roster_key(record: &BoxRecord) -> String {
    format!("{ROSTER}{}/{}", record.region, record.name)
}

/// The store's key and value of a box's record.
pub fn box_entry(record: &BoxRecord) -> (String, Bytes) {
    let value = serde_json::to_vec(record).unwrap_or_else(|error| {
        log::error!("event=unwritable box={} error=\"{error}\"", record.name);
        Vec::new()
    });
    (format!("{BOXES}{}", record.name), Bytes::from(value))
}
