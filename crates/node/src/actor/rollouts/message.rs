//! Messages of platform, peers and time, and what follows from them.

use base::{Millis, Name};
use bytes::Bytes;
use kameo::message::{Context, Message};
use member::node::State;
use member::role::{self, rank};
use rollout::event::StoreResult;
use rollout::{Action, Event, Stored, Summary, Veto, Wall, summary};

use super::announcement::{Announcement, Holder};
use super::{ANNOUNCE_TICKS, Lease, Reply, Rollouts};
use crate::actor::members::{Nodes, Spread, Veto as SpreadVeto};
use crate::actor::traffic::rollout::{Applied, Summaries, VetoedElsewhere};
use crate::platform::rollout as platform;
use crate::shared::Shared;

/// Time passed.
#[derive(Clone, Copy, Debug)]
pub struct Tick;

impl Message<Tick> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, _tick: Tick, _context: &mut Context<Self, Self::Reply>) {
        let Some(shared) = self.shared() else { return };
        self.ticks = self.ticks.wrapping_add(1);
        self.reconcile(&shared);
        let endpoints: Vec<Name> = self.seats.keys().cloned().collect();
        self.rank_all(&shared, &endpoints).await;
        for endpoint in &endpoints {
            self.role_step(endpoint, role::Event::Tick).await;
            self.control(endpoint, Event::Tick).await;
            if self.ticks.is_multiple_of(ANNOUNCE_TICKS) {
                self.announce_again(&shared, endpoint).await;
            }
        }
        if self.now() >= self.next_report {
            self.send_summaries(&shared).await;
        }
    }
}

/// The node's lease was granted or renewed.
#[derive(Clone, Copy, Debug)]
pub struct Leased {
    /// The lease.
    pub lease: role::Lease,
    /// Its end on the own clock, reckoned from when the request was sent.
    pub until: Millis,
}

impl Message<Leased> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, leased: Leased, _context: &mut Context<Self, Self::Reply>) {
        let Leased { lease, until } = leased;
        self.lease = Some(Lease { lease, until });
        let endpoints: Vec<Name> = self.seats.keys().cloned().collect();
        for endpoint in endpoints {
            self.role_step(&endpoint, role::Event::Leased { lease, until })
                .await;
        }
    }
}

/// A role's record was read; none if the read failed.
#[derive(Clone, Copy, Debug)]
pub struct RoleReading(pub Option<Option<role::Observed>>);

/// A role's record was read.
#[derive(Clone, Debug)]
pub struct RoleRead {
    /// The endpoint.
    pub endpoint: Name,
    /// What was read.
    pub reading: RoleReading,
}

impl Message<RoleRead> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, read: RoleRead, _context: &mut Context<Self, Self::Reply>) {
        let event = match read.reading.0 {
            Some(observed) => role::Event::Read(observed),
            None => role::Event::ReadFailed,
        };
        self.role_step(&read.endpoint, event).await;
    }
}

/// A role's record was to be swapped.
#[derive(Clone, Debug)]
pub struct RoleWritten {
    /// The endpoint.
    pub endpoint: Name,
    /// The outcome.
    pub event: role::Event,
}

impl Message<RoleWritten> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, written: RoleWritten, _context: &mut Context<Self, Self::Reply>) {
        self.role_step(&written.endpoint, written.event).await;
    }
}

/// A rollout's record was read back; none if the platform was not reached.
#[derive(Clone, Debug)]
pub struct RolloutRead {
    /// The endpoint.
    pub endpoint: Name,
    /// What was read.
    pub stored: Option<Option<Box<Stored>>>,
    /// Whether the role was just taken up with this fencing number.
    pub acquired: Option<u64>,
}

impl Message<RolloutRead> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, read: RolloutRead, _context: &mut Context<Self, Self::Reply>) {
        let event = match (read.stored, read.acquired) {
            (Some(stored), Some(fence)) => Event::Acquired {
                fence,
                stored,
                wall: platform::wall(),
            },
            (Some(stored), None) => Event::Loaded(stored),
            (None, None) => Event::Unloaded,
            (None, Some(_fence)) => {
                // Read again with the next tick.
                if let Some(seat) = self.seats.get_mut(&read.endpoint) {
                    seat.acting = false;
                }
                return;
            }
        };
        self.control(&read.endpoint, event).await;
    }
}

/// A rollout's record was to be written.
#[derive(Clone, Debug)]
pub struct RolloutWritten {
    /// The endpoint.
    pub endpoint: Name,
    /// The outcome.
    pub result: StoreResult,
}

impl Message<RolloutWritten> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, written: RolloutWritten, _context: &mut Context<Self, Self::Reply>) {
        self.control(&written.endpoint, Event::Stored(written.result))
            .await;
    }
}

/// A node's evidence, encoded.
#[derive(Clone, Debug)]
pub struct Report(pub Bytes);

impl Message<Report> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, report: Report, _context: &mut Context<Self, Self::Reply>) {
        match wire::decode::<Summary>(&report.0) {
            Ok(summary) => self.report(summary).await,
            Err(error) => log::warn!("evidence dropped: {error}"),
        }
    }
}

/// A veto, of this node or a peer.
#[derive(Clone, Debug)]
pub struct Vetoed(pub Box<Veto>);

impl Message<Vetoed> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, vetoed: Vetoed, _context: &mut Context<Self, Self::Reply>) {
        let endpoint = vetoed.0.endpoint.clone();
        self.control(&endpoint, Event::Vetoed(vetoed.0)).await;
    }
}

/// An announcement that gossip brought, encoded.
#[derive(Clone, Debug)]
pub struct Announced(pub Bytes);

impl Message<Announced> for Rollouts {
    type Reply = ();

    async fn handle(&mut self, announced: Announced, _context: &mut Context<Self, Self::Reply>) {
        match wire::decode(&announced.0) {
            Ok(Announcement::Shares(shares)) => {
                let _gone = self.traffic.tell(Applied(Box::new(shares))).await;
            }
            Ok(Announcement::Holder { endpoint, holder }) => {
                let known = self.holders.get(&endpoint).map_or(0, |known| known.fence);
                if holder.fence >= known {
                    self.holders.insert(endpoint, holder);
                }
            }
            // The members keep those.
            Ok(Announcement::Heir { .. }) => {}
            Err(error) => log::warn!("announcement dropped: {error}"),
        }
    }
}

impl Rollouts {
    /// Tells every role this node's place among the candidates.
    async fn rank_all(&mut self, shared: &Shared, endpoints: &[Name]) {
        let Ok(nodes) = shared.members.ask(Nodes).await else {
            return;
        };
        let alive: Vec<_> = nodes
            .iter()
            .filter(|node| node.state == State::Alive)
            .map(|node| node.incarnation)
            .collect();
        let lease = self.lease;
        for endpoint in endpoints {
            let role = Name::new(format!("controller/{endpoint}"));
            let place = rank(&role, self.incarnation, alive.iter().copied());
            self.role_step(endpoint, role::Event::Rank(place)).await;
            if let Some(Lease { lease, until }) = lease {
                self.role_step(endpoint, role::Event::Leased { lease, until })
                    .await;
            }
        }
    }

    async fn role_step(&mut self, endpoint: &Name, event: role::Event) {
        let now = self.now();
        let (Some(shared), Some(seat)) = (self.shared(), self.seats.get_mut(endpoint)) else {
            return;
        };
        let actions = seat.role.step(now, event);
        if seat.role.is_held() && !seat.acting && seat.role.may_act(now).is_some() {
            seat.acting = true;
            let fence = seat.role.may_act(now).map(|fence| fence.0);
            platform::load(shared.clone(), self.this.clone(), endpoint.clone(), fence);
        }
        for action in actions {
            self.carry_role(&shared, endpoint, action).await;
        }
    }

    async fn carry_role(&mut self, shared: &Shared, endpoint: &Name, action: role::Action) {
        match action {
            role::Action::Read => platform::read_role(shared.clone(), self.this.clone(), endpoint.clone()),
            role::Action::Swap { expect, record } => {
                platform::swap_role(
                    shared.clone(),
                    self.this.clone(),
                    endpoint.clone(),
                    expect,
                    record,
                );
            }
            role::Action::Held { fence, .. } => {
                log::info!("controls rollouts of {endpoint} with fencing number {}", fence.0);
            }
            role::Action::Ended(fence) => {
                log::info!(
                    "no longer controls rollouts of {endpoint} (fencing number {})",
                    fence.0
                );
                if let Some(seat) = self.seats.get_mut(endpoint) {
                    seat.acting = false;
                }
                self.control(endpoint, Event::Released).await;
            }
        }
    }

    /// Steps an endpoint's controller and carries its actions out.
    pub(super) async fn control(&mut self, endpoint: &Name, event: Event) {
        let now = self.now();
        let (Some(shared), Some(seat)) = (self.shared(), self.seats.get_mut(endpoint)) else {
            return;
        };
        let actions = seat.controller.step(now, event);
        for action in actions {
            self.carry(&shared, endpoint, action).await;
        }
    }

    async fn carry(&mut self, shared: &Shared, endpoint: &Name, action: Action) {
        match action {
            Action::Store { record, expected } => {
                platform::store(
                    shared.clone(),
                    self.this.clone(),
                    endpoint.clone(),
                    record,
                    expected,
                );
            }
            Action::Load => platform::load(shared.clone(), self.this.clone(), endpoint.clone(), None),
            Action::Announce(shares) => {
                self.spread(shared, Announcement::Shares((*shares).clone())).await;
                let _gone = self.traffic.tell(Applied(shares)).await;
            }
            Action::Veto(veto) => {
                let _gone = self.traffic.tell(VetoedElsewhere((*veto).clone())).await;
                let _gone = shared.members.tell(SpreadVeto::new(&veto)).await;
            }
            Action::Accept(id) => self.reply(endpoint, id, Reply::Accepted(id)),
            Action::Refuse { rollout, refusal } => self.reply(endpoint, rollout, Reply::Refused(refusal)),
            Action::Tell { rollout, verdict } => {
                metrics::counter!("bilberrylatch_rollouts_ended_total").increment(1);
                log::info!("rollout {rollout} of {endpoint} ended: {verdict:?}");
            }
            Action::Late(veto) => {
                metrics::counter!("bilberrylatch_rollouts_late_vetoes_total").increment(1);
                log::error!(
                    "version {} of {endpoint} was done and is found bad: declare the way back",
                    veto.version
                );
            }
        }
    }

    fn reply(&mut self, endpoint: &Name, id: rollout::Id, reply: Reply) {
        if let Some(seat) = self.seats.get_mut(endpoint) {
            seat.answer(id, reply);
        }
    }

    async fn announce_again(&mut self, shared: &Shared, endpoint: &Name) {
        let now = self.now();
        let Some(seat) = self.seats.get(endpoint) else {
            return;
        };
        let Some(fence) = seat.role.may_act(now) else {
            return;
        };
        let shares = seat.controller.stored().map(Stored::shares);
        let holder = Holder {
            node: self.incarnation,
            fence: fence.0,
        };
        self.holders.insert(endpoint.clone(), holder);
        self.spread(
            shared,
            Announcement::Holder {
                endpoint: endpoint.clone(),
                holder,
            },
        )
        .await;
        if let Some(shares) = shares {
            self.spread(shared, Announcement::Shares(shares)).await;
        }
    }

    async fn spread(&self, shared: &Shared, announcement: Announcement) {
        const MILLIS_A_SECOND: u64 = 1000;
        let Ok(bytes) = wire::encode(&announcement) else {
            return;
        };
        let Wall(wall) = platform::wall();
        let spread = Spread {
            id: announcement.id(),
            version: announcement.version(wall / MILLIS_A_SECOND),
            report: Bytes::from(bytes),
        };
        let _gone = shared.members.tell(spread).await;
    }

    async fn report(&mut self, summary: Summary) {
        let running = self.seats.iter().find(|(_endpoint, seat)| {
            seat.controller
                .stored()
                .is_some_and(|stored| stored.record.plan.id == summary.rollout)
        });
        let Some(endpoint) = running.map(|(endpoint, _seat)| endpoint.clone()) else {
            return;
        };
        self.control(&endpoint, Event::Reported(Box::new(summary))).await;
    }

    /// Sends this node's evidence to the controllers.
    async fn send_summaries(&mut self, shared: &Shared) {
        let nodes = shared
            .members
            .ask(Nodes)
            .await
            .map_or(1, |nodes| nodes.len() as u32);
        self.next_report = self.now() + summary::interval(nodes);
        let Ok(summaries) = self.traffic.ask(Summaries).await else {
            return;
        };
        for (endpoint, summary) in summaries {
            match self.holders.get(&endpoint) {
                Some(holder) if holder.node != self.incarnation => {
                    platform::send_summary(shared.clone(), *holder, &summary);
                }
                _own_or_unknown => self.control(&endpoint, Event::Reported(Box::new(summary))).await,
            }
        }
    }
}
