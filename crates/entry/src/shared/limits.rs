//! Limits that all nodes share: workspaces' tokens and repeated dispatches.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{Incarnation, Millis};
use indexmap::IndexSet;
use place::PeerReport;
use quota::{LimitSettings, Limiter, RetryPolicy, Tolerance};
use table::Workspace;

use super::{Shared, lock};
use crate::peers::{self, Beat};

/// Part of the nodes' common slack for repeats that is used: a restarted node has forgotten what it spent.
const SLACK_PART: f64 = 0.5;
impl Shared {
    /// Takes tokens of a workspace's limit, or says when there will be enough.
    pub fn take_quota(&self, workspace: &Workspace, tokens: u64) -> Result<(), Millis> {
        if workspace.rate <= 0.0 {
            return Ok(());
        }
        let terms = self.terms(workspace);
        let now = self.now();
        let mut limits = lock(&self.limits);
        let limit = limits
            .entry(Arc::clone(&workspace.name))
            .or_insert_with(|| Limiter::new(now, &terms));
        limit.try_acquire(now, tokens, &terms)
    }

    /// Gives tokens back that a request took which was not sent.
    pub fn give_quota_back(&self, workspace: &Workspace, tokens: u64) {
        if let Some(limit) = lock(&self.limits).get_mut(&workspace.name) {
            limit.refund(tokens);
        }
    }

    /// Takes in what another node told.
    pub fn hear(&self, beat: &Beat) {
        let now = self.now();
        {
            let mut heard = lock(&self.heard);
            let last = heard.entry(beat.from).or_insert((0, now));
            if beat.number <= last.0 {
                return;
            }
            *last = (beat.number, now);
        }
        let table = self.view().table.clone();
        for (name, total) in &beat.used {
            let workspaces = table.iter().flat_map(|table| table.workspaces());
            let Some(workspace) = workspaces.into_iter().find(|it| it.name == *name) else {
                continue;
            };
            let terms = self.terms(workspace);
            let mut limits = lock(&self.limits);
            let limit = limits
                .entry(Arc::clone(name))
                .or_insert_with(|| Limiter::new(now, &terms));
            limit.record_peer_total(now, beat.from, *total, &terms);
        }
        self.hear_of_replicas(now, beat);
    }

    fn hear_of_replicas(&self, now: Millis, beat: &Beat) {
        let zone = {
            let view = self.view();
            view.peers
                .get(&Incarnation(beat.from))
                .map(|peer| peer.zone.clone())
        };
        // What a node says of replicas counts once the store has told which availability zone it is in.
        let Some(zone) = zone else { return };
        let named = beat.loads.iter().map(|(endpoint, _)| endpoint);
        let endpoints: IndexSet<&Arc<str>> = named.chain(beat.unreachable.iter().map(|(it, _)| it)).collect();
        for endpoint in endpoints {
            let loads = beat.loads.iter().find(|(it, _)| it == endpoint);
            let unreachable = beat.unreachable.iter().find(|(it, _)| it == endpoint);
            let word = PeerReport {
                node: beat.from,
                zone: &zone,
                loads: loads.map_or(&[], |(_, loads)| loads),
                unreachable: unreachable.map_or(&[], |(_, unreachable)| unreachable),
            };
            self.with_pool(endpoint, |pool| pool.record_peer_report(now, &word));
        }
    }

    /// What this node tells the others.
    pub fn beat(&self) -> Beat {
        let used = lock(&self.limits)
            .iter()
            .map(|(name, limit)| (Arc::clone(name), limit.admitted()))
            .collect();
        let loads = self.with_pools(|pools| {
            let loads = pools
                .iter()
                .map(|(name, pool)| (Arc::clone(name), pool.own_loads()));
            loads.filter(|(_, loads)| !loads.is_empty()).collect()
        });
        let now = self.now();
        let unreachable = self.with_pools(|pools| {
            let unreachable = pools
                .iter()
                .map(|(name, pool)| (Arc::clone(name), pool.unreachable(now)));
            unreachable
                .filter(|(_, unreachable)| !unreachable.is_empty())
                .collect()
        });
        Beat {
            from: self.incarnation.0,
            number: 0,
            used,
            loads,
            unreachable,
        }
    }

    /// Where the other nodes are reached.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let others = view.peers.iter().filter(|(it, _)| **it != self.incarnation);
        others.map(|(_, peer)| peer.peer_address).collect()
    }

    /// Whether all other nodes were heard lately.
    fn is_connected(&self) -> bool {
        let now = self.now();
        let heard = lock(&self.heard);
        let is_heard = |node: &Incarnation| {
            let last = heard.get(&node.0);
            last.is_some_and(|(_, at)| now.since(*at) < peers::SILENCE)
        };
        let view = self.view();
        let mut others = view.peers.keys().filter(|it| **it != self.incarnation);
        others.all(is_heard)
    }

    /// Counts a request's first dispatch to an endpoint.
    pub fn count_dispatch(&self, endpoint: &Arc<str>) {
        let policy = self.repeats();
        let mut allowances = lock(&self.allowances);
        let allowance = allowances.entry(Arc::clone(endpoint)).or_default();
        allowance.record_request(self.now(), &policy);
    }

    /// Takes one repeated dispatch to an endpoint; whether there was one left.
    pub fn take_repeat(&self, endpoint: &Arc<str>) -> bool {
        let policy = self.repeats();
        let mut allowances = lock(&self.allowances);
        let allowance = allowances.entry(Arc::clone(endpoint)).or_default();
        allowance.try_retry(self.now(), &policy)
    }

    fn repeats(&self) -> RetryPolicy {
        let settings = self.settings();
        let nodes = self.view().nodes();
        RetryPolicy {
            window: settings.retry_window,
            ratio: settings.retry_ratio,
            slack: settings.retry_slack * SLACK_PART,
            nodes,
        }
    }

    fn terms(&self, workspace: &Workspace) -> LimitSettings {
        let settings = self.settings();
        // NB: a guard within the expression below would live until its end.
        let nodes = self.view().nodes();
        let is_connected = self.is_connected();
        LimitSettings {
            rate: workspace.rate,
            burst: workspace.burst,
            tolerance: Tolerance {
                window: settings.quota_window,
                overshoot: settings.quota_overshoot,
                slack: settings.quota_slack,
            },
            nodes,
            is_connected,
        }
    }
}
