//! How urgent a request is for the replicas of an endpoint.

use base::Millis;

use crate::Class;

/// How urgent a request is, where requests of different classes share the replicas of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Its class.
    pub class: Class,
    /// Time from the caller's first attempt within which it is on time.
    pub target: Millis,
    /// The part of that time which is left.
    pub target_left: Millis,
    /// Hash of its workspace; 0 if it has none.
    pub workspace: u64,
}
