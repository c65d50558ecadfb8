//! The cases.

pub mod memory;
