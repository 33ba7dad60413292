//! The platform: a key-value store with leases and watches, a directory and a
//! lagging list of boxes.
//!
//! | path | meaning |
//! |---|---|
//! | `GET /kv/<key>` | value and revision; 404 if absent |
//! | `PUT /kv/<key>` | compare-and-swap on the revision; 409 with the revision that stands; 410 if the lease is over |
//! | `GET /watch/<key>?after=R&wait_ms=W` | waits for a revision over R; 204 if none came |
//! | `POST /leases`, `POST /leases/<id>` | takes out, renews a lease; 410 if it is over |
//! | `PUT /directory/<box>`, `GET /directory` | announces, lists boxes for clients |
//! | `GET /boxes` | the lagging list of live and leaving boxes |
//! | `POST /control` | sets [`Faults`] |
//! | `GET /calls` | counts of calls so far |

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

/// How the platform fails.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Answers 503 to everything.
    pub down: bool,
    /// Accepts connections and never answers.
    pub hang: bool,
    /// Time that each answer takes, milliseconds.
    pub slow_ms: u64,
    /// Calls a second; more are answered with 429. 0 for no limit.
    pub calls_per_second: usize,
    /// So many next writes take effect and lose their answer.
    pub lose_answers: u32,
    /// Reads answer with the value before the last write.
    pub stale: bool,
    /// Age of the list of boxes, milliseconds.
    pub list_lag_ms: u64,
    /// Boxes and backend servers that the list shows as leaving.
    pub leaving: Vec<String>,
    /// Ends all leases now.
    pub lapse_leases: bool,
}

#[derive(Clone)]
struct Stored {
    value: String,
    revision: u64,
    lease: Option<u64>,
    expires: Option<Instant>,
}

#[derive(Default)]
struct State {
    faults: Faults,
    revision: u64,
    keys: BTreeMap<String, Stored>,
    before: BTreeMap<String, Stored>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    directory: BTreeMap<String, (serde_json::Value, Instant)>,
    lists: VecDeque<(Instant, serde_json::Value)>,
    recent: VecDeque<Instant>,
    reads: u64,
    writes: u64,
    watches: u64,
}

/// A platform.
#[derive(Clone, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
    written: Arc<Notify>,
}

#[derive(Deserialize)]
struct Put {
    value: String,
    expect: u64,
    lease: Option<u64>,
    life_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Life {
    life_ms: u64,
}

#[derive(Deserialize)]
struct Announcement {
    listing: serde_json::Value,
    life_ms: u64,
}

impl Platform {
    /// Serves on a listener until dropped.
    pub fn serve(&self, listener: TcpListener) -> impl Future<Output = ()> + Send + 'static {
        let platform = self.clone();
        http1::serve(listener, move |call| {
            let platform = platform.clone();
            async move { platform.answer(call).await }
        })
    }

    /// Sets how it fails.
    pub fn set_faults(&self, faults: Faults) {
        let mut state = self.lock();
        if faults.lapse_leases {
            state.leases.clear();
        }
        state.faults = faults;
        drop(state);
        self.written.notify_waiters();
    }

    /// Reads, writes and watches so far.
    pub fn call_counts(&self) -> (u64, u64, u64) {
        let state = self.lock();
        (state.reads, state.writes, state.watches)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, call: BufferedRequest) -> Option<HttpResponse> {
        if call.path == "/control" {
            return Some(http1::handle_control(&call, |faults| self.set_faults(faults)));
        }
        if call.path == "/calls" {
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
        if self.over_limit(faults.calls_per_second) {
            return Some(http1::empty(StatusCode::TOO_MANY_REQUESTS));
        }
        if call.path.starts_with("/watch/") {
            return Some(self.watch(&call).await);
        }
        let is_write = call.method != Method::GET;
        let answer = self.perform(&call);
        if is_write && answer.status().is_success() && self.loses_answer() {
            return None;
        }
        Some(answer)
    }

    fn over_limit(&self, limit: usize) -> bool {
        let mut state = self.lock();
        let now = Instant::now();
        while state.recent.front().is_some_and(|at| now.duration_since(*at).as_secs() >= 1) {
            state.recent.pop_front();
        }
        let over = limit > 0 && state.recent.len() >= limit;
        if !over {
            state.recent.push_back(now);
        }
        over
    }

    fn loses_answer(&self) -> bool {
        let mut state = self.lock();
        let loses = state.faults.lose_answers > 0;
        state.faults.lose_answers -= u32::from(loses);
        loses
    }

    fn perform(&self, call: &BufferedRequest) -> HttpResponse {
        let mut state = self.lock();
        state.expire(Instant::now());
        match call.method {
            Method::GET => state.reads += 1,
            _ => state.writes += 1,
        }
        let path = call.path.as_str();
        let answer = if let Some(key) = path.strip_prefix("/kv/") {
            state.key(key, call)
        } else if path == "/leases" {
            state.grant(call)
        } else if let Some(lease) = path.strip_prefix("/leases/") {
            state.renew(lease)
        } else if let Some(name) = path.strip_prefix("/directory/") {
            state.announce(name, call)
        } else if path == "/directory" {
            Some(http1::json(StatusCode::OK, &state.directory()))
        } else if path == "/boxes" {
            Some(http1::json(StatusCode::OK, &state.lagging_list()))
        } else {
            Some(http1::empty(StatusCode::NOT_FOUND))
        };
        drop(state);
        if call.method == Method::PUT {
            self.written.notify_waiters();
        }
        answer.unwrap_or_else(|| http1::empty(StatusCode::BAD_REQUEST))
    }

    async fn watch(&self, call: &BufferedRequest) -> HttpResponse {
        let key = call.path.trim_start_matches("/watch/").to_owned();
        let after = call.query_number("after").unwrap_or(0);
        let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0));
        let until = tokio::time::Instant::now() + wait;
        self.lock().watches += 1;
        loop {
            let written = self.written.notified();
            let mut written = std::pin::pin!(written);
            written.as_mut().enable();
            {
                let mut state = self.lock();
                state.expire(Instant::now());
                if state.faults.down {
                    return http1::empty(StatusCode::SERVICE_UNAVAILABLE);
                }
                let newer = state.keys.get(&key).filter(|stored| stored.revision > after);
                if let Some(stored) = newer {
                    return http1::json(StatusCode::OK, &entry(&key, stored));
                }
            }
            if tokio::time::timeout_at(until, written).await.is_err() {
                return http1::empty(StatusCode::NO_CONTENT);
            }
        }
    }
}

fn entry(key: &str, stored: &Stored) -> serde_json::Value {
    json!({"key": key, "value": stored.value, "revision": stored.revision})
}

impl State {
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, (until, _)| now < *until);
        let leases = &self.leases;
        self.keys.retain(|_, stored| {
            let leased = stored.lease.is_none_or(|lease| leases.contains_key(&lease));
            leased && stored.expires.is_none_or(|expires| now < expires)
        });
        self.directory.retain(|_, (_, until)| now < *until);
    }

    fn key(&mut self, key: &str, call: &BufferedRequest) -> Option<HttpResponse> {
        if call.method == Method::GET {
            let stale = self.faults.stale.then(|| self.before.get(key)).flatten();
            return Some(match stale.or_else(|| self.keys.get(key)) {
                Some(stored) => http1::json(StatusCode::OK, &entry(key, stored)),
                None => http1::empty(StatusCode::NOT_FOUND),
            });
        }
        let put: Put = serde_json::from_slice(&call.body).ok()?;
        if put.lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Some(http1::empty(StatusCode::GONE));
        }
        let stands = self.keys.get(key).map_or(0, |stored| stored.revision);
        if stands != put.expect {
            return Some(http1::json(StatusCode::CONFLICT, &json!({"revision": stands})));
        }
        self.revision += 1;
        let stored = Stored {
            value: put.value,
            revision: self.revision,
            lease: put.lease,
            expires: put.life_ms.map(|life| Instant::now() + Duration::from_millis(life)),
        };
        if let Some(before) = self.keys.insert(key.to_owned(), stored) {
            self.before.insert(key.to_owned(), before);
        }
        Some(http1::json(StatusCode::OK, &json!({"revision": self.revision})))
    }

    fn grant(&mut self, call: &BufferedRequest) -> Option<HttpResponse> {
        let life: Life = serde_json::from_slice(&call.body).ok()?;
        let life = Duration::from_millis(life.life_ms);
        self.revision += 1;
        self.leases.insert(self.revision, (Instant::now() + life, life));
        Some(http1::json(StatusCode::OK, &json!({"lease": self.revision})))
    }

    fn renew(&mut self, lease: &str) -> Option<HttpResponse> {
        let lease = lease.parse().ok()?;
        Some(match self.leases.get_mut(&lease) {
            Some((until, life)) => {
                *until = Instant::now() + *life;
                http1::empty(StatusCode::OK)
            }
            None => http1::empty(StatusCode::GONE),
        })
    }

    fn announce(&mut self, name: &str, call: &BufferedRequest) -> Option<HttpResponse> {
        let announcement: Announcement = serde_json::from_slice(&call.body).ok()?;
        let until = Instant::now() + Duration::from_millis(announcement.life_ms);
        self.directory.insert(name.to_owned(), (announcement.listing, until));
        Some(http1::empty(StatusCode::OK))
    }

    fn directory(&self) -> serde_json::Value {
        self.directory.values().map(|(listing, _)| listing.clone()).collect()
    }

    /// The list as it was some time ago.
    fn lagging_list(&mut self) -> serde_json::Value {
        let now = Instant::now();
        let list = self.list();
        self.lists.push_back((now, list));
        let lag = Duration::from_millis(self.faults.list_lag_ms);
        while self.lists.len() > 1 && now.duration_since(self.lists[1].0) >= lag {
            self.lists.pop_front();
        }
        self.lists.front().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn list(&self) -> serde_json::Value {
        let state = |leaving: bool| if leaving { "leaving" } else { "live" };
        let boxes = self.directory.iter().map(|(name, (listing, _))| {
            let leaving = listing["leaving"] == true || self.faults.leaving.contains(name);
            json!({
                "name": name,
                "state": state(leaving),
                "peers": listing["peers"],
                "region": listing["region"],
            })
        });
        let others = self.faults.leaving.iter().filter(|name| !self.directory.contains_key(*name));
        let others = others.map(|name| json!({"name": name, "state": state(true)}));
        boxes.chain(others).collect()
    }
}
