//! Timers of periodic tasks.

use base::Millis;

/// When each periodic task is due next.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timers {
    pub(super) heartbeat: Millis,
    pub(super) exchange: Millis,
    pub(super) report: Millis,
    pub(super) expiry: Millis,
    pub(super) majority: Millis,
    pub(super) collect: Millis,
}
