//! Addresses of boxes. An entry that names one of them as the address of a server gets no requests:
//! the box would take them for those of callers and send them on, over and over.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::protocol::fleet::BoxRecord;

/// Addresses at which boxes accept requests.
#[derive(Debug, Default)]
pub(super) struct BoxAddresses {
    own: Vec<SocketAddr>,
    known: HashSet<SocketAddr>,
}

impl BoxAddresses {
    /// Sets the addresses of this box.
    pub fn set_own(&mut self, own_record: &BoxRecord) {
        self.own = addresses(own_record).into();
        self.known.extend(&self.own);
    }

    /// Adds the addresses of a box.
    pub fn add(&mut self, record: &BoxRecord) {
        self.known.extend(addresses(record));
    }

    /// Replaces the addresses of other boxes.
    pub fn set_all<'a>(&mut self, records: impl Iterator<Item = &'a BoxRecord>) {
        self.known = records.flat_map(addresses).chain(self.own.iter().copied()).collect();
    }

    /// Whether a box accepts requests at an address.
    pub fn contains(&self, address: &SocketAddr) -> bool {
        self.known.contains(address)
    }
}

fn addresses(record: &BoxRecord) -> [SocketAddr; 2] {
    [record.callers, record.peers]
}
