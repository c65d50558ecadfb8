//! Lifecycle of a node.

use std::sync::Arc;
use std::time::Duration;

use base::Incarnation;
use tokio::sync::watch;
use tokio::time::Instant;

/// Phase of a node's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// New work is accepted.
    Serving,
    /// The address is withdrawn; accepted work continues.
    Draining,
    /// All work is finished or handed over.
    Ended,
}

/// Shares the node's phase among its tasks. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    phase: Arc<watch::Sender<Phase>>,
    fenced: Arc<watch::Sender<bool>>,
    /// Incarnation of the VM on which this node runs, once read from the VM list.
    vm: Arc<watch::Sender<Option<Incarnation>>>,
    /// When the VM will be reclaimed, once announced by a notice.
    reclaim_at: Arc<watch::Sender<Option<Instant>>>,
}

impl Lifecycle {
    /// Starts in [`Phase::Serving`].
    pub fn new() -> Self {
        let (phase, _receiver) = watch::channel(Phase::Serving);
        let (fenced, _receiver) = watch::channel(false);
        let (vm, _receiver) = watch::channel(None);
        let (reclaim_at, _receiver) = watch::channel(None);
        Self {
            phase: Arc::new(phase),
            fenced: Arc::new(fenced),
            vm: Arc::new(vm),
            reclaim_at: Arc::new(reclaim_at),
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Advances to `phase`; earlier phases are ignored.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let forward = phase > *current;
            if forward {
                *current = phase;
            }
            forward
        });
    }

    /// Sets the incarnation of the VM on which this node runs.
    pub fn set_vm(&self, vm: Incarnation) {
        self.vm.send_replace(Some(vm));
    }

    /// Whether this node runs on this VM incarnation.
    ///
    /// NB: marks of an earlier VM with the same name keep arriving by gossip for minutes after its end.
    pub fn is_vm(&self, vm: Incarnation) -> bool {
        *self.vm.borrow() == Some(vm)
    }

    /// Starts draining because the VM will be reclaimed, after `remaining` if that is known.
    pub fn begin_leaving(&self, remaining: Option<Duration>) {
        if let Some(remaining) = remaining {
            let at = Instant::now() + remaining;
            self.reclaim_at.send_if_modified(|known| {
                let sooner = known.is_none_or(|known| at < known);
                if sooner {
                    *known = Some(at);
                }
                sooner
            });
        }
        self.advance(Phase::Draining);
    }

    /// When the VM will be reclaimed, if known.
    pub fn reclaim_at(&self) -> Option<Instant> {
        *self.reclaim_at.borrow()
    }

    /// Marks this incarnation as possibly declared gone.
    pub fn fence(&self) {
        self.fenced.send_replace(true);
    }

    /// Whether this incarnation may have been declared gone.
    pub fn is_fenced(&self) -> bool {
        *self.fenced.borrow()
    }

    /// Waits until this incarnation may have been declared gone.
    pub async fn fenced(&self) {
        let mut receiver = self.fenced.subscribe();
        let _closed = receiver.wait_for(|fenced| *fenced).await;
    }

    /// Waits until `phase` is reached.
    pub async fn wait_for(&self, phase: Phase) {
        let mut receiver = self.phase.subscribe();
        let _closed = receiver.wait_for(|current| *current >= phase).await;
    }
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self::new()
    }
}
