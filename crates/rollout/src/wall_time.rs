//! Wall-clock time, for values that other processes read.

use base::Millis;
use serde::{Deserialize, Serialize};

/// Milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WallTime(pub u64);

impl WallTime {
    /// Time elapsed since `earlier`; zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// The time `span` after this one.
    pub const fn after(self, span: Millis) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}
