//! A lease's state.

use base::Millis;

/// A lease that lapses at its deadline.
#[derive(Clone, Debug)]
pub struct Lease {
    /// Span from each renewal.
    pub ttl: Millis,
    /// Point of the lapse.
    pub deadline: Millis,
}
