//! The switch that every connection of one server hangs on.

use std::sync::{Arc, Mutex, PoisonError, Weak};

use tokio::sync::Notify;
use tokio::time::Instant;

use super::Link;

/// State of one server's port.
#[derive(Debug, Default)]
pub struct Gate {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    refused_until: Option<Instant>,
    links: Vec<Weak<Link>>,
}

impl Gate {
    /// Links kept before the dead ones are swept out.
    const SWEEP: usize = 256;

    /// Cuts all connections and refuses new ones until `until`.
    pub fn refuse(&self, until: Instant) {
        self.lock().refused_until = Some(until);
        self.cut();
        self.changed.notify_waiters();
    }

    /// The end of the refusal, if connections are refused now.
    pub fn refused_until(&self) -> Option<Instant> {
        self.lock().refused_until.filter(|until| Instant::now() < *until)
    }

    /// Cuts all open connections.
    pub fn cut(&self) {
        let links = std::mem::take(&mut self.lock().links);
        for link in links.iter().filter_map(Weak::upgrade) {
            link.cut();
        }
    }

    /// Waits for the next refusal.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    pub(crate) fn link(&self) -> Arc<Link> {
        let link = Arc::new(Link::default());
        let mut state = self.lock();
        if state.links.len() >= Self::SWEEP {
            state.links.retain(|link| link.strong_count() > 0);
        }
        state.links.push(Arc::downgrade(&link));
        link
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
