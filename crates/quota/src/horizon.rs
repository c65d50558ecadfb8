//! Usage windows that may have been reported with counts that are lost.

/// Up to which window counts that are not recorded may have been reported, as a record of counts tells.
///
/// Load pattern: the store is restored from a copy right after a report, and all processes that knew its counts are gone. A
/// window that was due by then must not be reported again, since the counts that are left are older ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Horizon {
    /// Era of the store in which the record was last written; `None` if that is not known.
    pub era: Option<u64>,
    /// Windows before this one may have been reported.
    pub before: u64,
}

impl Horizon {
    /// The horizon of a record that is read in an era. Windows before `due` were due when the reader noticed that era.
    #[must_use]
    pub fn read_in(self, era: u64, due: u64) -> Self {
        let was_restored = self.era.is_some_and(|written| written < era);
        Self {
            era: Some(era),
            before: if was_restored {
                self.before.max(due)
            } else {
                self.before
            },
        }
    }

    /// Whether a window that is not recorded may have been reported.
    pub const fn covers(&self, window: u64) -> bool {
        window < self.before
    }
}
