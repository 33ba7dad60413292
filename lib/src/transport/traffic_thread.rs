//! Traffic threads, each with a runtime of its own.
//!
//! A connection stays on the thread that accepted it, and what it needs of
//! others (connections to backend servers and boxes) is kept per thread, so
//! that passing a request through wakes no other thread.

use std::cell::Cell;

thread_local! {
    static INDEX: Cell<usize> = const { Cell::new(0) };
}

/// Tells this thread its number.
pub fn set_index(index: usize) {
    INDEX.set(index);
}

/// Number of this thread; 0 where it was told none.
pub fn index() -> usize {
    INDEX.get()
}
