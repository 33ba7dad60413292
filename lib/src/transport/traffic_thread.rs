//! The index of the current traffic thread. Each traffic thread has its own runtime.
//!
//! A connection stays on the thread that accepted it. Connections to backend servers and to other
//! boxes are kept per thread, so that forwarding a request wakes no other thread.

use std::cell::Cell;

thread_local! {
    static INDEX: Cell<usize> = const { Cell::new(0) };
}

/// Sets the index of the current thread.
pub fn set_index(index: usize) {
    INDEX.set(index);
}

/// Returns the index of the current thread; 0 if none was set.
pub fn index() -> usize {
    INDEX.get()
}
