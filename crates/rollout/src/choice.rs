//! The outcome of a draw.

use base::Name;

use crate::Assignment;

/// The version to use for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice<'a> {
    /// The version.
    pub version: &'a Name,
    /// How it was drawn; goes into the guard's events.
    pub assignment: Assignment,
}
