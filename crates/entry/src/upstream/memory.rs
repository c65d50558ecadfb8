//! Memory for responses that the node holds.

use std::sync::{Mutex, PoisonError};

use super::{Budget, Exhausted};

/// Memory for the responses of replicas until there are settings.
const DEFAULT_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Memory for the responses of replicas. It belongs to the process, as the limit on its memory does. How large it is follows
/// from the settings (`intake::Allowance`).
pub(crate) static RESPONSES: Memory = Memory::new(DEFAULT_RESPONSE_BYTES);

/// A budget that the tasks of a process share.
#[derive(Debug)]
pub struct Memory {
    budget: Mutex<Budget>,
}

/// Memory held until dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: &'static Memory,
    held: usize,
}

impl Memory {
    /// Creates a memory of this many bytes.
    pub const fn new(limit: usize) -> Self {
        Self {
            budget: Mutex::new(Budget::new(limit)),
        }
    }

    /// Changes the number of bytes. Holders of more than that keep it.
    pub fn set_limit(&self, limit: usize) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.set_limit(limit);
    }

    /// Number of bytes in use, and how many may be.
    pub fn usage(&self) -> (usize, usize) {
        let budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        (budget.used(), budget.limit())
    }

    /// An empty reservation.
    pub const fn reserve(&'static self) -> Reservation {
        Reservation {
            memory: self,
            held: 0,
        }
    }

    fn resize(&self, held: usize, wanted: usize) -> Result<(), Exhausted> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.resize(held, wanted)
    }
}

impl Reservation {
    /// Changes the number of bytes held. If that is refused, the bytes held so far remain.
    pub fn resize(&mut self, wanted: usize) -> Result<(), Exhausted> {
        if wanted != self.held {
            self.memory.resize(self.held, wanted)?;
            self.held = wanted;
        }
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        // Holding less is never refused.
        let _released = self.resize(0);
    }
}
