//! A holder's hold of the role.

use base::Millis;

use crate::{WallTime, WriteId};

/// The fencing number, and the wall clock as it was when the role was taken up.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Fencing number of this holder.
    pub fence: u64,
    wall_time: WallTime,
    at: Millis,
    writes: u64,
}

impl Role {
    /// A role taken up at `at`, when the wall clock read `wall`.
    pub const fn new(fence: u64, wall_time: WallTime, at: Millis) -> Self {
        Self {
            fence,
            wall_time,
            at,
            writes: 0,
        }
    }

    /// Wall-clock time at `now`.
    pub const fn wall_time(&self, now: Millis) -> WallTime {
        self.wall_time.after(now.since(self.at))
    }

    /// The id of the next write.
    pub const fn next_write(&mut self) -> WriteId {
        self.writes += 1;
        WriteId {
            fence: self.fence,
            number: self.writes,
        }
    }
}
