//! Makes sure that a forwarded request is never handled by an older configuration, or by older
//! evacuations, than those of the forwarding box.
//!
//! The forwarding box sends the version of its configuration, and the position of the last change
//! of configuration, evacuations or upgrades. A box that lacks them fetches the state from the
//! forwarding box. A box whose configuration is newer uses its own, and names it in the response, so
//! that the forwarding box fetches it.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use tokio::sync::Notify;

use super::shared::Shared;
use super::shared::Snapshot;
use super::shared::lock;
use super::with_port;
use crate::coordination::forwarded_version::KnownState;
use crate::coordination::forwarded_version::StateWaits;
use crate::coordination::presence;
use crate::coordination::stream_versions::ServiceHash;
use crate::error::ErrorKind;
use crate::error::Failure;
use crate::protocol::Version;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::Position;
use crate::state::clock;
use crate::transport::timer;

/// Marks a request that another box has forwarded. It is not forwarded again. The value is that of
/// a [`Forward`].
pub const FORWARDED_HEADER: HeaderName = HeaderName::from_static("copperweir-passed-on");
/// Version of the configuration that the forwarding box routed the request by. In the response to
/// another box, the version of the box that responds, and where its state can be queried.
pub const VERSION_HEADER: HeaderName = HeaderName::from_static("copperweir-version");
/// Placeholder for the version of a stream in [`FORWARDED_HEADER`].
const NO_STREAM_VERSION: &str = "-";

/// Waits for newer states and queries for them.
#[derive(Debug, Default)]
pub struct ForwardedVersions {
    waits: Mutex<StateWaits>,
    /// Number of requests that wait.
    waiting: AtomicUsize,
    /// A box to query for its state at once.
    source: Mutex<Option<SocketAddr>>,
    /// Notified when a snapshot has been published.
    published: Notify,
}

impl ForwardedVersions {
    /// Whether requests wait for the next snapshot.
    pub fn is_awaited(&self) -> bool {
        self.waiting.load(Ordering::Acquire) > 0
    }

    /// Wakes the requests that wait, after a snapshot was published.
    pub fn notify_published(&self) {
        self.published.notify_waiters();
    }

    /// The box to query for its state now, if there is one.
    pub fn take_source(&self) -> Option<SocketAddr> {
        lock(&self.source).take()
    }
}

/// Counts a request as waiting until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Waiting<'a> {
        count.fetch_add(1, Ordering::AcqRel);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A box that can be queried for its state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Source {
    /// Hash of its name.
    box_hash: u64,
    /// Port at which it hands its state over.
    port: u16,
}

impl Source {
    fn parse(mut words: impl Iterator<Item = impl AsRef<str>>) -> Option<Source> {
        let box_hash = u64::from_str_radix(words.next()?.as_ref(), 16).ok()?;
        Some(Source { box_hash, port: words.next()?.as_ref().parse().ok()? })
    }

    fn own<A>(shared: &Shared<A>) -> Source {
        let settings = &shared.settings;
        Source {
            box_hash: presence::box_hash(&settings.name),
            port: settings.listen.handover.port(),
        }
    }

    /// The address of the box, if the store lists it.
    fn address(self, snapshot: &Snapshot) -> Option<SocketAddr> {
        let mut boxes = snapshot.boxes.iter().chain(&snapshot.expired_boxes);
        let record = boxes.find(|other| presence::box_hash(&other.name) == self.box_hash)?;
        Some(with_port(record.peers, self.port))
    }
}

/// What a box that forwards a request expects of the other one: `1` from boxes of old builds, or
/// `2 STREAM-VERSION ERA/REVISION BOX PORT SERVICE`, of which all but the first word may be missing.
/// Boxes of older builds ignore further fields.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Forward {
    /// Whether the response may have [`super::job::SERVER_VERSION_HEADER`].
    pub understands_versions: bool,
    /// The only version at which a stream may continue.
    pub version: Option<VersionHash>,
    /// Position of the last change of what the forwarding box decided by.
    position: Position,
    /// The forwarding box.
    source: Option<Source>,
    /// The service that the forwarding box chose.
    pub service: Option<ServiceHash>,
}

impl Forward {
    /// Reads the header of a forwarded request.
    pub fn parse(headers: &HeaderMap) -> Forward {
        let mut words = text(headers, &FORWARDED_HEADER).unwrap_or_default().split(' ');
        Forward {
            understands_versions: words.next() == Some("2"),
            version: words.next().and_then(|hash| VersionHash::from_str_radix(hash, 16).ok()),
            position: words.next().and_then(parse_position).unwrap_or_default(),
            source: Source::parse(&mut words),
            service: words.next().and_then(|hash| ServiceHash::from_str_radix(hash, 16).ok()),
        }
    }

    /// The header for a request that this box forwards.
    pub fn value<A>(
        shared: &Shared<A>,
        version: Option<VersionHash>,
        service: ServiceHash,
    ) -> HeaderValue {
        let version = version.map_or(NO_STREAM_VERSION.to_owned(), |hash| format!("{hash:x}"));
        let position = shared.snapshot.load().decided_at;
        let Source { box_hash, port } = Source::own(shared);
        HeaderValue::try_from(format!("2 {version} {position} {box_hash:x} {port} {service:x}"))
            .expect("digits, letters and spaces")
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_position(text: &str) -> Option<Position> {
    let (era, revision) = text.split_once('/')?;
    Some(Position { era: era.parse().ok()?, revision: revision.parse().ok()? })
}

/// Version of the configuration in a header; `None` if there is none.
pub fn configuration_version(headers: &HeaderMap) -> Option<Version> {
    text(headers, &VERSION_HEADER)?.split(' ').next()?.parse().ok()
}

/// The state that this box decides by.
fn known_state<A>(shared: &Shared<A>) -> KnownState {
    let snapshot = shared.snapshot.load();
    let configuration = snapshot.routing.as_ref().map_or(0, |routing| routing.version);
    let newest = lock(&shared.freshness).version();
    // The state may have been confirmed for a later position since the snapshot was published.
    let is_same_state = newest.digest == snapshot.state.digest;
    let confirmed = if is_same_state { newest.position } else { Position::default() };
    KnownState { configuration, position: snapshot.state.position.max(confirmed) }
}

/// Waits until this box knows what a forwarded request was routed by. Fails with "not run" if it
/// doesn't learn it in time.
pub async fn await_state<A: Adapter>(
    shared: &Shared<A>,
    headers: &HeaderMap,
    forward: &Forward,
    time_left: Duration,
) -> Result<(), Failure> {
    let configuration = configuration_version(headers).unwrap_or_default();
    let needed = KnownState { configuration, position: forward.position };
    if known_state(shared).covers(&needed) {
        return Ok(());
    }
    let versions = &shared.forwarded_versions;
    let now = clock::now();
    let wait = lock(&versions.waits).wait(&needed, time_left, now);
    let _waiting = Waiting::new(&versions.waiting);
    query(shared, forward.source);
    let until = now + wait;
    while clock::now() < until {
        let published = versions.published.notified();
        tokio::pin!(published);
        published.as_mut().enable();
        if known_state(shared).covers(&needed) {
            return Ok(());
        }
        // The time-out is checked by the loop.
        let _ = timer::timeout_at(until, published).await;
    }
    let known = known_state(shared);
    if known.covers(&needed) {
        return Ok(());
    }
    if !wait.is_zero() {
        lock(&versions.waits).record_failure(needed, clock::now());
    }
    log::info!(
        "event=forward_ahead version={configuration} known_version={} position={} known_position={} \
         waited_ms={}",
        known.configuration,
        needed.position,
        known.position,
        wait.as_millis()
    );
    let message = "this box does not know the state that the request was forwarded by";
    Err(Failure::new(ErrorKind::Behind, message))
}

/// Has the control thread query a box for its state, or the box that is known to have a newer one.
fn query<A>(shared: &Shared<A>, source: Option<Source>) {
    let versions = &shared.forwarded_versions;
    if !lock(&versions.waits).take_query(clock::now()) {
        return;
    }
    let known = source.and_then(|source| source.address(&shared.snapshot.load()));
    let address = known.or_else(|| lock(&shared.freshness).newer_peer_address());
    if let Some(address) = address {
        *lock(&versions.source) = Some(address);
        shared.peer_ahead.notify_one();
    }
}

/// Adds the version of this box's configuration to the response to another box. It isn't sent to
/// callers.
pub fn add_version<A>(shared: &Shared<A>, headers: &mut HeaderMap) {
    let snapshot = shared.snapshot.load();
    let Some(routing) = &snapshot.routing else { return };
    let Source { box_hash, port } = Source::own(shared);
    let value = HeaderValue::try_from(format!("{} {box_hash:x} {port}", routing.version));
    headers.insert(VERSION_HEADER, value.expect("digits, letters and spaces"));
}

/// Fetches the state of the box that responded to a forwarded request, if its configuration is newer
/// than that of this box. Otherwise this box would handle requests by the older one after its
/// callers have seen the effect of the newer one.
pub fn note_response<A>(shared: &Shared<A>, headers: &HeaderMap) {
    let Some(version) = configuration_version(headers) else { return };
    let known = known_state(shared).configuration;
    if version > known {
        let words = text(headers, &VERSION_HEADER).unwrap_or_default().split(' ');
        query(shared, Source::parse(words.skip(1)));
    }
}
