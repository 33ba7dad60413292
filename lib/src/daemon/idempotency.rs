//! Requests with an idempotency key: each is executed at most once, and its
//! response is replayed.
//!
//! A ticket is checked against the ledger of the box that issued it. A key
//! chosen by the caller is first claimed in the platform's store. The value of
//! a claim is a ticket of the claiming box, so both kinds of key use the same
//! ledger. Each execution is a separate task: it continues if its caller disconnects,
//! and the caller gets the response on the next request with the same key.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http_body_util::BodyExt;
use rapidhash::v3::rapidhash_v3;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use super::dispatch;
use super::dispatch::RelayedResponse;
use super::forward;
use super::relay::Relay;
use super::request::Purpose;
use super::request::ValidatedRequest;
use super::shared::SharedState;
use super::shared::lock;
use crate::coordination::ledger::Admission;
use crate::coordination::ledger::Conclusion;
use crate::coordination::ledger::KeptResponse;
use crate::coordination::ledger::Key;
use crate::coordination::ledger::Ledger;
use crate::coordination::ledger::LedgerLimits;
use crate::coordination::ticket::Ticket;
use crate::error::ErrorKind;
use crate::error::Executed;
use crate::error::Failure;
use crate::protocol::RegionId;
use crate::protocol::bounds::MAX_KEPT_RESPONSE_BYTES;
use crate::protocol::bounds::MAX_UNCLAIMED_RESPONSE_BYTES;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Put;
use crate::protocol::platform::Store;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::body::Chunk;
use crate::transport::body::ResponseBody;
use crate::transport::timer;

/// Limits of the ledger of keyed requests.
pub const LEDGER_LIMITS: LedgerLimits =
    LedgerLimits { max_entries: 100_000, max_response_bytes: 64 << 20 };
/// Time to live of a claim in the store.
pub const CLAIM_TTL: Duration = Duration::from_secs(3600);
/// Time before the expiry of a claim from which its request may no longer be
/// sent.
const CLAIM_SAFETY_MARGIN: Duration = Duration::from_secs(60);
/// Number of response parts that are buffered for a slow caller.
const RESPONSE_CHANNEL_CAPACITY: usize = 16;

/// The keyed requests of one box.
pub struct KeyedRequests {
    inner: Mutex<Inner>,
}

struct Inner {
    ledger: Ledger,
    waiters: HashMap<Key, Vec<oneshot::Sender<()>>>,
}

impl Default for KeyedRequests {
    fn default() -> KeyedRequests {
        let inner = Inner { ledger: Ledger::new(LEDGER_LIMITS), waiters: HashMap::new() };
        KeyedRequests { inner: Mutex::new(inner) }
    }
}

impl KeyedRequests {
    /// Number of keys, and bytes of kept responses.
    pub fn size(&self) -> (usize, usize) {
        let inner = lock(&self.inner);
        (inner.ledger.len(), inner.ledger.bytes())
    }

    /// Removes entries whose keys can no longer be presented.
    pub fn expire(&self, now: Instant) {
        lock(&self.inner).ledger.expire(now);
    }

    fn contains_key(&self, key: &Key) -> bool {
        lock(&self.inner).ledger.contains(key)
    }

    /// Looks up a key in the ledger and reserves it if it is new. If an earlier
    /// request with the key is still running, also returns a receiver that
    /// completes when that request ends.
    fn begin(
        &self,
        key: &Key,
        request: &ValidatedRequest,
        expires_at: Instant,
    ) -> (Admission, Option<oneshot::Receiver<()>>) {
        let inner = &mut *lock(&self.inner);
        let admission = inner.ledger.begin(key, request.fingerprint(), expires_at, clock::now());
        let waiter = matches!(admission, Admission::Wait).then(|| {
            let (sender, receiver) = oneshot::channel();
            inner.waiters.entry(key.clone()).or_default().push(sender);
            receiver
        });
        (admission, waiter)
    }

    fn conclude(&self, key: &Key, conclusion: Conclusion) {
        let mut inner = lock(&self.inner);
        inner.ledger.conclude(key, conclusion);
        // Dropping the senders wakes the waiting requests.
        inner.waiters.remove(key);
    }
}

/// A response to a request, relayed or replayed.
pub struct GatewayResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers for the caller.
    pub headers: HeaderMap,
    /// Region that executed the request.
    pub region: RegionId,
    /// Response body.
    pub body: ResponseBody<Relay>,
}

impl From<RelayedResponse> for GatewayResponse {
    fn from(response: RelayedResponse) -> GatewayResponse {
        GatewayResponse {
            status: response.status,
            headers: response.headers,
            region: response.region,
            body: ResponseBody::Relay(response.relay),
        }
    }
}

/// Which box may execute a keyed request.
enum KeyOwner {
    /// This box. The key cannot be presented after `expires_at`.
    Local { expires_at: Instant, needs_claim: bool },
    /// The incarnation that issued the ticket.
    Remote(Ticket),
}

/// Runs a keyed request, or replays its response.
pub async fn run(
    shared: &Arc<SharedState>,
    request: ValidatedRequest,
    key: String,
) -> Result<GatewayResponse, Failure> {
    let ledger_key = Key { team: request.incoming.team.clone(), text: key };
    let (expires_at, needs_claim) = match key_owner(shared, &request, &ledger_key)? {
        KeyOwner::Remote(ticket) => return forward_to_owner(shared, &request, &ticket).await,
        KeyOwner::Local { expires_at, needs_claim } => (expires_at, needs_claim),
    };
    loop {
        let (admission, waiter) = shared.keyed_requests.begin(&ledger_key, &request, expires_at);
        match (admission, waiter) {
            (Admission::Run, _) => {
                return spawn_run(shared, request, ledger_key, needs_claim).await;
            }
            (Admission::Wait, Some(waiter)) => {
                let wait_result = timer::timeout_at(request.deadline, waiter).await;
                wait_result.map_err(|_| still_running_failure())?.ok();
            }
            (admission, _) => return response_from_admission(shared, admission),
        }
    }
}

fn still_running_failure() -> Failure {
    let message = "a request with this key is still running";
    Failure::new(ErrorKind::BackendTimeout, message).with_executed(Executed::Unknown)
}

/// Returns the response to a request that is not executed: the replayed
/// response, or why there is none.
fn response_from_admission(
    shared: &SharedState,
    admission: Admission,
) -> Result<GatewayResponse, Failure> {
    match admission {
        Admission::Replay(kept) => {
            shared.counters.increment(Counter::Replayed);
            Ok(replay(shared, kept))
        }
        Admission::ResponseDropped => {
            let message = "the request ran; its answer is no longer kept";
            Err(Failure::new(ErrorKind::AlreadyRan, message))
        }
        Admission::KeyReused => {
            let message = "the key was used before with another request";
            Err(Failure::new(ErrorKind::KeyReused, message))
        }
        Admission::Full => {
            let message = "the box remembers as many keys as it can";
            Err(Failure::new(ErrorKind::LedgerFull, message))
        }
        Admission::Unknown | Admission::Run | Admission::Wait => {
            let message = "an earlier request with this key may have run";
            Err(Failure::new(ErrorKind::BackendFailed, message).with_executed(Executed::Unknown))
        }
    }
}

fn replay(shared: &SharedState, kept: KeptResponse) -> GatewayResponse {
    let parsed_headers = kept.headers.iter().map(|(name, value)| (name.parse(), value));
    let mut header_map = HeaderMap::new();
    for (name, value) in parsed_headers {
        if let (Ok(name), Ok(value)) = (name, http::HeaderValue::from_bytes(value)) {
            header_map.append::<http::HeaderName>(name, value);
        }
    }
    GatewayResponse {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        headers: header_map,
        region: shared.settings.region.clone(),
        body: ResponseBody::buffered(kept.body),
    }
}

/// Determines which box may execute a keyed request.
fn key_owner(
    shared: &SharedState,
    request: &ValidatedRequest,
    key: &Key,
) -> Result<KeyOwner, Failure> {
    let limits = &request.snapshot.configuration.limits;
    let now = clock::now();
    let ticket = Ticket::parse(&key.text)
        .map_err(|error| Failure::new(ErrorKind::BadRequest, error.to_string()))?;
    let Some(ticket) = ticket else {
        let expires_at = now + CLAIM_TTL + limits.max_timeout + CLAIM_SAFETY_MARGIN;
        return Ok(KeyOwner::Local { expires_at, needs_claim: true });
    };
    if ticket.owner != shared.settings.name || ticket.incarnation != shared.incarnation {
        return Ok(KeyOwner::Remote(ticket));
    }
    let Some(age) = shared.uptime(now).checked_sub(ticket.issued) else {
        return Err(Failure::new(ErrorKind::BadRequest, "the ticket was not handed out yet"));
    };
    if age > limits.ticket_ttl && !shared.keyed_requests.contains_key(key) {
        let message = "the life of the ticket is over; whether it was used is no longer known";
        return Err(Failure::new(ErrorKind::TicketExpired, message));
    }
    let ticket_expires_at = shared.started_at + ticket.issued + limits.ticket_ttl;
    Ok(KeyOwner::Local {
        expires_at: ticket_expires_at.max(now) + limits.max_timeout,
        needs_claim: false,
    })
}

async fn forward_to_owner(
    shared: &Arc<SharedState>,
    request: &ValidatedRequest,
    ticket: &Ticket,
) -> Result<GatewayResponse, Failure> {
    let is_own_name = ticket.owner == shared.settings.name;
    if is_own_name || request.incoming.purpose != Purpose::Caller {
        let message = "the box that owned the key is gone; the request may have run";
        return Err(Failure::new(ErrorKind::OwnerGone, message));
    }
    forward::to_owner(shared, request, &ticket.owner, ticket.incarnation)
        .await
        .map(GatewayResponse::from)
}

/// Guard that concludes the key when dropped, however the execution ends.
struct RunGuard {
    shared: Arc<SharedState>,
    key: Key,
    conclusion: Conclusion,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let conclusion = std::mem::replace(&mut self.conclusion, Conclusion::Unknown);
        self.shared.keyed_requests.conclude(&self.key, conclusion);
    }
}

async fn spawn_run(
    shared: &Arc<SharedState>,
    request: ValidatedRequest,
    key: Key,
    needs_claim: bool,
) -> Result<GatewayResponse, Failure> {
    let (head_sender, head_receiver) = oneshot::channel();
    let run_guard = RunGuard { shared: Arc::clone(shared), key, conclusion: Conclusion::Unknown };
    tokio::spawn(execute_run(run_guard, request, needs_claim, head_sender));
    head_receiver.await.unwrap_or_else(|_| {
        Err(Failure::new(ErrorKind::Internal, "the run was lost").with_executed(Executed::Unknown))
    })
}

async fn execute_run(
    mut run_guard: RunGuard,
    mut request: ValidatedRequest,
    needs_claim: bool,
    head_sender: oneshot::Sender<Result<GatewayResponse, Failure>>,
) {
    let shared = Arc::clone(&run_guard.shared);
    let result = match needs_claim {
        false => dispatch::run(&shared, &request).await.map(GatewayResponse::from),
        true => claim_and_run(&shared, &mut request, &run_guard.key).await,
    };
    let mut response = match result {
        Ok(response) => response,
        Err(failure) => {
            let not_run_here = needs_claim && request.send_deadline.is_none();
            run_guard.conclusion = match failure.executed() {
                // The box that owns the key records whether the request was
                // executed.
                _ if not_run_here => Conclusion::NotRun,
                Executed::No => Conclusion::NotRun,
                Executed::Unknown => Conclusion::Unknown,
                Executed::Yes => Conclusion::Answered(None),
            };
            drop(run_guard);
            let _ = head_sender.send(Err(failure));
            return;
        }
    };
    let (part_sender, part_receiver) = mpsc::channel(RESPONSE_CHANNEL_CAPACITY);
    let body = std::mem::replace(&mut response.body, ResponseBody::Channel(part_receiver));
    let (status, headers) = (response.status, response.headers.clone());
    let _ = head_sender.send(Ok(response));
    if let Some(body) = relay_body(body, &part_sender).await {
        run_guard.conclusion = Conclusion::Answered(kept_response(status, &headers, body));
    }
    drop(run_guard);
    let _ = part_sender.send(None).await;
}

/// Relays all parts of a body, even if the receiver is gone, but then only up
/// to a maximum. Returns the complete body, `None` if the body was truncated,
/// or `Some(None)` if it is too large to keep.
async fn relay_body(
    mut body: ResponseBody<Relay>,
    part_sender: &mpsc::Sender<Option<Chunk>>,
) -> Option<Option<Bytes>> {
    let mut kept_bytes = Some(BytesMut::new());
    let mut unclaimed_bytes = 0;
    while let Some(frame) = body.frame().await {
        let data = match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(error) => {
                let _ = part_sender.send(Some(Err(error))).await;
                return None;
            }
        };
        if let Some(bytes) = &mut kept_bytes {
            bytes.extend_from_slice(&data);
        }
        kept_bytes = kept_bytes.filter(|bytes| bytes.len() <= MAX_KEPT_RESPONSE_BYTES);
        let len = data.len();
        if part_sender.send(Some(Ok(data))).await.is_err() {
            unclaimed_bytes += len;
            if unclaimed_bytes > MAX_UNCLAIMED_RESPONSE_BYTES {
                log::info!("event=response_unclaimed bytes={unclaimed_bytes}");
                return Some(None);
            }
        }
    }
    Some(kept_bytes.map(BytesMut::freeze))
}

fn kept_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: Option<Bytes>,
) -> Option<KeptResponse> {
    let headers = headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())));
    Some(KeptResponse { status: status.as_u16(), headers: headers.collect(), body: body? })
}

/// Stored value of a claimed key.
#[derive(Debug, Deserialize, Serialize)]
struct Claim {
    /// Ticket of the claiming box.
    ticket: String,
}

/// Claims a caller's key in the store, then executes the request. If another
/// box has claimed the key, forwards the request to that box.
async fn claim_and_run(
    shared: &Arc<SharedState>,
    request: &mut ValidatedRequest,
    key: &Key,
) -> Result<GatewayResponse, Failure> {
    let now = clock::now();
    let own_ticket = Ticket {
        owner: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        issued: Duration::from_millis(shared.uptime(now).as_millis() as u64),
        nonce: shared.next_request_number(),
    };
    let claimant = claim_key(shared, key, &own_ticket).await?;
    if claimant.owner != own_ticket.owner || claimant.incarnation != own_ticket.incarnation {
        return forward_to_owner(shared, request, &claimant).await;
    }
    // This incarnation holds the claim, from this request or an earlier one. If
    // an earlier request had been executed, the ledger would contain its key.
    let claimed_at = shared.started_at + claimant.issued;
    request.send_deadline = Some(claimed_at + CLAIM_TTL - CLAIM_SAFETY_MARGIN);
    dispatch::run(shared, request).await.map(GatewayResponse::from)
}

/// Claims a key in the store. Returns the ticket in the claim, which is that of
/// another request if the key was claimed before.
async fn claim_key(
    shared: &SharedState,
    key: &Key,
    own_ticket: &Ticket,
) -> Result<Ticket, Failure> {
    let path = claim_path(key);
    let value = serde_json::json!(Claim { ticket: own_ticket.to_string() }).to_string();
    let life_ms = u64::try_from(CLAIM_TTL.as_millis()).ok();
    shared.counters.increment(Counter::Claims);
    let put = Put { value, expect: 0, lease: None, life_ms };
    match shared.platform.put(&path, put).await {
        Ok(_) => Ok(own_ticket.clone()),
        // Either another claim exists, or this claim was stored and the response was
        // lost: read the claim to find out.
        Err(PlatformError::Conflict(_) | PlatformError::NoResponse(_)) => {
            read_claim(shared, &path).await
        }
        Err(error) => Err(claim_failure(&error.to_string())),
    }
}

async fn read_claim(shared: &SharedState, path: &str) -> Result<Ticket, Failure> {
    let entry =
        shared.platform.get(path).await.map_err(|error| claim_failure(&error.to_string()))?;
    let entry = entry.ok_or_else(|| claim_failure("the claim is not there"))?;
    let claim: Claim =
        serde_json::from_str(&entry.value).map_err(|error| claim_failure(&error.to_string()))?;
    match Ticket::parse(&claim.ticket) {
        Ok(Some(ticket)) => Ok(ticket),
        _ => Err(claim_failure("the claim cannot be read")),
    }
}

fn claim_failure(reason: &str) -> Failure {
    let message = format!(
        "the key cannot be claimed ({reason}); use a ticket of GET /v1/boxes, which needs no claim"
    );
    Failure::new(ErrorKind::StoreUnavailable, message)
}

fn claim_path(key: &Key) -> String {
    let team = rapidhash_v3(key.team.as_bytes());
    let hex: String = key.text.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("claims/{team:016x}/{hex}")
}
