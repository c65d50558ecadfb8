//! Replicas whose registration is gone.
//!
//! Load pattern: the registration of a replica that lives goes and comes back, as another writer overwrites it or the store was away.
//! What the replica has said of itself holds until it starts again, and so does what is known of its health.

use std::sync::Arc;

use indexmap::IndexMap;

use super::Pool;
use crate::ReplicaKey;

/// Maximum number kept. Those that went first are forgotten.
const MAX_DEPARTED: usize = 64;

/// Replicas by id, in the order in which their registrations went.
pub(super) type Departed = IndexMap<Arc<str>, ReplicaKey>;

impl Pool {
    /// Keeps a replica that is no longer chosen.
    pub(super) fn keep_departed(&mut self, id: Arc<str>, key: ReplicaKey) {
        self.departed.insert(id, key);
        if self.departed.len() > MAX_DEPARTED
            && let Some((_, oldest)) = self.departed.shift_remove_index(0)
        {
            self.replicas.remove(oldest);
        }
    }

    /// Takes a replica back whose registration was gone.
    pub(super) fn return_departed(&mut self, id: &str) {
        if let Some((id, key)) = self.departed.shift_remove_entry(id) {
            self.ids.insert(id, key);
        }
    }
}
