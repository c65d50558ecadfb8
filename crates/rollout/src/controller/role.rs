//! A holder's hold of the role.

use base::Millis;

use crate::{WallTime, WriteId};

/// The fencing number, and the wall clock as it was when the role was taken up.
#[derive(Clone, Copy, Debug)]
pub struct Role {
    /// Fencing number of this holder.
    pub fence: u64,
    taken_up_wall_time: WallTime,
    taken_up_at: Millis,
    last_write: u64,
}

impl Role {
    /// A role taken up at `at`, when the wall clock read `wall`.
    pub const fn new(fence: u64, taken_up_wall_time: WallTime, taken_up_at: Millis) -> Self {
        Self {
            fence,
            taken_up_wall_time,
            taken_up_at,
            last_write: 0,
        }
    }

    /// Wall-clock time at `now`.
    pub const fn wall_time(&self, now: Millis) -> WallTime {
        self.taken_up_wall_time.after(now.since(self.taken_up_at))
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
