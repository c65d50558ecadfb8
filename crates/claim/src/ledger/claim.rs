//! One claimed key, as the log says.

use super::batch::Ticket;
use super::clock::Point;
use crate::{Fate, Fingerprint};

/// A claim that was applied from the log.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub fingerprint: Fingerprint,
    pub ticket: Ticket,
    /// The claim was not made after this point.
    pub at: Point,
    /// The sequence number that last stated it.
    pub sequence: u64,
    /// How its run ended, once known.
    pub fate: Option<Fate>,
    /// This node's own, and certain not to run: this node alone may claim it anew.
    pub idle: bool,
}

impl Claim {
    pub fn bytes(&self) -> usize {
        self.fate.as_ref().map_or(0, Fate::bytes)
    }
}
