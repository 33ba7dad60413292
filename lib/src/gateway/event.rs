//! What a gateway is told from outside, and by the parts that keep its place in the store.

/// What the control thread handles.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// The operator asks to stop; a second time means at once.
    Stop,
    /// The settings may have changed.
    Reload,
    /// The store answers again after it did not.
    StoreRecovered,
    /// This box's record is in the store.
    RecordWritten,
}
