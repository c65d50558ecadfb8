//! Steps the roles, which decide the node that controls an endpoint's rollouts.

use base::Name;
use member::node::State;
use member::role::{self, rank};
use rollout::Event;

use super::{Lease, Rollouts};
use crate::actor::members::Nodes;
use crate::platform::rollout as platform;
use crate::shared::Shared;

impl Rollouts {
    /// Updates every role with this node's rank among the candidates, and with its lease.
    pub(super) async fn rank_all(&mut self, shared: &Shared, endpoints: &[Name]) {
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
            let own_rank = rank(&role, self.incarnation, alive.iter().copied());
            self.step_role(endpoint, role::Event::Rank(own_rank)).await;
            if let Some(Lease { lease, until }) = lease {
                self.step_role(endpoint, role::Event::Leased { lease, until })
                    .await;
            }
        }
    }

    pub(super) async fn step_role(&mut self, endpoint: &Name, event: role::Event) {
        let now = self.now();
        let (Some(shared), Some(slot)) = (self.shared(), self.slots.get_mut(endpoint)) else {
            return;
        };
        let actions = slot.role.step(now, event);
        if slot.role.is_held() && !slot.activated && slot.role.active_fence(now).is_some() {
            slot.activated = true;
            let fence = slot.role.active_fence(now).map(|fence| fence.0);
            platform::load_rollout(shared.clone(), self.self_ref.clone(), endpoint.clone(), fence);
        }
        for action in actions {
            self.perform_role(&shared, endpoint, action).await;
        }
    }

    pub(super) async fn perform_role(&mut self, shared: &Shared, endpoint: &Name, action: role::Action) {
        match action {
            role::Action::Read => {
                platform::read_role(shared.clone(), self.self_ref.clone(), endpoint.clone());
            }
            role::Action::Swap { expect, record } => {
                platform::swap_role(
                    shared.clone(),
                    self.self_ref.clone(),
                    endpoint.clone(),
                    expect,
                    record,
                );
            }
            role::Action::Acquired { fence, .. } => {
                log::info!(
                    "this node now controls rollouts of {endpoint} (fencing number {})",
                    fence.0
                );
            }
            role::Action::Ended(fence) => {
                log::info!(
                    "this node no longer controls rollouts of {endpoint} (fencing number {})",
                    fence.0
                );
                if let Some(slot) = self.slots.get_mut(endpoint) {
                    slot.activated = false;
                }
                self.step_controller(endpoint, Event::Released).await;
            }
        }
    }
}
