//! A bounded queue of requests that wait for a slot.
//!
//! Requests are ordered by priority, then by earliest deadline. The number of requests and their
//! total size are limited. When the queue is full, the least urgent request is evicted to make room
//! for a more urgent one. At regular intervals the lowest waiting priority is served first, so that
//! no request starves.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::protocol::config::Priority;

/// One in this many calls of [`Queue::pop`] returns a request of the lowest waiting priority.
const LOWEST_PRIORITY_INTERVAL: u64 = 16;

/// Identifies a request within its pool.
pub type RequestId = u64;

/// A queued request.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// Identifier of the request.
    pub id: RequestId,
    /// Priority of the request.
    pub priority: Priority,
    /// When the response is no longer useful.
    pub deadline: Instant,
    /// Size of the request in bytes.
    pub bytes: usize,
    /// The request as the pool needs it for placement.
    pub request: T,
}

/// A bounded priority queue.
#[derive(Debug)]
pub struct Queue<T> {
    classes: [BTreeMap<(Instant, RequestId), QueuedRequest<T>>; Priority::ALL.len()],
    max_len: usize,
    max_bytes: usize,
    bytes: usize,
    pops: u64,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(max_len: usize, max_bytes: usize) -> Queue<T> {
        Queue {
            classes: std::array::from_fn(|_| BTreeMap::new()),
            max_len,
            max_bytes,
            bytes: 0,
            pops: 0,
        }
    }

    /// Changes the limits. Requests that are already queued stay.
    pub fn set_limits(&mut self, max_len: usize, max_bytes: usize) {
        self.max_len = max_len;
        self.max_bytes = max_bytes;
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(BTreeMap::is_empty)
    }

    /// Returns how many queued requests would be served before one of this priority and deadline.
    pub fn ahead(&self, priority: Priority, deadline: Instant) -> usize {
        let more_urgent: usize =
            self.classes[priority as usize + 1..].iter().map(BTreeMap::len).sum();
        more_urgent + self.classes[priority as usize].range(..(deadline, 0)).count()
    }

    /// Adds a request and returns the evicted requests. If the queue is full and the new request is
    /// the least urgent, it is among them.
    pub fn push(&mut self, waiting: QueuedRequest<T>) -> Vec<QueuedRequest<T>> {
        self.bytes += waiting.bytes;
        let class = waiting.priority as usize;
        self.classes[class].insert((waiting.deadline, waiting.id), waiting);
        let mut removed = Vec::new();
        while self.len() > self.max_len || self.bytes > self.max_bytes {
            let Some(last) = self.pop_least_urgent() else { break };
            removed.push(last);
        }
        removed
    }

    fn pop_least_urgent(&mut self) -> Option<QueuedRequest<T>> {
        let class = self.classes.iter_mut().find(|class| !class.is_empty())?;
        let (_, waiting) = class.pop_last()?;
        self.bytes -= waiting.bytes;
        Some(waiting)
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<QueuedRequest<T>> {
        self.pops += 1;
        let least_urgent = self.pops.is_multiple_of(LOWEST_PRIORITY_INTERVAL);
        let mut waiting = self.classes.iter_mut().filter(|class| !class.is_empty());
        let class = if least_urgent { waiting.next() } else { waiting.next_back() }?;
        let (_, next) = class.pop_first()?;
        self.bytes -= next.bytes;
        Some(next)
    }

    /// Puts back a request that could not be placed, and undoes its [`Queue::pop`], so that the
    /// turn of the lowest priority isn't lost.
    pub fn put_back(&mut self, waiting: QueuedRequest<T>) {
        self.pops -= 1;
        self.bytes += waiting.bytes;
        let class = waiting.priority as usize;
        self.classes[class].insert((waiting.deadline, waiting.id), waiting);
    }

    /// Removes a request whose caller has disconnected. Returns whether it was queued.
    pub fn remove(&mut self, id: RequestId, priority: Priority, deadline: Instant) -> bool {
        let removed = self.classes[priority as usize].remove(&(deadline, id));
        self.bytes -= removed.as_ref().map_or(0, |waiting| waiting.bytes);
        removed.is_some()
    }

    /// Removes and returns all requests whose deadline has passed.
    pub fn pop_expired(&mut self, now: Instant) -> Vec<QueuedRequest<T>> {
        let mut removed = Vec::new();
        for class in &mut self.classes {
            while class.first_key_value().is_some_and(|((deadline, _), _)| *deadline <= now) {
                removed.extend(class.pop_first().map(|(_, waiting)| waiting));
            }
        }
        self.bytes -= removed.iter().map(|waiting| waiting.bytes).sum::<usize>();
        removed
    }
}
