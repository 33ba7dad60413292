//! The logic behind the operators' commands; the terminal interface is in the
//! CLI crate.

pub mod apply;
