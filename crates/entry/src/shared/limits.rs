//! Limits shared by all nodes: workspace tokens and retries.

use std::net::SocketAddr;
use std::sync::Arc;

use base::{Incarnation, Millis};
use indexmap::IndexSet;
use place::PeerReport;
use quota::{LimitSettings, Limiter, RetryPolicy, Tolerance};
use table::Workspace;

use super::{Shared, lock};
use crate::peers::{self, Datagram};

/// Fraction of the nodes' common retry slack that is used, since a restarted node has lost its count of spent retries.
const RETRY_SLACK_SHARE: f64 = 0.5;

impl Shared {
    /// Takes tokens from a workspace's limit, or returns the time until enough are available.
    pub fn acquire_quota(&self, workspace: &Workspace, tokens: u64) -> Result<(), Millis> {
        if workspace.rate <= 0.0 {
            return Ok(());
        }
        let limit_settings = self.limit_settings(workspace);
        let now = self.now();
        let mut limits = lock(&self.limits);
        let limit = limits
            .entry(Arc::clone(&workspace.name))
            .or_insert_with(|| Limiter::new(now, &limit_settings));
        limit.try_acquire(now, tokens, &limit_settings)
    }

    /// Refunds the tokens of a request that was not sent.
    pub fn refund_quota(&self, workspace: &Workspace, tokens: u64) {
        if let Some(limit) = lock(&self.limits).get_mut(&workspace.name) {
            limit.refund(tokens);
        }
    }

    /// Applies a datagram from another node.
    pub fn apply_datagram(&self, datagram: &Datagram) {
        let now = self.now();
        {
            let mut last_heard = lock(&self.last_heard);
            let last = last_heard.entry(datagram.from).or_insert((0, now));
            if datagram.number <= last.0 {
                return;
            }
            *last = (datagram.number, now);
        }
        let table = self.view().table.clone();
        for (name, total) in &datagram.used {
            let workspaces = table.iter().flat_map(|table| table.workspaces());
            let Some(workspace) = workspaces.into_iter().find(|it| it.name == *name) else {
                continue;
            };
            let limit_settings = self.limit_settings(workspace);
            let mut limits = lock(&self.limits);
            let limit = limits
                .entry(Arc::clone(name))
                .or_insert_with(|| Limiter::new(now, &limit_settings));
            limit.record_peer_total(now, datagram.from, *total, &limit_settings);
        }
        self.apply_replica_reports(now, datagram);
    }

    fn apply_replica_reports(&self, now: Millis, datagram: &Datagram) {
        let zone = {
            let view = self.view();
            view.peers
                .get(&Incarnation(datagram.from))
                .map(|peer| peer.zone.clone())
        };
        // Reports about replicas are used only once the store has provided the sender's availability zone.
        let Some(zone) = zone else { return };
        let named = datagram.loads.iter().map(|(endpoint, _)| endpoint);
        let endpoints: IndexSet<&Arc<str>> = named
            .chain(datagram.unreachable.iter().map(|(it, _)| it))
            .collect();
        for endpoint in endpoints {
            let loads = datagram.loads.iter().find(|(it, _)| it == endpoint);
            let unreachable = datagram.unreachable.iter().find(|(it, _)| it == endpoint);
            let report = PeerReport {
                node: datagram.from,
                zone: &zone,
                loads: loads.map_or(&[], |(_, loads)| loads),
                unreachable: unreachable.map_or(&[], |(_, unreachable)| unreachable),
            };
            self.with_pool(endpoint, |pool| pool.record_peer_report(now, &report));
        }
    }

    /// Creates the datagram to send to the other nodes.
    pub fn datagram(&self) -> Datagram {
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
        Datagram {
            from: self.incarnation.0,
            number: 0,
            used,
            loads,
            unreachable,
        }
    }

    /// Datagram addresses of the other nodes.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let view = self.view();
        let others = view.peers.iter().filter(|(it, _)| **it != self.incarnation);
        others.map(|(_, peer)| peer.peer_address).collect()
    }

    /// Whether all other nodes were heard from recently.
    fn is_connected(&self) -> bool {
        let now = self.now();
        let last_heard = lock(&self.last_heard);
        let is_heard = |node: &Incarnation| {
            let last = last_heard.get(&node.0);
            last.is_some_and(|(_, at)| now.since(*at) < peers::PEER_TIMEOUT)
        };
        let view = self.view();
        let mut others = view.peers.keys().filter(|it| **it != self.incarnation);
        others.all(is_heard)
    }

    /// Counts the first dispatch of a request to an endpoint.
    pub fn count_request(&self, endpoint: &Arc<str>) {
        let policy = self.retry_policy();
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(Arc::clone(endpoint)).or_default();
        budget.record_request(self.now(), &policy);
    }

    /// Takes a retry from the endpoint's budget; returns whether one was available.
    pub fn try_retry(&self, endpoint: &Arc<str>) -> bool {
        let policy = self.retry_policy();
        let mut retry_budgets = lock(&self.retry_budgets);
        let budget = retry_budgets.entry(Arc::clone(endpoint)).or_default();
        budget.try_retry(self.now(), &policy)
    }

    fn retry_policy(&self) -> RetryPolicy {
        let settings = self.settings();
        let nodes = self.view().nodes();
        RetryPolicy {
            window: settings.retry_window,
            ratio: settings.retry_ratio,
            slack: settings.retry_slack * RETRY_SLACK_SHARE,
            nodes,
        }
    }

    fn limit_settings(&self, workspace: &Workspace) -> LimitSettings {
        let settings = self.settings();
        // A separate statement, since a guard in the expression below would be held until its end.
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
