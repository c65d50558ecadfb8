//! The phases of a node's life.

use std::sync::Arc;
use std::time::Duration;

use base::Incarnation;
use tokio::sync::watch;
use tokio::time::Instant;

/// How far a graceful stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Work is taken.
    Serving,
    /// The address is withdrawn; accepted work goes on.
    Draining,
    /// All is handed over or finished.
    Ended,
}

/// Tells every task which phase the node is in. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    phase: Arc<watch::Sender<Phase>>,
    fenced: Arc<watch::Sender<bool>>,
    /// The run of the VM that this node is on, once the VM list has told it.
    vm: Arc<watch::Sender<Option<Incarnation>>>,
    /// When the VM is taken away, once a notice has told it.
    reclaim_at: Arc<watch::Sender<Option<Instant>>>,
}

impl Lifecycle {
    /// A node that serves.
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

    /// The present phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves on to `phase`; a phase never goes back.
    pub fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let forward = phase > *current;
            if forward {
                *current = phase;
            }
            forward
        });
    }

    /// Notes the run of the VM that this node is on.
    pub fn set_vm(&self, vm: Incarnation) {
        self.vm.send_replace(Some(vm));
    }

    /// Whether this is the run of the VM that this node is on.
    ///
    /// NB: a mark of an earlier VM of the same name is told for minutes after its end.
    pub fn is_vm(&self, vm: Incarnation) -> bool {
        *self.vm.borrow() == Some(vm)
    }

    /// The VM will be taken away, after this span if it is known: drain.
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

    /// When the VM is taken away, if that is known.
    pub fn reclaim_at(&self) -> Option<Instant> {
        *self.reclaim_at.borrow()
    }

    /// Says that this incarnation may have been declared gone.
    pub fn fence(&self) {
        self.fenced.send_replace(true);
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
