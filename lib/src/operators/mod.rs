//! What operators' commands do, without a terminal.

pub mod apply;
