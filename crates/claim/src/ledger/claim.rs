//! State of one claimed key.

use super::batch::ClaimId;
use super::clock::Point;
use crate::{Completion, Fingerprint};

/// A claim applied from the log.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub fingerprint: Fingerprint,
    pub id: ClaimId,
    /// The claim was made at or before this point.
    pub claimed_at: Point,
    /// Sequence number of the last batch that contains the claim.
    pub sequence: u64,
    /// Result of its run, once known.
    pub completion: Option<Completion>,
    /// The claim is this node's own and certain never to run. Only this node may claim the key again.
    pub abandoned: bool,
}

impl Claim {
    pub fn bytes(&self) -> usize {
        self.completion.as_ref().map_or(0, Completion::bytes)
    }
}
