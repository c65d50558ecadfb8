//! Replicas that are ordered together.

use std::sync::Arc;

/// Replicas of one kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Slot {
    pub endpoint: Arc<str>,
    pub zone: Arc<str>,
    pub reclaimable: bool,
}
