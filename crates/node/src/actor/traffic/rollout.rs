//! Rollouts on this node: shares, evidence and vetoes.

use bytes::Bytes;
use kameo::message::{Context, Message};

use super::Traffic;

/// A veto that a peer spread, encoded.
#[derive(Clone, Debug)]
pub struct Learned(pub Bytes);

impl Message<Learned> for Traffic {
    type Reply = ();

    async fn handle(&mut self, learned: Learned, _context: &mut Context<Self, Self::Reply>) {
        match wire::decode::<::rollout::Veto>(&learned.0) {
            Ok(veto) => self.split.veto(veto.rollout),
            Err(error) => log::warn!("veto dropped: {error}"),
        }
    }
}
