//! Replicated set of the vetoes known to a node.

use base::Name;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{Id, Veto};

/// Largest number of vetoes kept.
pub const MAX_VETOES: usize = 256;

/// A grow-only set with one veto per rollout. Merging is idempotent, commutative and associative.
///
/// Beyond [`MAX_VETOES`] the vetoes of the oldest rollouts are dropped, in the same order on every node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vetoes {
    by_rollout: IndexMap<Id, Veto>,
}

impl Vetoes {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a veto and returns whether the set changed.
    ///
    /// Of two vetoes against one rollout the smaller is kept, so that the order of merging does not matter.
    pub fn insert(&mut self, veto: Veto) -> bool {
        if self
            .by_rollout
            .get(&veto.rollout)
            .is_some_and(|known| known <= &veto)
        {
            return false;
        }
        let rollout = veto.rollout;
        self.by_rollout.insert(rollout, veto);
        self.by_rollout.sort_unstable_keys();
        if self.by_rollout.len() > MAX_VETOES {
            self.by_rollout.shift_remove_index(0);
        }
        self.by_rollout.contains_key(&rollout)
    }

    /// Adds every veto of `other` and returns whether the set changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for veto in other.iter() {
            changed |= self.insert(veto.clone());
        }
        changed
    }

    /// Veto against `version` in `rollout`, if any.
    pub fn get(&self, rollout: Id, version: &Name) -> Option<&Veto> {
        self.by_rollout
            .get(&rollout)
            .filter(|veto| &veto.version == version)
    }

    /// All vetoes, ordered by rollout.
    pub fn iter(&self) -> impl Iterator<Item = &Veto> {
        self.by_rollout.values()
    }
}
