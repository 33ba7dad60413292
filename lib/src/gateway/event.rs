//! Events for the control thread, from signals and from the task that maintains this box's record
//! in the store.

/// An event for the control thread.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The operator requests a stop. A second request ends the process at once.
    Stop,
    /// The grace of a stop is over.
    GraceOver,
    /// The settings may have changed.
    Reload,
    /// The store responds again after an outage.
    StoreRecovered,
    /// This box's record is in the store.
    RecordWritten,
    /// No box of this name has run before, according to a store that was never restored.
    FirstStart,
    /// A box of this name may have run before.
    Restart,
}
