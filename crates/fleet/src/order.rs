//! Orders for replicas of one kind in a zone.
//!
//! Load pattern: a zone's replicas are reclaimed shortly after they were ordered. They are ordered again at once; waiting
//! for the boot time of the last order costs as many seconds of the time before the next zone is lost.

use base::Millis;

/// Time beyond the boot time after which an order without effect is sent again.
const EFFECT_MARGIN: Millis = Millis(2_500);

/// The last order.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    /// Accepted count; `None` if the order was rejected or received no response.
    pub accepted: Option<u32>,
    /// Highest number of ready replicas seen since it was sent.
    pub seen: u32,
    /// When it was sent.
    pub sent_at: Millis,
    /// Earliest time of the next order.
    pub not_before: Millis,
    /// When the cloud last reported that the zone is sold out.
    pub sold_out_at: Option<Millis>,
}

impl Order {
    /// Whether another order is needed to get from `have` ready replicas to `want`.
    ///
    /// An accepted order is not repeated while its replicas boot, unless some that were ready are gone.
    pub fn is_due(&self, now: Millis, have: u32, want: u32, boot_time: Millis) -> bool {
        if now < self.not_before {
            return false;
        }
        match self.accepted {
            Some(accepted) if accepted == want => {
                let is_lost = have < want.min(self.seen);
                let is_overdue = now.since(self.sent_at) > boot_time + EFFECT_MARGIN;
                have != want && (is_lost || is_overdue)
            }
            Some(_other) => true,
            None => have != want,
        }
    }

    /// Whether an order may be sent. While a version is rolled out, orders only add replicas.
    ///
    /// Load pattern: the replicas of a new version start beside those of the old one, more than the load needs. An order
    /// for what it needs would drop them, and the rollout would be judged by hardly any requests.
    pub const fn is_allowed(have: u32, want: u32, is_rolling_out: bool) -> bool {
        !is_rolling_out || want > have
    }
}
