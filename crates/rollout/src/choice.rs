//! Result of drawing a version for a request.

use base::Name;

use crate::Assignment;

/// The version to use for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice<'a> {
    /// Name of the version.
    pub version: &'a Name,
    /// Assignment to pass on in the guard's events.
    pub assignment: Assignment,
}
