//! Comparison on suspicion: traffic goes back to the old version for a while.

use base::Millis;

use crate::guard::limits::Limits;
use crate::{Share, Signal};

/// Wait after a comparison that found nothing, before the next; doubles each time.
const FIRST_WAIT: Millis = Millis(1_000);
/// The longest such wait.
const LONGEST_WAIT: Millis = Millis(30_000);

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
    acquitted: bool,
    rest_until: Millis,
    rests: u32,
}

impl Probe {
    /// The evidence of `signal` came out in favour of the new version.
    pub fn acquit(&mut self, signal: Signal) {
        self.acquitted |= self.suspicion.is_some_and(|suspicion| suspicion.signal == signal);
    }

    /// Starts or ends the comparison, if there is cause.
    pub fn step(
        &mut self,
        now: Millis,
        suspect: Option<Signal>,
        share: Share,
        limits: &Limits,
    ) -> Option<Change> {
        let Some(suspicion) = self.suspicion else {
            let signal = suspect.filter(|_| share > limits.probe && now >= self.rest_until)?;
            self.suspicion = Some(Suspicion { since: now, signal });
            self.acquitted = false;
            return Some(Change::Hold(limits.probe));
        };
        if !self.acquitted && now.since(suspicion.since) < limits.probe_time {
            return None;
        }
        self.suspicion = None;
        self.rest_until = now + self.rest();
        self.rests += 1;
        Some(Change::Release)
    }

    fn rest(&self) -> Millis {
        let wait = FIRST_WAIT.0 << self.rests.min(10);
        Millis(wait).min(LONGEST_WAIT)
    }
}
