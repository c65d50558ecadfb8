//! One claimed key, as the log says.

use super::batch::ClaimId;
use super::clock::Point;
use crate::{Completion, Fingerprint};

/// A claim that was applied from the log.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub fingerprint: Fingerprint,
    pub id: ClaimId,
    /// The claim was not made after this point.
    pub claimed_at: Point,
    /// The sequence number that last stated it.
    pub sequence: u64,
    /// How its run ended, once known.
    pub completion: Option<Completion>,
    /// This node's own, and certain not to run: this node alone may claim it anew.
    pub abandoned: bool,
}

impl Claim {
    pub fn bytes(&self) -> usize {
        self.completion.as_ref().map_or(0, Completion::bytes)
    }
}
