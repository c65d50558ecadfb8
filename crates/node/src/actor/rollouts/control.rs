//! Steps the rollout controllers and performs their actions.

use base::Name;
use rollout::{Action, Event};

use super::announcement::Announcement;
use super::{Reply, Rollouts};
use crate::actor::members::Veto as PublishVeto;
use crate::actor::traffic::rollout::{Applied, ControllerVeto};
use crate::platform::rollout as platform;
use crate::shared::Shared;

impl Rollouts {
    /// Steps an endpoint's controller and performs its actions.
    pub(super) async fn step_controller(&mut self, endpoint: &Name, event: Event) {
        let now = self.now();
        let (Some(shared), Some(slot)) = (self.shared(), self.slots.get_mut(endpoint)) else {
            return;
        };
        let actions = slot.controller.step(now, event);
        for action in actions {
            self.perform(&shared, endpoint, action).await;
        }
    }

    pub(super) async fn perform(&mut self, shared: &Shared, endpoint: &Name, action: Action) {
        match action {
            Action::Store { record, expected } => {
                platform::store_rollout(
                    shared.clone(),
                    self.self_ref.clone(),
                    endpoint.clone(),
                    record,
                    expected,
                );
            }
            Action::Load => {
                platform::load_rollout(shared.clone(), self.self_ref.clone(), endpoint.clone(), None);
            }
            Action::Announce(shares) => {
                self.publish(shared, Announcement::Shares((*shares).clone()))
                    .await;
                let _gone = self.traffic.tell(Applied(shares)).await;
            }
            Action::Veto(veto) => {
                let _gone = self.traffic.tell(ControllerVeto((*veto).clone())).await;
                let _gone = shared.members.tell(PublishVeto::new(&veto)).await;
            }
            Action::Accept(id) => self.reply(endpoint, id, Reply::Accepted(id)),
            Action::Refuse { rollout, refusal } => self.reply(endpoint, rollout, Reply::Refused(refusal)),
            Action::NotifyEnded { rollout, verdict } => {
                metrics::counter!("bilberrylatch_rollouts_ended_total").increment(1);
                log::info!("rollout {rollout} of {endpoint} ended: {verdict:?}");
            }
            Action::NotifyLateVeto(veto) => {
                metrics::counter!("bilberrylatch_rollouts_late_vetoes_total").increment(1);
                log::error!(
                    "version {} of {endpoint} was vetoed after its rollout completed; start a rollout back",
                    veto.version
                );
            }
        }
    }

    pub(super) fn reply(&mut self, endpoint: &Name, id: rollout::Id, reply: Reply) {
        if let Some(slot) = self.slots.get_mut(endpoint) {
            slot.answer(id, reply);
        }
    }
}
