//! The load over the day, as earlier days showed it.

use base::Millis;

/// Slots of a day.
const SLOTS: usize = 288;
/// Length of a slot, in milliseconds.
const SLOT: u64 = 86_400_000 / SLOTS as u64;
/// Weight of the newest day, in hundredths.
const NEWEST: u64 = 50;

/// The highest load in each five minutes: a mean over days that forgets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shape {
    slots: Vec<u64>,
    current: usize,
    highest: u64,
}

impl Default for Shape {
    fn default() -> Self {
        Self::new()
    }
}

impl Shape {
    /// Nothing is known of earlier days.
    pub fn new() -> Self {
        Self {
            slots: vec![0; SLOTS],
            current: 0,
            highest: 0,
        }
    }

    /// Notes the load at a time since midnight.
    pub fn note(&mut self, time: Millis, load: u64) {
        let slot = slot(time);
        if slot != self.current {
            self.close();
            self.current = slot;
        }
        self.highest = self.highest.max(load);
    }

    /// The highest load expected from `time` until `lead` later.
    pub fn most(&self, time: Millis, lead: Millis) -> u64 {
        let first = slot(time);
        let count = slot(time + lead) + SLOTS - first;
        let slots = (0..=count % SLOTS).map(|step| self.slots[(first + step) % SLOTS]);
        slots.max().unwrap_or(0)
    }

    fn close(&mut self) {
        let known = &mut self.slots[self.current];
        *known = if *known == 0 {
            self.highest
        } else {
            (*known * (100 - NEWEST) + self.highest * NEWEST).div_ceil(100)
        };
        self.highest = 0;
    }
}

fn slot(time: Millis) -> usize {
    (time.0 / SLOT) as usize % SLOTS
}
