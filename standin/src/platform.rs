//! The platform: a key-value store with leases and watches, a directory of
//! boxes, and a list of boxes that lags behind it.
//!
//! | request | meaning |
//! |---|---|
//! | `GET /kv/<key>` | value and revision; 404 if absent |
//! | `PUT /kv/<key>` | compare-and-swap on the revision; 409 with the current revision if it differs; 410 if the lease has expired |
//! | `GET /watch/<key>?after=R&wait_ms=W` | waits up to W milliseconds for a revision above R; 204 if there is none |
//! | `POST /leases`, `POST /leases/<id>` | grants, renews a lease; 410 if it has expired |
//! | `PUT /directory/<box>`, `GET /directory` | announces a box; lists the announced boxes |
//! | `GET /boxes` | the list of live and leaving boxes, delayed by `list_lag_ms` |
//! | `POST /control` | sets [`Faults`] |
//! | `GET /calls` | numbers of reads, writes and watches so far |

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::future::Future;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use crate::http1;
use crate::http1::BufferedRequest;
use crate::http1::HttpResponse;

/// Faults that the platform injects.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Responds 503 to every request.
    pub down: bool,
    /// Accepts requests and never responds.
    pub hang: bool,
    /// Delay of each response, in milliseconds.
    pub slow_ms: u64,
    /// Maximum requests per second; those above it get 429. 0 for no limit.
    pub calls_per_second: usize,
    /// Number of upcoming writes that take effect but get no response.
    pub lose_answers: u32,
    /// Makes reads return the value before the last write.
    pub stale: bool,
    /// Age of the list of boxes, in milliseconds.
    pub list_lag_ms: u64,
    /// Boxes and backend servers that the list shows as leaving.
    pub leaving: Vec<String>,
    /// Ends all leases when the faults are set.
    pub lapse_leases: bool,
}

#[derive(Clone)]
struct StoredValue {
    value: String,
    revision: u64,
    lease: Option<u64>,
    expires: Option<Instant>,
}

#[derive(Default)]
struct State {
    faults: Faults,
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    previous: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    directory: BTreeMap<String, (serde_json::Value, Instant)>,
    list_history: VecDeque<(Instant, serde_json::Value)>,
    recent_requests: VecDeque<Instant>,
    reads: u64,
    writes: u64,
    watches: u64,
}

/// A copy of the keys of a platform.
#[derive(Clone)]
pub struct Backup {
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
}

/// A platform; clones share their state.
#[derive(Clone, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

#[derive(Deserialize)]
struct PutRequest {
    value: String,
    expect: u64,
    lease: Option<u64>,
    life_ms: Option<u64>,
}

#[derive(Deserialize)]
struct LeaseRequest {
    life_ms: u64,
}

#[derive(Deserialize)]
struct Announcement {
    listing: serde_json::Value,
    life_ms: u64,
}

impl Platform {
    /// Serves requests on a listener until the future is dropped.
    pub fn serve(&self, listener: TcpListener) -> impl Future<Output = ()> + Send + 'static {
        let platform = self.clone();
        http1::serve(listener, move |request| {
            let platform = platform.clone();
            async move { platform.handle(request).await }
        })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.lapse_leases {
            state.leases.clear();
        }
        state.faults = faults;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Copies the keys, for [`Platform::restore`].
    pub fn back_up(&self) -> Backup {
        let state = self.lock();
        Backup { revision: state.revision, keys: state.keys.clone() }
    }

    /// Replaces the keys by an older copy. Revisions since then are assigned again.
    pub fn restore(&self, backup: Backup) {
        let mut state = self.lock();
        state.revision = backup.revision;
        state.keys = backup.keys;
        state.previous.clear();
    }

    /// Numbers of reads, writes and watches so far.
    pub fn call_counts(&self) -> (u64, u64, u64) {
        let state = self.lock();
        (state.reads, state.writes, state.watches)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, request: BufferedRequest) -> Option<HttpResponse> {
        if request.path == "/control" {
            return Some(http1::handle_control(&request, |faults| self.set_faults(faults)));
        }
        if request.path == "/calls" {
            let (reads, writes, watches) = self.call_counts();
            let counts = json!({"reads": reads, "writes": writes, "watches": watches});
            return Some(http1::json(StatusCode::OK, &counts));
        }
        let faults = self.lock().faults.clone();
        if faults.hang {
            std::future::pending::<()>().await;
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.down {
            return Some(http1::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.exceeds_rate_limit(faults.calls_per_second) {
            return Some(http1::empty(StatusCode::TOO_MANY_REQUESTS));
        }
        if request.path.starts_with("/watch/") {
            return Some(self.watch(&request).await);
        }
        let is_write = request.method != Method::GET;
        let response = self.apply(&request);
        if is_write && response.status().is_success() && self.take_lost_response() {
            return None;
        }
        Some(response)
    }

    fn exceeds_rate_limit(&self, limit: usize) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        while state.recent_requests.front().is_some_and(|at| now.duration_since(*at).as_secs() >= 1)
        {
            state.recent_requests.pop_front();
        }
        let exceeds = limit > 0 && state.recent_requests.len() >= limit;
        if !exceeds {
            state.recent_requests.push_back(now);
        }
        exceeds
    }

    fn take_lost_response(&self) -> bool {
        let mut state = self.lock();
        let is_lost = state.faults.lose_answers > 0;
        state.faults.lose_answers -= u32::from(is_lost);
        is_lost
    }

    fn apply(&self, request: &BufferedRequest) -> HttpResponse {
        let mut state = self.lock();
        state.expire(Instant::now());
        match request.method {
            Method::GET => state.reads += 1,
            _ => state.writes += 1,
        }
        let path = request.path.as_str();
        let response = if let Some(key) = path.strip_prefix("/kv/") {
            state.handle_key(key, request)
        } else if path == "/leases" {
            state.grant_lease(request)
        } else if let Some(lease) = path.strip_prefix("/leases/") {
            state.renew_lease(lease)
        } else if let Some(name) = path.strip_prefix("/directory/") {
            state.announce(name, request)
        } else if path == "/directory" {
            Some(http1::json(StatusCode::OK, &state.announced_listings()))
        } else if path == "/boxes" {
            Some(http1::json(StatusCode::OK, &state.lagging_box_list()))
        } else {
            Some(http1::empty(StatusCode::NOT_FOUND))
        };
        drop(state);
        if request.method == Method::PUT {
            self.changed.notify_waiters();
        }
        response.unwrap_or_else(|| http1::empty(StatusCode::BAD_REQUEST))
    }

    async fn watch(&self, request: &BufferedRequest) -> HttpResponse {
        let key = request.path.trim_start_matches("/watch/").to_owned();
        let after = request.query_number("after").unwrap_or(0);
        let timeout = Duration::from_millis(request.query_number("wait_ms").unwrap_or(0));
        let deadline = tokio::time::Instant::now() + timeout;
        self.lock().watches += 1;
        loop {
            let changed = self.changed.notified();
            let mut changed = std::pin::pin!(changed);
            changed.as_mut().enable();
            {
                let mut state = self.lock();
                state.expire(Instant::now());
                if state.faults.down {
                    return http1::empty(StatusCode::SERVICE_UNAVAILABLE);
                }
                let newer = state.keys.get(&key).filter(|stored| stored.revision > after);
                if let Some(stored) = newer {
                    return http1::json(StatusCode::OK, &entry_json(&key, stored));
                }
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return http1::empty(StatusCode::NO_CONTENT);
            }
        }
    }
}

fn entry_json(key: &str, stored: &StoredValue) -> serde_json::Value {
    json!({"key": key, "value": stored.value, "revision": stored.revision})
}

impl State {
    /// Removes expired leases, keys and announcements.
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, (expires, _)| now < *expires);
        let leases = &self.leases;
        self.keys.retain(|_, stored| {
            let lease_valid = stored.lease.is_none_or(|lease| leases.contains_key(&lease));
            lease_valid && stored.expires.is_none_or(|expires| now < expires)
        });
        self.directory.retain(|_, (_, expires)| now < *expires);
    }

    fn handle_key(&mut self, key: &str, request: &BufferedRequest) -> Option<HttpResponse> {
        if request.method == Method::GET {
            let stale = self.faults.stale.then(|| self.previous.get(key)).flatten();
            return Some(match stale.or_else(|| self.keys.get(key)) {
                Some(stored) => http1::json(StatusCode::OK, &entry_json(key, stored)),
                None => http1::empty(StatusCode::NOT_FOUND),
            });
        }
        let put: PutRequest = serde_json::from_slice(&request.body).ok()?;
        if put.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Some(http1::empty(StatusCode::GONE));
        }
        let current = self.keys.get(key).map_or(0, |stored| stored.revision);
        if current != put.expect {
            return Some(http1::json(StatusCode::CONFLICT, &json!({"revision": current})));
        }
        self.revision += 1;
        let stored = StoredValue {
            value: put.value,
            revision: self.revision,
            lease: put.lease,
            expires: put.life_ms.map(|ttl_ms| Instant::now() + Duration::from_millis(ttl_ms)),
        };
        if let Some(previous) = self.keys.insert(key.to_owned(), stored) {
            self.previous.insert(key.to_owned(), previous);
        }
        Some(http1::json(StatusCode::OK, &json!({"revision": self.revision})))
    }

    fn grant_lease(&mut self, request: &BufferedRequest) -> Option<HttpResponse> {
        let lease: LeaseRequest = serde_json::from_slice(&request.body).ok()?;
        let ttl = Duration::from_millis(lease.life_ms);
        self.revision += 1;
        self.leases.insert(self.revision, (Instant::now() + ttl, ttl));
        Some(http1::json(StatusCode::OK, &json!({"lease": self.revision})))
    }

    fn renew_lease(&mut self, lease: &str) -> Option<HttpResponse> {
        let lease = lease.parse().ok()?;
        Some(match self.leases.get_mut(&lease) {
            Some((expires, ttl)) => {
                *expires = Instant::now() + *ttl;
                http1::empty(StatusCode::OK)
            }
            None => http1::empty(StatusCode::GONE),
        })
    }

    fn announce(&mut self, name: &str, request: &BufferedRequest) -> Option<HttpResponse> {
        let announcement: Announcement = serde_json::from_slice(&request.body).ok()?;
        let expires = Instant::now() + Duration::from_millis(announcement.life_ms);
        self.directory.insert(name.to_owned(), (announcement.listing, expires));
        Some(http1::empty(StatusCode::OK))
    }

    fn announced_listings(&self) -> serde_json::Value {
        self.directory.values().map(|(listing, _)| listing.clone()).collect()
    }

    /// Returns the list of boxes as it was `list_lag_ms` ago.
    fn lagging_box_list(&mut self) -> serde_json::Value {
        let now = Instant::now();
        let list = self.box_list();
        self.list_history.push_back((now, list));
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        while self.list_history.len() > 1 && now.duration_since(self.list_history[1].0) >= lag {
            self.list_history.pop_front();
        }
        self.list_history.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn box_list(&self) -> serde_json::Value {
        let state_name = |leaving: bool| if leaving { "leaving" } else { "live" };
        let boxes = self.directory.iter().map(|(name, (listing, _))| {
            let leaving = listing["leaving"] == true || self.faults.leaving.contains(name);
            json!({
                "name": name,
                "state": state_name(leaving),
                "peers": listing["peers"],
                "region": listing["region"],
            })
        });
        let unannounced =
            self.faults.leaving.iter().filter(|name| !self.directory.contains_key(*name));
        let unannounced = unannounced.map(|name| json!({"name": name, "state": state_name(true)}));
        boxes.chain(unannounced).collect()
    }
}
