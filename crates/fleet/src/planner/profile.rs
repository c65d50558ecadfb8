//! Load profile over the day, learned from earlier days.

use base::Millis;

/// Number of slots in a day; each covers five minutes.
const SLOTS: usize = 288;
const SLOT_MS: u64 = 86_400_000 / SLOTS as u64;
/// Weight of the newest day in the moving average, in percent.
const NEWEST_DAY_WEIGHT: u64 = 50;

/// Peak load in each slot of the day, as an exponential moving average over days.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Profile {
    slots: Vec<u64>,
    current_slot: usize,
    slot_peak: u64,
}

impl Default for Profile {
    fn default() -> Self {
        Self::new()
    }
}

impl Profile {
    /// Creates a profile without data of earlier days.
    pub fn new() -> Self {
        Self {
            slots: vec![0; SLOTS],
            current_slot: 0,
            slot_peak: 0,
        }
    }

    /// Records the load at a time since midnight.
    pub fn record(&mut self, time_of_day: Millis, load: u64) {
        let slot = slot(time_of_day);
        if slot != self.current_slot {
            self.close_slot();
            self.current_slot = slot;
        }
        self.slot_peak = self.slot_peak.max(load);
    }

    /// Returns the highest load expected from `time_of_day` until `lead_time` later.
    pub fn peak(&self, time_of_day: Millis, lead_time: Millis) -> u64 {
        let first = slot(time_of_day);
        let count = slot(time_of_day + lead_time) + SLOTS - first;
        let slots = (0..=count % SLOTS).map(|step| self.slots[(first + step) % SLOTS]);
        slots.max().unwrap_or(0)
    }

    fn close_slot(&mut self) {
        let expected = &mut self.slots[self.current_slot];
        *expected = if *expected == 0 {
            self.slot_peak
        } else {
            (*expected * (100 - NEWEST_DAY_WEIGHT) + self.slot_peak * NEWEST_DAY_WEIGHT).div_ceil(100)
        };
        self.slot_peak = 0;
    }
}

fn slot(time_of_day: Millis) -> usize {
    (time_of_day.0 / SLOT_MS) as usize % SLOTS
}
