//! State of the held role.

use base::Millis;

use crate::{WallTime, WriteId};

/// Fencing token and write numbers of a holder, and the wall-clock time at which it acquired the role.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Fencing token of this holder.
    pub fence: u64,
    acquired_wall_time: WallTime,
    acquired_at: Millis,
    last_write: u64,
}

impl Role {
    /// Creates the state of a role acquired at `acquired_at` on the monotonic clock.
    pub const fn new(fence: u64, acquired_wall_time: WallTime, acquired_at: Millis) -> Self {
        Self {
            fence,
            acquired_wall_time,
            acquired_at,
            last_write: 0,
        }
    }

    /// Wall-clock time at `now`.
    pub const fn wall_time(&self, now: Millis) -> WallTime {
        self.acquired_wall_time.after(now.since(self.acquired_at))
    }

    /// Returns the id for the next write.
    pub const fn next_write_id(&mut self) -> WriteId {
        self.last_write += 1;
        WriteId {
            fence: self.fence,
            number: self.last_write,
        }
    }
}
