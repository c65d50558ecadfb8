//! Requests in flight, by when they started.

use base::Millis;

use crate::{Arm, Share};

/// Slots a hang threshold is divided into.
const SLOTS_PER_THRESHOLD: u64 = 8;
/// Slots kept: requests are followed for twice the threshold.
const SLOTS: usize = 16;

/// Requests that started within one slot of time and have not ended.
#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    number: u64,
    in_flight: [u32; 2],
    /// The largest share at any of their draws, which makes the evidence smaller, never larger.
    share: Share,
    hung: bool,
}

/// Requests found hung together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HungRequests {
    /// The version.
    pub arm: Arm,
    /// How many.
    pub requests: u32,
    /// The new version's share at their draw.
    pub share: Share,
}

/// Counts requests in flight of one route; the memory is fixed whatever their number.
#[derive(Clone, Debug)]
pub struct InFlight {
    slots: [Slot; SLOTS],
    threshold: Millis,
    slot_width: u64,
}

impl InFlight {
    /// Requests in flight for longer than `threshold` are hung.
    pub fn new(threshold: Millis) -> Self {
        let slot_width = (threshold.0 / SLOTS_PER_THRESHOLD).max(1);
        Self {
            slots: [Slot::default(); SLOTS],
            threshold,
            slot_width,
        }
    }

    /// A request starts.
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

    /// A request that started at `started` ends; whether it was found hung before.
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

    /// Requests newly found hung.
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

    /// The time after which a request counts as hung.
    pub const fn threshold(&self) -> Millis {
        self.threshold
    }
}
