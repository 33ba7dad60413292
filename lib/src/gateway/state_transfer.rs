//! Transfers the store's state between boxes. A box that can't read it from the store requests the
//! missing part from another box. Without this, a box that starts during a store outage could serve
//! no callers, and a box that loses the store would act against what the operator and the servers
//! have written since.

mod identity;
mod start;

pub use self::identity::confirm_identity;
pub use self::start::CompressedState;
pub use self::start::StartResponse;
pub use self::start::request_start;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use prost::Message;
use rand::seq::SliceRandom;
use tokio::task::JoinSet;

use self::start::deflate;
use self::start::inflate;
use super::sender_checks;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::freshness::Version;
use crate::coordination::quarantine::wire;
use crate::coordination::store_rollback::ROLLBACK_GRACE;
use crate::coordination::unlisted::Neighbor;
use crate::protocol::adapter::Adapter;
use crate::protocol::adapter::KeyValue;
use crate::protocol::bounds::MAX_QUERY_BYTES;
use crate::protocol::platform::Position;
use crate::state::clock;
use crate::transport::activity::RequestBody;
use crate::transport::backend;
use crate::transport::body::NonRelayBody;
use crate::transport::body::ResponseBody;
use crate::transport::http1;
use crate::transport::timer;

/// Hash of the requesting box, as in datagrams, in hex.
const REQUESTER_HASH: HeaderName = HeaderName::from_static("copperweir-box");
/// Region of the requesting box.
const REQUESTER_REGION: HeaderName = HeaderName::from_static("copperweir-region");
/// Address at which the requesting box receives datagrams.
const REQUESTER_ADDRESS: HeaderName = HeaderName::from_static("copperweir-address");
/// Port at which the requesting box hands its state over. Boxes of older builds don't send it.
const REQUESTER_HANDOVER: HeaderName = HeaderName::from_static("copperweir-handover");
/// Path of the query; the port serves nothing else.
const STATE_PATH: &str = "/state";
/// Maximum wait for one box: two round trips to the farthest region.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of values in bytes from which on entries are deflated.
const MIN_DEFLATED_BYTES: usize = 16 << 10;
/// Delay before the next box is queried in parallel: longer than one such round trip.
const NEXT_SEED_DELAY: Duration = Duration::from_millis(150);

/// The state that the requesting box already has.
#[derive(Clone, PartialEq, prost::Message)]
struct StateQuery {
    /// Position in the store's history at which its state was read.
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// Digests of the entries that it has. Set if the position doesn't describe them: its state
    /// belongs to another history of the store than that of the queried box, or differs from the
    /// state at that position.
    #[prost(message, optional, tag = "3")]
    held: Option<Hashes>,
    /// Whether the requesting box has no state, and takes the whole state compressed.
    #[prost(bool, tag = "4")]
    starts: bool,
    /// Where the requesting box hands the state on. Set if it asks a seed and may be referred to
    /// another box.
    #[prost(string, tag = "5")]
    handover: String,
    /// Failure domain of the requesting box.
    #[prost(string, tag = "6")]
    failure_domain: String,
    /// Whether the requesting box accepts deflated entries.
    #[prost(bool, tag = "7")]
    accepts_deflated: bool,
}

/// The state that the requesting box lacks.
#[derive(Clone, PartialEq, prost::Message)]
struct StateReply {
    /// Position in the store's history at which the state was read.
    #[prost(uint64, tag = "10")]
    era: u64,
    #[prost(uint64, tag = "2")]
    revision: u64,
    /// How long ago this was the store's state, in milliseconds.
    #[prost(uint64, optional, tag = "3")]
    age_ms: Option<u64>,
    /// Entries written after the queried position, or whose digests were not in the query.
    #[prost(map = "string, message", tag = "4")]
    entries: HashMap<String, Entry>,
    /// Hashes of all keys, unless the sender knows which keys were removed and lists them in
    /// `removed`.
    #[prost(fixed64, repeated, tag = "5")]
    keys: Vec<u64>,
    /// Hashes of the keys removed after the queried position.
    #[prost(message, optional, tag = "8")]
    removed: Option<Hashes>,
    /// Digest of the state.
    #[prost(fixed64, tag = "6")]
    digest: u64,
    /// How long ago the store responded to the sender again after an outage, in milliseconds;
    /// `None` if that was long ago.
    #[prost(uint64, optional, tag = "7")]
    returned_ms: Option<u64>,
    /// Requests that are refused because servers crash when they run them. Only for a box that has
    /// no state yet.
    #[prost(message, repeated, tag = "9")]
    verdicts: Vec<wire::VerdictReport>,
    /// Deflated [`Entries`], in place of `entries`. Only for a box that accepts that.
    #[prost(bytes = "bytes", tag = "11")]
    deflated: Bytes,
    /// Addresses of boxes to ask instead.
    #[prost(string, repeated, tag = "12")]
    referrals: Vec<String>,
    /// The configuration in force, if the store no longer has it.
    #[prost(message, optional, tag = "13")]
    configuration: Option<KeyedEntry>,
}

/// An entry with its key.
#[derive(Clone, PartialEq, prost::Message)]
struct KeyedEntry {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(message, required, tag = "2")]
    entry: Entry,
}

/// Entries of a state.
#[derive(Clone, PartialEq, prost::Message)]
struct Entries {
    #[prost(map = "string, message", tag = "1")]
    entries: HashMap<String, Entry>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Hashes {
    #[prost(fixed64, repeated, tag = "1")]
    hashes: Vec<u64>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Entry {
    #[prost(bytes = "bytes", tag = "1")]
    value: Bytes,
    #[prost(uint64, tag = "2")]
    revision: u64,
}

/// The state fetched from another box, as far as the requesting box lacks it.
#[derive(Clone, Debug)]
pub struct FetchedState {
    /// The queried box.
    pub source: SocketAddr,
    /// Version of its state.
    pub version: Version,
    /// When this was the store's state; `None` if that is before the clock's beginning.
    pub confirmed_at: Option<Instant>,
    /// How long ago the store responded to that box again, if it had an outage shortly before.
    /// Entries may be missing that will be written again.
    pub recovered_ago: Option<Duration>,
    /// Entries that the requesting box lacks.
    pub written: Vec<KeyValue>,
    /// Keys that were removed.
    pub removed_keys: RemovedKeys,
    /// Requests that are refused because servers crash when they run them, if the requesting box
    /// had no state yet.
    pub verdicts: Vec<wire::VerdictReport>,
    /// The configuration in force at the queried box, if the store no longer has it.
    pub configuration: Option<KeyValue>,
}

/// The part of another box's state to request.
#[derive(Clone, Debug)]
pub enum StateScope {
    /// All of it.
    All,
    /// Entries written after a position in the history that both boxes have.
    After(Position),
    /// All entries whose digests (of key, revision and value) are not among these.
    NotIn(HashSet<u64>),
}

/// The keys that another box's state doesn't have, by their hashes.
#[derive(Clone, Debug)]
pub enum RemovedKeys {
    /// Exactly these keys.
    Listed(HashSet<u64>),
    /// All keys except these.
    AllExcept(HashSet<u64>),
}

impl StateScope {
    fn to_query(&self) -> StateQuery {
        match self {
            StateScope::All => StateQuery::default(),
            StateScope::After(Position { era, revision }) => StateQuery {
                era: *era,
                revision: *revision,
                accepts_deflated: true,
                ..StateQuery::default()
            },
            StateScope::NotIn(digests) => {
                let hashes = digests.iter().copied().collect();
                let held = Some(Hashes { hashes });
                StateQuery { held, accepts_deflated: true, ..StateQuery::default() }
            }
        }
    }
}

/// Handles the state query of another box.
pub async fn handle<A: Adapter>(
    shared: Arc<Shared<A>>,
    request: Request<RequestBody>,
) -> Response<NonRelayBody> {
    if let Some(response) = identity::respond(&shared, &request) {
        return response;
    }
    if let Some(requester) = read_requester(&shared, request.headers()) {
        sender_checks::record_claim(&shared, requester, clock::now());
    }
    let client = request.extensions().get::<http1::ClientIp>().map(|client| client.0);
    let Some(query) = read_query(request.into_body()).await else {
        let mut refusal = Response::new(ResponseBody::buffered(Bytes::new()));
        *refusal.status_mut() = StatusCode::BAD_REQUEST;
        return refusal;
    };
    let reply = if query.starts {
        start::build_reply(&shared, &query, client)
    } else {
        build_reply(&shared, query)
    };
    Response::new(ResponseBody::buffered(reply.encode_to_vec()))
}

/// Reads a query. An empty body is the query of a box that has no state.
async fn read_query(body: RequestBody) -> Option<StateQuery> {
    let body = Limited::new(body, MAX_QUERY_BYTES).collect().await;
    let body = body.inspect_err(|error| log::info!("event=question_broken error=\"{error}\""));
    StateQuery::decode(body.ok()?.to_bytes()).ok()
}

fn build_reply<A: Adapter>(shared: &Shared<A>, query: StateQuery) -> StateReply {
    let requester_is_empty = query == StateQuery::default();
    let age_ms = u64::try_from(shared.state_age_ms()).ok();
    let configuration = lost_configuration(shared);
    let replica = lock(&shared.replica);
    let to_entry =
        |item: KeyValue| (item.key, Entry { value: item.value, revision: item.revision });
    let position_held = Position { era: query.era, revision: query.revision };
    let (entries, removed) = match query.held {
        Some(Hashes { hashes }) => {
            let held = hashes.into_iter().collect();
            (replica.items_not_in(&held).map(to_entry).collect(), None)
        }
        None => {
            let removed = replica.removed_after(position_held);
            let removed = removed.map(|hashes| Hashes { hashes: hashes.collect() });
            (replica.items_written_after(position_held).map(to_entry).collect(), removed)
        }
    };
    let mut entries: HashMap<String, Entry> = entries;
    let mut deflated = Bytes::new();
    let size: usize = entries.values().map(|entry| entry.value.len()).sum();
    if query.accepts_deflated && size >= MIN_DEFLATED_BYTES {
        deflated = deflate(std::mem::take(&mut entries)).unwrap_or_default();
    }
    let keys = if removed.is_some() { Vec::new() } else { replica.key_hashes().collect() };
    let version = replica.version();
    let known_version = lock(&shared.freshness).version();
    // This box may know a newer position than its replica has: other boxes may have reported that
    // nothing changed since.
    let same_digest = known_version.digest == version.digest;
    let position =
        if same_digest { version.position.max(known_version.position) } else { version.position };
    let recovered_ago = *lock(&shared.store_recovered_at);
    let recovered_ago = recovered_ago.map(clock::since).filter(|ago| *ago < ROLLBACK_GRACE);
    let returned_ms = recovered_ago.map(|ago| ago.as_millis() as u64);
    // Other boxes get the verdicts by datagram and from the store.
    let verdicts = if requester_is_empty {
        lock(&shared.quarantine).active_verdicts(clock::now())
    } else {
        Vec::new()
    };
    StateReply {
        era: position.era,
        revision: position.revision,
        digest: version.digest,
        age_ms,
        returned_ms,
        entries,
        keys,
        removed,
        verdicts,
        deflated,
        configuration,
        ..StateReply::default()
    }
}

/// The configuration in force, if the store has another value or none under its key.
fn lost_configuration<A: Adapter>(shared: &Shared<A>) -> Option<KeyedEntry> {
    let KeyValue { key, value, revision } = lock(&shared.configuration).clone()?;
    let is_stored = lock(&shared.replica).get(&key) == Some(&value);
    (!is_stored).then(|| KeyedEntry { key, entry: Entry { value, revision } })
}

/// The requesting box, if it identifies itself.
fn read_requester<A>(shared: &Shared<A>, headers: &HeaderMap) -> Option<Neighbor> {
    let text = |name: &HeaderName| headers.get(name)?.to_str().ok();
    let handover_port = text(&REQUESTER_HANDOVER).and_then(|port| port.parse().ok());
    Some(Neighbor {
        box_hash: u64::from_str_radix(text(&REQUESTER_HASH)?, 16).ok()?,
        region: text(&REQUESTER_REGION)?.to_owned(),
        address: text(&REQUESTER_ADDRESS)?.parse().ok()?,
        handover_port: sender_checks::known_port(shared, handover_port.unwrap_or_default()),
    })
}

/// Requests the full state from boxes in random order until one of them has any. The next box is
/// queried when one has not responded for a while or has no state. The queries make `requester`
/// known to the boxes.
pub async fn fetch_from_any(
    client: &backend::Client,
    seeds: &[SocketAddr],
    requester: &Neighbor,
) -> Option<FetchedState> {
    let mut seeds = seeds.to_vec();
    seeds.shuffle(&mut rand::rng());
    let mut seeds = seeds.into_iter();
    let mut pending = JoinSet::new();
    loop {
        if let Some(seed) = seeds.next() {
            let (client, requester) = (client.clone(), requester.clone());
            pending.spawn(async move {
                fetch_from(&client, seed, &StateScope::All, Some(&requester)).await
            });
        }
        match timer::timeout(NEXT_SEED_DELAY, pending.join_next()).await {
            Ok(Some(Ok(Some(state)))) => return Some(state),
            Ok(Some(Err(error))) => log::error!("event=question_failed error=\"{error}\""),
            Ok(None) => return None,
            Ok(Some(Ok(None))) | Err(_) => {}
        }
    }
}

/// Requests from one box the entries that this one lacks. Returns `None` if that box has no state
/// or doesn't respond.
pub async fn fetch_from(
    client: &backend::Client,
    address: SocketAddr,
    scope: &StateScope,
    requester: Option<&Neighbor>,
) -> Option<FetchedState> {
    let error = match timer::timeout(PEER_TIMEOUT, request_state(client, address, scope, requester))
        .await
    {
        Ok(Ok(state)) => return state,
        Ok(Err(error)) => error,
        Err(_) => "no answer in time".to_owned(),
    };
    log::info!("event=state_not_told by={address} error=\"{error}\"");
    None
}

async fn request_state(
    client: &backend::Client,
    address: SocketAddr,
    scope: &StateScope,
    requester: Option<&Neighbor>,
) -> Result<Option<FetchedState>, String> {
    let asked_at = clock::now();
    let reply = query_state(client, address, &scope.to_query(), requester).await?;
    fetched_state(address, reply, asked_at)
}

async fn query_state(
    client: &backend::Client,
    address: SocketAddr,
    query: &StateQuery,
    requester: Option<&Neighbor>,
) -> Result<StateReply, String> {
    let mut request = Request::post(STATE_PATH).header(http::header::HOST, address.to_string());
    if let Some(requester) = requester {
        request = request
            .header(REQUESTER_HASH, format!("{:x}", requester.box_hash))
            .header(REQUESTER_REGION, &requester.region)
            .header(REQUESTER_ADDRESS, requester.address.to_string())
            .header(REQUESTER_HANDOVER, requester.handover_port);
    }
    let body = Bytes::from(query.encode_to_vec());
    let request = request.body(Full::from(body)).map_err(|error| error.to_string())?;
    let response = client.fetch(address, request).await.map_err(|error| error.to_string())?;
    StateReply::decode(response.into_body()).map_err(|error| error.to_string())
}

fn to_item((key, entry): (String, Entry)) -> KeyValue {
    KeyValue { key, value: entry.value, revision: entry.revision }
}

/// The state in a reply; `None` if the box that sent it has none.
fn fetched_state(
    source: SocketAddr,
    reply: StateReply,
    asked_at: Instant,
) -> Result<Option<FetchedState>, String> {
    let Some(age_ms) = reply.age_ms else { return Ok(None) };
    let mut written: Vec<KeyValue> = reply.entries.into_iter().map(to_item).collect();
    if !reply.deflated.is_empty() {
        written.extend(inflate(&reply.deflated)?);
    }
    let removed_keys = match reply.removed {
        Some(removed) => RemovedKeys::Listed(removed.hashes.into_iter().collect()),
        None => RemovedKeys::AllExcept(reply.keys.into_iter().collect()),
    };
    let position = Position { era: reply.era, revision: reply.revision };
    Ok(Some(FetchedState {
        source,
        version: Version { position, digest: reply.digest },
        recovered_ago: reply.returned_ms.map(Duration::from_millis),
        confirmed_at: asked_at.checked_sub(Duration::from_millis(age_ms)),
        written,
        removed_keys,
        verdicts: reply.verdicts,
        configuration: reply.configuration.map(|item| to_item((item.key, item.entry))),
    }))
}
