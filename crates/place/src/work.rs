//! Work that requests cause at replicas.

use std::ops::{AddAssign, Sub};

/// Replica time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Time for what each request brings: the own parts of prompts, and generated tokens.
    pub own_ms: f64,
    /// Time for the shared parts of prompts, which replicas spend only on those that they have not cached.
    pub shared_ms: f64,
    /// Time in a slot, divided by the replica's slots.
    pub slot_ms: f64,
}

impl AddAssign for Work {
    fn add_assign(&mut self, rhs: Self) {
        self.own_ms += rhs.own_ms;
        self.shared_ms += rhs.shared_ms;
        self.slot_ms += rhs.slot_ms;
    }
}

impl Sub for Work {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            own_ms: self.own_ms - rhs.own_ms,
            shared_ms: self.shared_ms - rhs.shared_ms,
            slot_ms: self.slot_ms - rhs.slot_ms,
        }
    }
}
