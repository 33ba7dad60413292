//! Requests that wait for a slot: by priority, then earliest deadline.
//!
//! The queue is bounded in number and bytes. When it is full, the least urgent
//! waiting request makes room for a more urgent one. Every so often the turn
//! goes to the least urgent priority, so that none waits for ever.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::protocol::config::Priority;

/// One turn in this many goes to the least urgent priority that waits.
const LEAST_URGENT_TURN: u64 = 16;

/// Names a request within its pool.
pub type RequestId = u64;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct QueuedRequest<T> {
    /// Which.
    pub id: RequestId,
    /// Priority.
    pub priority: Priority,
    /// When its answer is of no use any more.
    pub deadline: Instant,
    /// Bytes it holds.
    pub bytes: usize,
    /// What the pool needs to place it.
    pub request: T,
}

/// A bounded queue.
#[derive(Debug)]
pub struct Queue<T> {
    classes: [BTreeMap<(Instant, RequestId), QueuedRequest<T>>; Priority::ALL.len()],
    limit: usize,
    byte_limit: usize,
    bytes: usize,
    turns: u64,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(limit: usize, byte_limit: usize) -> Queue<T> {
        Queue {
            classes: std::array::from_fn(|_| BTreeMap::new()),
            limit,
            byte_limit,
            bytes: 0,
            turns: 0,
        }
    }

    /// Changes the bounds; what waits stays.
    pub fn set_limits(&mut self, limit: usize, byte_limit: usize) {
        self.limit = limit;
        self.byte_limit = byte_limit;
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.classes.iter().map(BTreeMap::len).sum()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(BTreeMap::is_empty)
    }

    /// Requests that would go before one of this priority and deadline.
    pub fn ahead(&self, priority: Priority, deadline: Instant) -> usize {
        let more_urgent: usize =
            self.classes[priority as usize + 1..].iter().map(BTreeMap::len).sum();
        more_urgent + self.classes[priority as usize].range(..(deadline, 0)).count()
    }

    /// Adds a request. Gives back those that lost their place; the request
    /// itself among them where it is the least urgent and there is no room.
    pub fn push(&mut self, waiting: QueuedRequest<T>) -> Vec<QueuedRequest<T>> {
        self.bytes += waiting.bytes;
        let class = waiting.priority as usize;
        self.classes[class].insert((waiting.deadline, waiting.id), waiting);
        let mut out = Vec::new();
        while self.len() > self.limit || self.bytes > self.byte_limit {
            let Some(last) = self.pop_least_urgent() else { break };
            out.push(last);
        }
        out
    }

    fn pop_least_urgent(&mut self) -> Option<QueuedRequest<T>> {
        let class = self.classes.iter_mut().find(|class| !class.is_empty())?;
        let (_, waiting) = class.pop_last()?;
        self.bytes -= waiting.bytes;
        Some(waiting)
    }

    /// Takes the next request whose turn it is.
    pub fn pop(&mut self) -> Option<QueuedRequest<T>> {
        self.turns += 1;
        let least_urgent = self.turns.is_multiple_of(LEAST_URGENT_TURN);
        let mut waiting = self.classes.iter_mut().filter(|class| !class.is_empty());
        let class = if least_urgent { waiting.next() } else { waiting.next_back() }?;
        let (_, next) = class.pop_first()?;
        self.bytes -= next.bytes;
        Some(next)
    }

    /// Puts back a request that was taken and could not be placed; the turn
    /// is still to be had.
    pub fn put_back(&mut self, waiting: QueuedRequest<T>) {
        self.turns -= 1;
        self.bytes += waiting.bytes;
        let class = waiting.priority as usize;
        self.classes[class].insert((waiting.deadline, waiting.id), waiting);
    }

    /// Removes a request whose caller went away.
    pub fn remove(&mut self, id: RequestId, priority: Priority, deadline: Instant) -> bool {
        let removed = self.classes[priority as usize].remove(&(deadline, id));
        self.bytes -= removed.as_ref().map_or(0, |waiting| waiting.bytes);
        removed.is_some()
    }

    /// Takes out all whose deadline has passed.
    pub fn expired(&mut self, now: Instant) -> Vec<QueuedRequest<T>> {
        let mut out = Vec::new();
        for class in &mut self.classes {
            while class.first_key_value().is_some_and(|((deadline, _), _)| *deadline <= now) {
                out.extend(class.pop_first().map(|(_, waiting)| waiting));
            }
        }
        self.bytes -= out.iter().map(|waiting| waiting.bytes).sum::<usize>();
        out
    }
}
