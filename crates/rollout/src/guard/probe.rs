//! Comparison on suspicion: traffic goes back to the old version for a while.

use base::Millis;

use crate::guard::config::Config;
use crate::{Share, Signal};

/// Wait after a comparison that found nothing, before the next; doubles each time.
const MIN_BACKOFF: Millis = Millis(1_000);
/// The longest such wait.
const MAX_BACKOFF: Millis = Millis(30_000);

/// What a comparison on suspicion changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Hold the new version's share at this.
    Hold(Share),
    /// Let the share go back to what was announced.
    Release,
}

/// What is suspected, and since when.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    since: Millis,
    signal: Signal,
}

/// Where a comparison on suspicion stands.
///
/// When the new version has nearly all traffic, hardly a request is left to compare it with, and a general
/// slowdown looks like a bad version. The old one is known to be good, so giving it most of the traffic for a
/// few seconds is safe and tells the two apart.
#[derive(Clone, Copy, Debug, Default)]
pub struct Probe {
    suspicion: Option<Suspicion>,
    cleared: bool,
    backoff_until: Millis,
    backoffs: u32,
}

impl Probe {
    /// The evidence of `signal` came out in favour of the new version.
    pub fn clear_suspicion(&mut self, signal: Signal) {
        self.cleared |= self.suspicion.is_some_and(|suspicion| suspicion.signal == signal);
    }

    /// Starts or ends the comparison, if there is cause.
    pub fn step(
        &mut self,
        now: Millis,
        suspected: Option<Signal>,
        share: Share,
        config: &Config,
    ) -> Option<Change> {
        let Some(suspicion) = self.suspicion else {
            let signal = suspected.filter(|_| share > config.probe_share && now >= self.backoff_until)?;
            self.suspicion = Some(Suspicion { since: now, signal });
            self.cleared = false;
            return Some(Change::Hold(config.probe_share));
        };
        if !self.cleared && now.since(suspicion.since) < config.probe_timeout {
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
