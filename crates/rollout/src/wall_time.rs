//! Wall-clock time, for what must be read by another process.

use base::Millis;
use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WallTime(pub u64);

impl WallTime {
    /// The span from `earlier` to this point; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// This point moved on by `span`.
    pub const fn after(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}
