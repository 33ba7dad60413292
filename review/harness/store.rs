//! A stand-in for the platform's store: keys with revisions, leases and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Request;
use crate::http::Response;
use crate::json::Json;
use crate::json::base64;
use crate::json::quote;

/// Maximum number of items in a page.
const PAGE_ITEMS: usize = 500;
/// The shortest lease, `ttlMinMs`.
const MIN_TTL_MS: u64 = 1000;
/// Time that an answer takes, as on the site.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A change.
struct Event {
    revision: u64,
    key: String,
    text: String,
}

struct Lease {
    ttl: Duration,
    renewed_at: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    /// Whether callers at this address are partitioned from the store.
    is_cut_off: Arc<AtomicBool>,
}

impl Store {
    /// Starts a store. Returns its address, too.
    pub fn start() -> std::io::Result<(Store, SocketAddr)> {
        let state = State { revision: 1, ..State::default() };
        let store = Store {
            state: Arc::new(Mutex::new(state)),
            changed: Arc::default(),
            is_cut_off: Arc::default(),
        };
        let address = store.serve()?;
        let expiry = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiry.expire_leases();
            }
        });
        Ok((store, address))
    }

    /// Serves the same store at another address, whose callers can be partitioned from it.
    pub fn add_address(&self) -> std::io::Result<(Store, SocketAddr)> {
        let store = Store { is_cut_off: Arc::default(), ..self.clone() };
        let address = store.serve()?;
        Ok((store, address))
    }

    /// Sets whether callers at this address are partitioned from the store. What is on its way waits
    /// until the partition heals.
    pub fn cut_off(&self, is_cut_off: bool) {
        let _state = self.state.lock().unwrap();
        self.is_cut_off.store(is_cut_off, Ordering::SeqCst);
        self.changed.notify_all();
    }

    fn wait_while_cut_off(&self) {
        let mut state = self.state.lock().unwrap();
        while self.is_cut_off.load(Ordering::SeqCst) {
            state = self.changed.wait(state).unwrap();
        }
    }

    fn serve(&self) -> std::io::Result<SocketAddr> {
        let store = self.clone();
        http::serve(SocketAddr::from(([127, 0, 0, 1], 0)), move |request| {
            std::thread::sleep(ANSWER_TIME);
            store.wait_while_cut_off();
            let response = store.respond(&request);
            store.wait_while_cut_off();
            Some(response)
        })
    }

    /// Writes a value as the operator or a worker does. The return is the ack.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn expire_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let expired = state.leases.iter().filter(|(_, lease)| now >= lease.renewed_at + lease.ttl);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in &expired {
            state.end_lease(*id);
        }
        if !expired.is_empty() {
            self.changed.notify_all();
        }
    }

    fn respond(&self, request: &Request) -> Response {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let path = request.path().to_owned();
        let id = || path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0u64);
        match (request.method.as_str(), path.as_str()) {
            ("GET", "/v1/kv-key") => self.key(request),
            ("GET", "/v1/kv-range") => self.range(request),
            ("GET", "/v1/kv-watch") => self.watch(request),
            ("POST", "/v1/kv-txn") => self.transact(&body),
            ("POST", "/v1/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl_ms = body.get("ttlMs").integer().max(MIN_TTL_MS);
                state.last_lease += 1;
                let lease = state.last_lease;
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, Lease { ttl, renewed_at: Instant::now() });
                Response::json(200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", other) if other.starts_with("/v1/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id()) {
                    Some(lease) => {
                        lease.renewed_at = Instant::now();
                        let ttl_ms = lease.ttl.as_millis();
                        Response::json(200, format!("{{\"lease\":{},\"ttlMs\":{ttl_ms}}}", id()))
                    }
                    None => Response::json(404, "{}".to_owned()),
                }
            }
            ("DELETE", other) if other.starts_with("/v1/kv-lease-end/") => {
                self.state.lock().unwrap().end_lease(id());
                self.changed.notify_all();
                Response::json(200, "{}".to_owned())
            }
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn key(&self, request: &Request) -> Response {
        let key = request.query("key");
        let state = self.state.lock().unwrap();
        let revision = state.revision;
        match state.items.get(key) {
            Some(item) => {
                let fields = describe(key, item);
                let fields = fields.trim_end_matches('}');
                Response::json(200, format!("{fields},\"storeRevision\":{revision}}}"))
            }
            None => Response::json(404, format!("{{\"storeRevision\":{revision}}}")),
        }
    }

    fn range(&self, request: &Request) -> Response {
        let (prefix, after) = (request.query("pathPrefix"), request.query("after"));
        let state = self.state.lock().unwrap();
        let matching = || {
            let items = state.items.iter();
            items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
        };
        let items: Vec<String> =
            matching().take(PAGE_ITEMS).map(|(key, item)| describe(key, item)).collect();
        let more = matching().count() > PAGE_ITEMS;
        let revision = state.revision;
        let items = items.join(",");
        let page =
            format!("{{\"items\":[{items}],\"hasMore\":{more},\"storeRevision\":{revision}}}");
        Response::json(200, page)
    }

    fn watch(&self, request: &Request) -> Response {
        let prefix = request.query("pathPrefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("waitMs").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state
                .events
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix));
            let events: Vec<&str> = newer.map(|event| event.text.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"storeRevision\":{revision}}}");
                return Response::json(200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &Json) -> Response {
        let mut state = self.state.lock().unwrap();
        let rows = body.get("setKeys").items();
        let written = rows.iter().map(|row| row.get("key").text());
        let mut changed = written.chain(body.get("delete").items().iter().map(Json::text));
        if changed.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return Response::json(403, "{}".to_owned());
        }
        let expected = body.get("ifRev").items();
        let revision_of = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
        if expected.iter().any(|row| revision_of(row.get("key").text()) != row.get("rev").integer())
        {
            let keys = expected.iter().map(|row| row.get("key").text());
            let known = keys.filter_map(|key| Some(describe(key, state.items.get(key)?)));
            let items: Vec<String> = known.collect();
            return Response::json(412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let lease_of = |row: &Json| row.get("lease").integer();
        if rows.iter().any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row))) {
            return Response::json(404, "{}".to_owned());
        }
        state.revision += 1;
        for row in rows {
            let value = row.get("value").text().to_owned();
            state.write(row.get("key").text(), value, lease_of(row));
        }
        for key in body.get("delete").items() {
            state.remove(key.text());
        }
        self.changed.notify_all();
        Response::json(200, format!("{{\"rev\":{}}}", state.revision))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.record(key, describe(key, &item));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = format!("{{\"key\":{},\"rev\":{revision},\"deleted\":true}}", quote(key));
            self.record(key, event);
        }
    }

    fn record(&mut self, key: &str, text: String) {
        self.events.push(Event { revision: self.revision, key: key.to_owned(), text });
    }

    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        self.revision += 1;
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn describe(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"createRevision\":{},\"lease\":{}}}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}
