//! Effects of rollouts on this node's routing: shares, evidence and vetoes.

use base::{Millis, Name};
use bytes::Bytes;
use kameo::message::{Context, Message};
use rollout::guard::{Action, Event};
use rollout::{Id, Shares, Summary, Veto};

use super::{Evidence, Traffic};

/// Applies the shares of a rollout.
#[derive(Clone, Debug)]
pub struct Applied(pub Box<Shares>);

impl Message<Applied> for Traffic {
    type Reply = ();

    async fn handle(&mut self, applied: Applied, _context: &mut Context<Self, Self::Reply>) {
        if !self.split.apply((*applied.0).clone()) {
            return;
        }
        let shares = &applied.0;
        self.rollouts.insert(shares.endpoint.clone(), shares.rollout);
        let percent = shares.default_share.fraction() * 100.0;
        log::info!(
            "rollout {} of {}: {:?}, share {percent}%",
            shares.rollout,
            shares.endpoint,
            shares.stage
        );
        self.step_guard(Event::Applied(applied.0));
    }
}

/// Encoded veto received from a peer by gossip.
#[derive(Clone, Debug)]
pub struct PeerVeto(pub Bytes);

impl Message<PeerVeto> for Traffic {
    type Reply = ();

    async fn handle(&mut self, veto: PeerVeto, _context: &mut Context<Self, Self::Reply>) {
        match wire::decode::<Veto>(&veto.0) {
            Ok(veto) => self.veto(&veto),
            Err(error) => log::warn!("dropped a malformed veto: {error}"),
        }
    }
}

/// Veto by the rollout controller on this node.
#[derive(Clone, Debug)]
pub struct ControllerVeto(pub Veto);

impl Message<ControllerVeto> for Traffic {
    type Reply = ();

    async fn handle(&mut self, veto: ControllerVeto, _context: &mut Context<Self, Self::Reply>) {
        self.veto(&veto.0);
    }
}

/// Queries this node's evidence on each rollout.
#[derive(Clone, Copy, Debug)]
pub struct Summaries;

impl Message<Summaries> for Traffic {
    type Reply = Vec<(Name, Summary)>;

    async fn handle(
        &mut self,
        _summaries: Summaries,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let rollouts: Vec<(Name, Id)> = self
            .rollouts
            .iter()
            .map(|(endpoint, rollout)| (endpoint.clone(), *rollout))
            .collect();
        rollouts
            .into_iter()
            .map(|(endpoint, rollout)| (endpoint, self.guard.summary(rollout)))
            .collect()
    }
}

impl Traffic {
    /// Sets the version's share on this node to zero, immediately and permanently.
    fn veto(&mut self, veto: &Veto) {
        self.split.veto(veto.rollout);
        self.step_guard(Event::Vetoed(veto.rollout));
    }

    pub(super) fn step_guard(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.guard.step(now, event) {
            match action {
                Action::Veto(veto) => self.veto_locally(*veto),
                Action::Cap { rollout, route, cap } => self.split.cap(rollout, &route, cap),
            }
        }
    }

    fn veto_locally(&mut self, veto: Veto) {
        metrics::counter!("bilberrylatch_vetoes_total").increment(1);
        log::warn!(
            "vetoed version {} of {} on evidence of this node: {:?}",
            veto.version,
            veto.endpoint,
            veto.evidence
        );
        self.split.veto(veto.rollout);
        // If the queue is full, the controller still learns about this failure from the evidence.
        let _full = self.vetoes.try_send(veto);
    }

    /// Records the start of a dispatch to the chosen version.
    pub(super) fn record_start(&mut self, evidence: &Evidence) {
        self.step_guard(Event::Started {
            endpoint: evidence.endpoint.clone(),
            route: evidence.route.clone(),
            assignment: evidence.assignment,
        });
    }

    /// Records the end of a dispatch to the chosen version.
    pub(super) fn record_end(&mut self, evidence: Evidence, started: Millis, failed: bool) {
        self.step_guard(Event::Finished {
            endpoint: evidence.endpoint,
            route: evidence.route,
            assignment: evidence.assignment,
            started,
            failed,
        });
    }
}
