//! Hands the whole state to boxes that start. The state is compressed, and a box hands on what it got
//! itself, so that only the first box compresses it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use prost::Message;

use super::Entries;
use super::Entry;
use super::FetchedState;
use super::RemovedKeys;
use super::StateQuery;
use super::StateReply;
use super::fetched_state;
use super::lost_configuration;
use super::query_state;
use super::to_item;
use crate::coordination::freshness::Version;
use crate::coordination::store_rollback::ROLLBACK_GRACE;
use crate::coordination::unlisted::Neighbor;
use crate::gateway::shared::Shared;
use crate::gateway::shared::lock;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyValue;
use crate::protocol::bounds::MAX_STATE_BYTES;
use crate::protocol::platform::Position;
use crate::state::clock;
use crate::transport::backend;
use crate::transport::timer;

/// Maximum wait for the whole state of a large fleet, over a slow link that several boxes share.
const START_TIMEOUT: Duration = Duration::from_secs(3);
/// Age up to which a box hands on the compressed state that it has.
const COMPRESSED_TTL: Duration = Duration::from_secs(2);

/// A compressed state as it is handed to boxes that start. A box hands on what it got itself, as
/// long as that is recent.
#[derive(Clone, Debug)]
pub struct CompressedState {
    version: Version,
    /// When this was the store's state.
    confirmed_at: Instant,
    deflated: Bytes,
}

/// A response to a box that starts.
#[derive(Clone, Debug)]
pub enum StartResponse {
    /// The state.
    State(Box<FetchedState>, Option<CompressedState>),
    /// Boxes to ask instead.
    Referrals(Vec<SocketAddr>),
    /// The box that was asked has no state yet.
    NoState,
}

/// Builds the reply to a box that starts: the state, or boxes of its failure domain to ask. Others
/// are referred to it only if it asks from the host that it names.
pub(super) fn build_reply<A: Adapter>(
    shared: &Shared<A>,
    query: &StateQuery,
    client: Option<IpAddr>,
) -> StateReply {
    let now = clock::now();
    let handover: Option<SocketAddr> = query.handover.parse().ok();
    if let Some(handover) = handover.filter(|handover| Some(handover.ip()) == client) {
        let referrals = lock(&shared.joins).add(&query.failure_domain, handover, now);
        if !referrals.is_empty() {
            let referrals = referrals.iter().map(SocketAddr::to_string).collect();
            return StateReply { referrals, ..StateReply::default() };
        }
    }
    let Some(state) = compressed_state(shared, now) else { return StateReply::default() };
    let recovered_ago = lock(&shared.store_recovered_at).map(clock::since);
    let recovered_ago = recovered_ago.filter(|ago| *ago < ROLLBACK_GRACE);
    StateReply {
        era: state.version.position.era,
        revision: state.version.position.revision,
        digest: state.version.digest,
        age_ms: Some(now.saturating_duration_since(state.confirmed_at).as_millis() as u64),
        returned_ms: recovered_ago.map(|ago| ago.as_millis() as u64),
        verdicts: lock(&shared.quarantine).active_verdicts(now),
        deflated: state.deflated,
        configuration: lost_configuration(shared),
        ..StateReply::default()
    }
}

/// The state for boxes that start; `None` if this box has none yet.
fn compressed_state<A: Adapter>(shared: &Shared<A>, now: Instant) -> Option<CompressedState> {
    let kept = lock(&shared.compressed_state).clone();
    if let Some(kept) = kept.filter(|kept| now < kept.confirmed_at + COMPRESSED_TTL) {
        return Some(kept);
    }
    let age = lock(&shared.freshness).age(now)?;
    let (version, entries) = {
        let replica = lock(&shared.replica);
        let items = replica.items_written_after(Position::default());
        let entry =
            |item: KeyValue| (item.key, Entry { value: item.value, revision: item.revision });
        (replica.version(), items.map(entry).collect())
    };
    let deflated = deflate(entries)?;
    let confirmed_at = now.checked_sub(age)?;
    let state = CompressedState { version, confirmed_at, deflated };
    *lock(&shared.compressed_state) = Some(state.clone());
    Some(state)
}

/// Asks a box for the state on behalf of a box that starts. `join` gives the failure domain of that
/// box and the address at which it hands the state on, if it may be referred to another box.
pub async fn request_start(
    client: &backend::Client,
    address: SocketAddr,
    join: Option<(&str, SocketAddr)>,
    requester: &Neighbor,
) -> Result<StartResponse, String> {
    let query = StateQuery {
        starts: true,
        handover: join.map(|(_, handover)| handover.to_string()).unwrap_or_default(),
        failure_domain: join.map(|(domain, _)| domain.to_owned()).unwrap_or_default(),
        ..StateQuery::default()
    };
    let asked_at = clock::now();
    let reply = query_state(client, address, &query, Some(requester));
    let reply = match timer::timeout(START_TIMEOUT, reply).await {
        Ok(reply) => reply?,
        Err(_) => return Err("no answer in time".to_owned()),
    };
    if !reply.referrals.is_empty() {
        let referrals = reply.referrals.iter().filter_map(|address| address.parse().ok());
        return Ok(StartResponse::Referrals(referrals.collect()));
    }
    let Some(age_ms) = reply.age_ms else { return Ok(StartResponse::NoState) };
    let age = Duration::from_millis(age_ms);
    let confirmed_at = asked_at.checked_sub(age).ok_or("the state is too old")?;
    let version = Version {
        position: Position { era: reply.era, revision: reply.revision },
        digest: reply.digest,
    };
    // A box of the version before replies with single entries.
    let deflated = reply.deflated.clone();
    let mut state = fetched_state(address, reply, asked_at)?.ok_or("a state without an age")?;
    let mut compressed = None;
    if !deflated.is_empty() {
        state.removed_keys = RemovedKeys::Listed(HashSet::new());
        compressed = Some(CompressedState { version, confirmed_at, deflated });
    }
    Ok(StartResponse::State(Box::new(state), compressed))
}

pub(super) fn deflate(entries: HashMap<String, Entry>) -> Option<Bytes> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    // Writing to memory can't fail.
    encoder.write_all(&Entries { entries }.encode_to_vec()).ok()?;
    encoder.finish().ok().map(Bytes::from)
}

pub(super) fn inflate(deflated: &[u8]) -> Result<Vec<KeyValue>, String> {
    let mut encoded = Vec::new();
    let mut decoder = DeflateDecoder::new(deflated).take(MAX_STATE_BYTES);
    decoder.read_to_end(&mut encoded).map_err(|error| error.to_string())?;
    let state = Entries::decode(Bytes::from(encoded)).map_err(|error| error.to_string())?;
    Ok(state.entries.into_iter().map(to_item).collect())
}
