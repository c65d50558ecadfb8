//! A holder's hold of the role.

use base::Millis;

use crate::{WallTime, WriteId};

/// The fencing number, and the wall clock as it was when the role was taken up.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Fencing number of this holder.
    pub fence: u64,
    acquired_wall_time: WallTime,
    acquired_at: Millis,
    last_write: u64,
}

impl Role {
    /// A role taken up at `at`, when the wall clock read `wall`.
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

    /// The id of the next write.
    pub const fn next_write_id(&mut self) -> WriteId {
        self.last_write += 1;
        WriteId {
            fence: self.fence,
            number: self.last_write,
        }
    }
}
