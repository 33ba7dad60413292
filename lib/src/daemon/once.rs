//! Keyed requests: each runs at most once, and its answer is given again.
//!
//! A ticket is checked against this box's own memory. A key of the caller's
//! own is first claimed in the platform's store; the claim's value is a ticket
//! of the box that claims, so both kinds meet the same memory. The run itself
//! is a task of its own: a caller that goes away does not end it, and finds the
//! answer when it asks again.

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

use super::call::Call;
use super::call::Purpose;
use super::dispatch;
use super::dispatch::Started;
use super::forward;
use super::relay::Relay;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::ledger::Admission;
use crate::coordination::ledger::Answer as Kept;
use crate::coordination::ledger::Conclusion;
use crate::coordination::ledger::Key;
use crate::coordination::ledger::Ledger;
use crate::coordination::ledger::LedgerLimits;
use crate::coordination::ticket::Ticket;
use crate::error::Failure;
use crate::error::Kind;
use crate::error::Ran;
use crate::protocol::RegionId;
use crate::protocol::platform::PlatformError;
use crate::protocol::platform::Put;
use crate::protocol::platform::Store;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::transport::body::Answer;
use crate::transport::body::Part;
use crate::transport::timer;

/// Bounds of the memory.
pub const LEDGER_LIMITS: LedgerLimits =
    LedgerLimits { max_entries: 100_000, max_answer_bytes: 64 << 20 };
/// Largest answer that is kept.
const MAX_KEPT: usize = 256 << 10;
/// Life of a claim in the store.
pub const CLAIM_LIFE: Duration = Duration::from_secs(3600);
/// Time before the end of a claim at which its request may no longer be sent.
const CLAIM_MARGIN: Duration = Duration::from_secs(60);
/// Parts of an answer that wait for a slow caller.
const PARTS: usize = 16;

/// The keyed requests of one box.
pub struct Memory {
    inner: Mutex<Inner>,
}

struct Inner {
    ledger: Ledger,
    waiting: HashMap<Key, Vec<oneshot::Sender<()>>>,
}

impl Default for Memory {
    fn default() -> Memory {
        let inner = Inner { ledger: Ledger::new(LEDGER_LIMITS), waiting: HashMap::new() };
        Memory { inner: Mutex::new(inner) }
    }
}

impl Memory {
    /// Keys and bytes held.
    pub fn size(&self) -> (usize, usize) {
        let inner = lock(&self.inner);
        (inner.ledger.len(), inner.ledger.bytes())
    }

    /// Forgets what can no longer be presented.
    pub fn expire(&self, now: Instant) {
        lock(&self.inner).ledger.expire(now);
    }

    fn knows(&self, key: &Key) -> bool {
        lock(&self.inner).ledger.contains(key)
    }

    fn begin(
        &self,
        key: &Key,
        call: &Call,
        keep_until: Instant,
    ) -> (Admission, Option<oneshot::Receiver<()>>) {
        let inner = &mut *lock(&self.inner);
        let admission = inner.ledger.begin(key, call.fingerprint(), keep_until, clock::now());
        let waiter = matches!(admission, Admission::Wait).then(|| {
            let (sender, receiver) = oneshot::channel();
            inner.waiting.entry(key.clone()).or_default().push(sender);
            receiver
        });
        (admission, waiter)
    }

    fn conclude(&self, key: &Key, conclusion: Conclusion) {
        let mut inner = lock(&self.inner);
        inner.ledger.conclude(key, conclusion);
        // Dropping the senders wakes those that wait.
        inner.waiting.remove(key);
    }
}

/// The head of an answer whose body follows.
pub struct Replied {
    /// Status.
    pub status: StatusCode,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Region that ran it.
    pub region: RegionId,
    /// Body.
    pub body: Answer<Relay>,
}

impl From<Started> for Replied {
    fn from(started: Started) -> Replied {
        Replied {
            status: started.status,
            headers: started.headers,
            region: started.region,
            body: Answer::Relay(started.relay),
        }
    }
}

/// Who may run a keyed request.
enum Owner {
    /// This box; nobody can present the key after `keep_until`.
    Here { keep_until: Instant, claim: bool },
    /// Another one.
    There(Ticket),
}

/// Runs a keyed request, or gives its answer again.
pub async fn run(shared: &Arc<Shared>, call: Call, key: String) -> Result<Replied, Failure> {
    let ledger_key = Key { team: call.incoming.team.clone(), text: key };
    let (keep_until, claim) = match owner(shared, &call, &ledger_key)? {
        Owner::There(ticket) => return at_owner(shared, &call, &ticket).await,
        Owner::Here { keep_until, claim } => (keep_until, claim),
    };
    loop {
        let (admission, waiter) = shared.once.begin(&ledger_key, &call, keep_until);
        match (admission, waiter) {
            (Admission::Run, _) => return start(shared, call, ledger_key, claim).await,
            (Admission::Wait, Some(waiter)) => {
                let ended = timer::timeout_at(call.deadline, waiter).await;
                ended.map_err(|_| still_running())?.ok();
            }
            (admission, _) => return settled(shared, admission),
        }
    }
}

fn still_running() -> Failure {
    let message = "a request with this key is still running";
    Failure::new(Kind::BackendTimeout, message).with_ran(Ran::Unknown)
}

fn settled(shared: &Shared, admission: Admission) -> Result<Replied, Failure> {
    match admission {
        Admission::Replay(kept) => {
            shared.counters.count(Counter::Replayed);
            Ok(replay(shared, kept))
        }
        Admission::AnswerDropped => {
            let message = "the request ran; its answer is no longer kept";
            Err(Failure::new(Kind::AlreadyRan, message))
        }
        Admission::KeyReused => {
            let message = "the key was used before with another request";
            Err(Failure::new(Kind::KeyReused, message))
        }
        Admission::Full => {
            let message = "the box remembers as many keys as it can";
            Err(Failure::new(Kind::LedgerFull, message))
        }
        Admission::Unknown | Admission::Run | Admission::Wait => {
            let message = "an earlier request with this key may have run";
            Err(Failure::new(Kind::BackendFailed, message).with_ran(Ran::Unknown))
        }
    }
}

fn replay(shared: &Shared, kept: Kept) -> Replied {
    let headers = kept.headers.iter().map(|(name, value)| (name.parse(), value));
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (name, http::HeaderValue::from_bytes(value)) {
            map.append::<http::HeaderName>(name, value);
        }
    }
    Replied {
        status: StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK),
        headers: map,
        region: shared.settings.region.clone(),
        body: Answer::whole(kept.body),
    }
}

fn owner(shared: &Shared, call: &Call, key: &Key) -> Result<Owner, Failure> {
    let limits = &call.snapshot.configuration.limits;
    let now = clock::now();
    let ticket = Ticket::parse(&key.text)
        .map_err(|error| Failure::new(Kind::BadRequest, error.to_string()))?;
    let Some(ticket) = ticket else {
        let keep_until = now + CLAIM_LIFE + limits.max_timeout + CLAIM_MARGIN;
        return Ok(Owner::Here { keep_until, claim: true });
    };
    if ticket.owner != shared.settings.name || ticket.incarnation != shared.incarnation {
        return Ok(Owner::There(ticket));
    }
    let Some(age) = shared.uptime(now).checked_sub(ticket.issued) else {
        return Err(Failure::new(Kind::BadRequest, "the ticket was not handed out yet"));
    };
    if age > limits.ticket_life && !shared.once.knows(key) {
        let message = "the life of the ticket is over; whether it was used is no longer known";
        return Err(Failure::new(Kind::TicketExpired, message));
    }
    let expires = shared.started_at + ticket.issued + limits.ticket_life;
    Ok(Owner::Here { keep_until: expires.max(now) + limits.max_timeout, claim: false })
}

async fn at_owner(shared: &Arc<Shared>, call: &Call, ticket: &Ticket) -> Result<Replied, Failure> {
    let own = ticket.owner == shared.settings.name;
    if own || call.incoming.purpose != Purpose::Caller {
        let message = "the box that owned the key is gone; the request may have run";
        return Err(Failure::new(Kind::OwnerGone, message));
    }
    forward::to_owner(shared, call, &ticket.owner, ticket.incarnation).await.map(Replied::from)
}

/// Concludes the key, however the run ends.
struct Run {
    shared: Arc<Shared>,
    key: Key,
    conclusion: Conclusion,
}

impl Drop for Run {
    fn drop(&mut self) {
        let conclusion = std::mem::replace(&mut self.conclusion, Conclusion::Unknown);
        self.shared.once.conclude(&self.key, conclusion);
    }
}

async fn start(
    shared: &Arc<Shared>,
    call: Call,
    key: Key,
    claim: bool,
) -> Result<Replied, Failure> {
    let (sender, receiver) = oneshot::channel();
    let run = Run { shared: Arc::clone(shared), key, conclusion: Conclusion::Unknown };
    tokio::spawn(execute(run, call, claim, sender));
    receiver.await.unwrap_or_else(|_| {
        Err(Failure::new(Kind::Internal, "the run was lost").with_ran(Ran::Unknown))
    })
}

async fn execute(
    mut run: Run,
    mut call: Call,
    claim: bool,
    head: oneshot::Sender<Result<Replied, Failure>>,
) {
    let shared = Arc::clone(&run.shared);
    let result = match claim {
        false => dispatch::run(&shared, &call).await.map(Replied::from),
        true => claimed(&shared, &mut call, &run.key).await,
    };
    let mut replied = match result {
        Ok(replied) => replied,
        Err(failure) => {
            let at_another_owner = claim && call.send_before.is_none();
            run.conclusion = match failure.ran() {
                // What became of it is for its owner to say.
                _ if at_another_owner => Conclusion::NotRun,
                Ran::No => Conclusion::NotRun,
                Ran::Unknown => Conclusion::Unknown,
                Ran::Yes => Conclusion::Answered(None),
            };
            drop(run);
            let _ = head.send(Err(failure));
            return;
        }
    };
    let (sender, receiver) = mpsc::channel(PARTS);
    let body = std::mem::replace(&mut replied.body, Answer::Channel(receiver));
    let (status, headers) = (replied.status, replied.headers.clone());
    let _ = head.send(Ok(replied));
    if let Some(body) = pump(body, &sender).await {
        run.conclusion = Conclusion::Answered(keep(status, &headers, body));
    }
    drop(run);
    let _ = sender.send(None).await;
}

/// Passes all parts on, also when nobody takes them any more. Gives the whole
/// body, or `None` if it was cut. A body too large to keep is given as `Some(None)`.
async fn pump(
    mut body: Answer<Relay>,
    parts: &mpsc::Sender<Option<Part>>,
) -> Option<Option<Bytes>> {
    let mut kept = Some(BytesMut::new());
    while let Some(frame) = body.frame().await {
        let data = match frame.map(http_body::Frame::into_data) {
            Ok(Ok(data)) => data,
            Ok(Err(_)) => continue,
            Err(cut) => {
                let _ = parts.send(Some(Err(cut))).await;
                return None;
            }
        };
        if let Some(bytes) = &mut kept {
            bytes.extend_from_slice(&data);
        }
        kept = kept.filter(|bytes| bytes.len() <= MAX_KEPT);
        let _ = parts.send(Some(Ok(data))).await;
    }
    Some(kept.map(BytesMut::freeze))
}

fn keep(status: StatusCode, headers: &HeaderMap, body: Option<Bytes>) -> Option<Kept> {
    let headers = headers
        .iter()
        .map(|(name, value)| (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes())));
    Some(Kept { status: status.as_u16(), headers: headers.collect(), body: body? })
}

/// What the store holds for a claimed key.
#[derive(Debug, Deserialize, Serialize)]
struct Claim {
    /// The claimant, as a ticket of its own.
    ticket: String,
}

/// Claims a key of the caller's own in the store, then runs the request, or
/// has the box run it that claimed the key before.
async fn claimed(shared: &Arc<Shared>, call: &mut Call, key: &Key) -> Result<Replied, Failure> {
    let now = clock::now();
    let mine = Ticket {
        owner: shared.settings.name.clone(),
        incarnation: shared.incarnation,
        issued: Duration::from_millis(shared.uptime(now).as_millis() as u64),
        nonce: shared.next_request(),
    };
    let holder = claim(shared, key, &mine).await?;
    if holder.owner != mine.owner || holder.incarnation != mine.incarnation {
        return at_owner(shared, call, &holder).await;
    }
    // This incarnation's own claim, now or earlier. Had it run, the ledger would know.
    let claimed_at = shared.started_at + holder.issued;
    call.send_before = Some(claimed_at + CLAIM_LIFE - CLAIM_MARGIN);
    dispatch::run(shared, call).await.map(Replied::from)
}

async fn claim(shared: &Shared, key: &Key, mine: &Ticket) -> Result<Ticket, Failure> {
    let path = claim_path(key);
    let value = serde_json::json!(Claim { ticket: mine.to_string() }).to_string();
    let life_ms = u64::try_from(CLAIM_LIFE.as_millis()).ok();
    shared.counters.count(Counter::Claims);
    let put = Put { value, expect: 0, lease: None, life_ms };
    match shared.platform.put(&path, put).await {
        Ok(_) => Ok(mine.clone()),
        // Another claim stands, or ours took effect and the answer was lost: read who it is.
        Err(PlatformError::Conflict(_) | PlatformError::Lost(_)) => read_claim(shared, &path).await,
        Err(error) => Err(unclaimed(&error.to_string())),
    }
}

async fn read_claim(shared: &Shared, path: &str) -> Result<Ticket, Failure> {
    let entry = shared.platform.get(path).await.map_err(|error| unclaimed(&error.to_string()))?;
    let entry = entry.ok_or_else(|| unclaimed("the claim is not there"))?;
    let claim: Claim =
        serde_json::from_str(&entry.value).map_err(|error| unclaimed(&error.to_string()))?;
    match Ticket::parse(&claim.ticket) {
        Ok(Some(ticket)) => Ok(ticket),
        _ => Err(unclaimed("the claim cannot be read")),
    }
}

fn unclaimed(reason: &str) -> Failure {
    let message = format!(
        "the key cannot be claimed ({reason}); use a ticket of GET /v1/boxes, which needs no claim"
    );
    Failure::new(Kind::StoreUnavailable, message)
}

fn claim_path(key: &Key) -> String {
    let team = rapidhash_v3(key.team.as_bytes());
    let hex: String = key.text.bytes().map(|byte| format!("{byte:02x}")).collect();
    format!("claims/{team:016x}/{hex}")
}
