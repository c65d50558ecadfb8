//! Requests in flight by start time.

use base::Millis;

use crate::{Arm, Share};

/// Number of slots in one hang threshold.
const SLOTS_PER_THRESHOLD: u64 = 8;
/// Number of slots kept, which covers twice the hang threshold.
const SLOTS: usize = 16;

/// Requests that started within one time slot and have not ended.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    in_flight: [u32; 2],
    /// Largest share at any of their draws. This can only understate the evidence, never overstate it.
    share: Share,
    hung: bool,
}

/// Requests that were found hung together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HungRequests {
    /// Arm of the requests.
    pub arm: Arm,
    /// Number of requests.
    pub requests: u32,
    /// Share of the new version at their draws.
    pub share: Share,
}

/// Counts the requests in flight on one route, in memory of fixed size.
#[derive(Clone, Debug)]
pub struct InFlight {
    slots: [Slot; SLOTS],
    threshold: Millis,
    slot_width: u64,
}

impl InFlight {
    /// Creates an empty count. Requests in flight for longer than `threshold` are hung.
    pub fn new(threshold: Millis) -> Self {
        let slot_width = (threshold.0 / SLOTS_PER_THRESHOLD).max(1);
        Self {
            slots: [Slot::default(); SLOTS],
            threshold,
            slot_width,
        }
    }

    /// Records the start of a request.
    pub const fn start(&mut self, now: Millis, arm: Arm, share: Share) {
        let number = now.0 / self.slot_width + 1;
        let slot = &mut self.slots[number as usize % SLOTS];
        if slot.number != number {
            *slot = Slot {
                number,
                in_flight: [0; 2],
                share,
                hung: false,
            };
        }
        slot.in_flight[arm as usize] += 1;
        if share.ppm() > slot.share.ppm() {
            slot.share = share;
        }
    }

    /// Records the end of a request that started at `started`, and returns whether it was already counted as
    /// hung.
    pub const fn end(&mut self, started: Millis, arm: Arm) -> bool {
        let number = started.0 / self.slot_width + 1;
        let slot = &mut self.slots[number as usize % SLOTS];
        if slot.number != number {
            return true;
        }
        let in_flight = &mut slot.in_flight[arm as usize];
        *in_flight = in_flight.saturating_sub(1);
        slot.hung
    }

    /// Returns the requests that have become hung since the last call.
    pub fn take_hung(&mut self, now: Millis) -> Vec<HungRequests> {
        let mut found = Vec::new();
        for slot in &mut self.slots {
            let end = Millis(slot.number.saturating_mul(self.slot_width));
            if slot.hung || slot.number == 0 || now.since(end) <= self.threshold {
                continue;
            }
            slot.hung = true;
            for arm in [Arm::Old, Arm::New] {
                let requests = slot.in_flight[arm as usize];
                if requests > 0 {
                    found.push(HungRequests {
                        arm,
                        requests,
                        share: slot.share,
                    });
                }
            }
        }
        found
    }

    /// Time after which a request counts as hung.
    pub const fn threshold(&self) -> Millis {
        self.threshold
    }
}
