//! Moves of endpoints to other versions.

use std::sync::Arc;

use super::Holder;
use crate::Shared;

/// Carries out the operators' orders to move endpoints.
#[derive(Debug)]
pub(super) struct Mover {
    _shared: Arc<Shared>,
}

impl Mover {
    pub const fn new(shared: Arc<Shared>) -> Self {
        Self { _shared: shared }
    }

    /// Takes the next step of each move.
    #[expect(clippy::unused_async, reason = "placeholder until moves are carried out")]
    pub async fn tick(&mut self, _holder: &Holder) {}
}
