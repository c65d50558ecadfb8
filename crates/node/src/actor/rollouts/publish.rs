//! Publishes announcements to all nodes and sends evidence to the controllers.

use base::Name;
use bytes::Bytes;
use rollout::{Event, Stored, Summary, WallTime, summary};

use super::Rollouts;
use super::announcement::{Announcement, Holder};
use crate::actor::members::{Nodes, Publish};
use crate::actor::traffic::rollout::Summaries;
use crate::platform::rollout as platform;
use crate::shared::Shared;

impl Rollouts {
    pub(super) async fn repeat_announcements(&mut self, shared: &Shared, endpoint: &Name) {
        let now = self.now();
        let Some(slot) = self.slots.get(endpoint) else {
            return;
        };
        let Some(fence) = slot.role.active_fence(now) else {
            return;
        };
        let shares = slot.controller.stored().map(Stored::shares);
        let holder = Holder {
            node: self.incarnation,
            fence: fence.0,
        };
        self.holders.insert(endpoint.clone(), holder);
        self.publish(
            shared,
            Announcement::Holder {
                endpoint: endpoint.clone(),
                holder,
            },
        )
        .await;
        if let Some(shares) = shares {
            self.publish(shared, Announcement::Shares(shares)).await;
        }
    }

    pub(super) async fn publish(&self, shared: &Shared, announcement: Announcement) {
        const MILLIS_PER_SECOND: u64 = 1000;
        let Ok(bytes) = wire::encode(&announcement) else {
            return;
        };
        let WallTime(wall) = platform::wall_time();
        let message = Publish {
            id: announcement.id(),
            version: announcement.version(wall / MILLIS_PER_SECOND),
            report: Bytes::from(bytes),
        };
        let _gone = shared.members.tell(message).await;
    }

    pub(super) async fn handle_summary(&mut self, summary: Summary) {
        let running = self.slots.iter().find(|(_endpoint, slot)| {
            slot.controller
                .stored()
                .is_some_and(|stored| stored.record.plan.id == summary.rollout)
        });
        let Some(endpoint) = running.map(|(endpoint, _slot)| endpoint.clone()) else {
            return;
        };
        self.step_controller(&endpoint, Event::Reported(Box::new(summary)))
            .await;
    }

    /// Sends this node's evidence to the controllers.
    pub(super) async fn send_summaries(&mut self, shared: &Shared) {
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
                _own_or_unknown => {
                    self.step_controller(&endpoint, Event::Reported(Box::new(summary)))
                        .await;
                }
            }
        }
    }
}
