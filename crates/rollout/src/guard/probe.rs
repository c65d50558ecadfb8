//! Probes: checking a suspicion by moving traffic back to the old version for a while.

use base::Millis;

use crate::guard::settings::Settings;
use crate::{Share, Signal};

/// Delay before the next probe after one that found nothing; doubles each time.
const MIN_BACKOFF: Millis = Millis(1_000);
/// Upper limit of that delay.
const MAX_BACKOFF: Millis = Millis(30_000);

/// Change of the share limit at the start or end of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Limit the new version to this share.
    Hold(Share),
    /// Return to the announced share.
    Release,
}

/// The suspected signal and the start of its probe.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Millis,
    signal: Signal,
}

/// State of the probe on one route.
///
/// When the new version has nearly all traffic, there are hardly any requests to compare it with, and a
/// general slowdown looks like a bad version. The old version is known to be good, so giving it most of the
/// traffic for a few seconds is safe and distinguishes the two cases.
#[derive(Clone, Copy, Debug, Default)]
pub struct Probe {
    suspicion: Option<Suspicion>,
    cleared: bool,
    backoff_until: Millis,
    backoffs: u32,
}

impl Probe {
    /// Clears a suspicion of `signal`: the evidence favors the new version.
    pub fn clear_suspicion(&mut self, signal: Signal) {
        self.cleared |= self.suspicion.is_some_and(|suspicion| suspicion.signal == signal);
    }

    /// Starts a probe of the suspected signal or ends the current one, if it is time to.
    pub fn step(
        &mut self,
        now: Millis,
        suspected: Option<Signal>,
        share: Share,
        settings: &Settings,
    ) -> Option<Change> {
        let Some(suspicion) = self.suspicion else {
            let signal = suspected.filter(|_| share > settings.probe_share && now >= self.backoff_until)?;
            self.suspicion = Some(Suspicion { since: now, signal });
            self.cleared = false;
            return Some(Change::Hold(settings.probe_share));
        };
        if !self.cleared && now.since(suspicion.since) < settings.probe_timeout {
            return None;
        }
        self.suspicion = None;
        self.backoff_until = now + self.backoff();
        self.backoffs += 1;
        Some(Change::Release)
    }

    fn backoff(&self) -> Millis {
        let backoff = MIN_BACKOFF.0 << self.backoffs.min(10);
        Millis(backoff).min(MAX_BACKOFF)
    }
}
