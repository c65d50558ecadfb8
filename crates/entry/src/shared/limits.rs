//! Limits shared by all nodes: workspace tokens and retries.

use std::sync::Arc;

use admission::Class;
use base::{Incarnation, Millis, Seed};
use place::{PeerLimit, PeerReport, Pool};
use quota::{Denial, Group, LimitSettings, Limiter, PeerTotal, RetryPolicy, Tolerance};
use table::Workspace;

use super::{Shared, lock};
use crate::peers::{self, CutOff, Datagram, Scope, Topology, Unreachable, Use};
use crate::register::MIN_EXPIRY_OUTAGE;

/// Fraction of the nodes' common retry slack that is used, since a restarted node has lost its count of spent retries.
const RETRY_SLACK_SHARE: f64 = 0.5;

impl Shared {
    /// Takes the tokens of a request from its workspace's limit.
    pub fn acquire_quota(&self, workspace: &Workspace, class: Class, tokens: u64) -> Result<(), Denial> {
        if workspace.rate <= 0.0 {
            return Ok(());
        }
        // Separate statements, since a guard in an expression would be held until its end.
        let nodes = self.view().nodes();
        let is_connected = self.is_connected();
        let limit_settings = self.limit_settings(workspace, nodes, is_connected);
        let now = self.now();
        let mut limits = lock(&self.limits);
        let limit = limits.entry(Arc::clone(&workspace.name)).or_insert_with(|| {
            Limiter::new(
                self.started_at,
                self.limiter_seed(&workspace.name),
                &limit_settings,
            )
        });
        limit.try_acquire_as(now, class, tokens, &limit_settings)
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
        let sender = sender(datagram);
        {
            let mut last_heard = lock(&self.last_heard);
            let last = last_heard.entry(sender).or_insert((0, now));
            if datagram.number <= last.0 {
                return;
            }
            *last = (datagram.number, now);
        }
        self.record_poison_digest(&datagram.poison);
        let topology = self.topology();
        let how = lock(&self.hub).record(now, datagram, &topology.hubs);
        let is_used = topology.uses(&datagram.scope);
        if how == Use::Nothing {
            return;
        }
        // Otherwise all that was ever admitted would count once the node comes to use these sums.
        let is_new = how == Use::Baseline || !is_used;
        self.apply_totals(now, sender, is_new, &datagram.used);
        for (endpoint, limits) in &datagram.limits {
            self.with_pool(endpoint, |pool| {
                pool.record_peer_limits(now, sender, is_new, limits);
            });
        }
        if is_used {
            self.apply_replica_reports(now, sender, datagram);
            self.apply_paces(datagram);
        }
    }

    fn apply_totals(&self, now: Millis, sender: u64, is_new: bool, totals: &[(Arc<str>, u64)]) {
        let Some(table) = self.view().table.clone() else {
            return;
        };
        let (nodes, is_connected) = (self.view().nodes(), self.is_connected());
        for (name, total) in totals {
            let Some(workspace) = table.workspaces().iter().find(|it| it.name == *name) else {
                continue;
            };
            let limit_settings = self.limit_settings(workspace, nodes, is_connected);
            let mut limits = lock(&self.limits);
            let limit = limits.entry(Arc::clone(name)).or_insert_with(|| {
                Limiter::new(
                    self.started_at,
                    self.limiter_seed(&workspace.name),
                    &limit_settings,
                )
            });
            let report = PeerTotal {
                node: sender,
                total: *total,
                is_new,
            };
            limit.record_peer_total(now, report, &limit_settings);
        }
    }

    fn apply_replica_reports(&self, now: Millis, sender: u64, datagram: &Datagram) {
        // Reports about replicas are used only once the store has provided the sender's availability zone.
        let from = Incarnation(datagram.from);
        let Some(zone) = self.view().peers.get(&from).map(|peer| peer.zone.clone()) else {
            return;
        };
        for (endpoint, loads) in &datagram.loads {
            let report = PeerReport {
                node: sender,
                zone: &zone,
                loads,
                unreachable: &[],
            };
            self.with_pool(endpoint, |pool| pool.record_peer_report(now, &report));
        }
        for entry in &datagram.unreachable {
            let report = PeerReport {
                // A digest names the replicas that several zones cannot reach.
                node: sender ^ place::hash(&entry.zone),
                zone: &entry.zone,
                loads: &[],
                unreachable: &entry.replicas,
            };
            self.with_pool(&entry.endpoint, |pool| pool.record_peer_report(now, &report));
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
            loads.collect()
        });
        let now = self.now();
        let zone: Arc<str> = Arc::from(self.settings().zone.as_str());
        let unreachable = self.with_pools(|pools| {
            let unreachable = pools.iter().map(|(name, pool)| Unreachable {
                zone: Arc::clone(&zone),
                endpoint: Arc::clone(name),
                replicas: pool.unreachable(now),
            });
            unreachable.filter(|it| !it.replicas.is_empty()).collect()
        });
        let cut_off = self.with_pools(|pools| {
            let cut_off = pools.iter().filter(|(_, pool)| pool.is_cut_off());
            let entry = |(name, _): (&Arc<str>, &Pool)| CutOff {
                zone: Arc::clone(&zone),
                endpoint: Arc::clone(name),
            };
            cut_off.map(entry).collect()
        });
        Datagram {
            cut_off,
            from: self.incarnation.0,
            used,
            loads,
            unreachable,
            uptime: self.availability().report(now),
            limits: self.rate_limits(now),
            poison: self.poison_digest(),
            ..Datagram::default()
        }
    }

    /// Rate limits that replicas named, by endpoint.
    fn rate_limits(&self, now: Millis) -> Vec<(Arc<str>, Vec<PeerLimit>)> {
        self.with_pools(|pools| {
            let limits = pools
                .iter()
                .map(|(name, pool)| (Arc::clone(name), pool.rate_limits(now)));
            limits.filter(|(_, limits)| !limits.is_empty()).collect()
        })
    }

    /// Tells the replica pools which nodes share the replicas' rate limits.
    pub fn update_groups(&self) {
        let group = Group {
            nodes: self.view().nodes(),
            report_delay: self.topology().report_delay(),
            is_connected: self.is_connected(),
        };
        let now = self.now();
        let unix_ms = self.wall_clock().unix_ms(now);
        self.with_pools(|pools| {
            for pool in pools.values_mut() {
                if let Some(unix_ms) = unix_ms {
                    pool.set_unix_time(now, unix_ms);
                }
                pool.set_group(group);
            }
        });
        self.update_senders();
    }

    /// The sums that the hub sends: of its zone for the other zones, and of the other zones for its own.
    pub fn digests(&self, topology: &Topology) -> [Datagram; 2] {
        let now = self.now();
        let own = self.datagram();
        let zone: Arc<str> = Arc::from(self.settings().zone.as_str());
        let mut hub = lock(&self.hub);
        {
            let view = self.view();
            let is_registered = |node: Incarnation| view.peers.contains_key(&node);
            let is_zone = |zone: &str| view.peers.values().any(|peer| peer.zone == zone);
            hub.retain(now, is_registered, is_zone);
        }
        let mut digests = [
            hub.zone_digest(now, &zone, &own),
            hub.outside_digest(now, topology.other_zones),
        ];
        let availability = self.availability();
        let members = hub.zone_uptimes(now).into_iter().chain(own.uptime);
        digests[0].uptime = availability.join_reports(now, members);
        digests[1].uptime = availability.join_reports(now, hub.outside_uptimes(now));
        for (digest, paces) in digests.iter_mut().zip(hub.take_paces(now)) {
            digest.paces = paces;
            digest.from = self.incarnation.0;
            digest.poison.clone_from(&own.poison);
        }
        digests
    }

    /// The nodes that this node exchanges datagrams with.
    pub fn topology(&self) -> Arc<Topology> {
        self.topology.load_full()
    }

    /// Updates these nodes from the view.
    pub fn update_topology(&self) -> Arc<Topology> {
        let settings = self.settings();
        let topology = Arc::new(Topology::new(
            &self.view().peers,
            self.incarnation,
            &settings.zone,
            &self.topology(),
        ));
        self.topology.store(Arc::clone(&topology));
        let now = self.now();
        let time = Millis(settings.key_revocation_time.since(MIN_EXPIRY_OUTAGE).0);
        let (lost, registered) = {
            let view = self.view();
            let lost = lock(&self.lost_nodes).observe(now, &view.peers, time);
            (lost, view.peers.len())
        };
        if lost > 0 {
            log::info!(lost, registered, shared = self.shared_fraction(), for_ms = time.0;
                "registrations of ready nodes lost; their part of limits stays free while they are silent");
        }
        topology
    }

    /// Whether the other nodes were heard from recently, in person or in sums.
    pub fn is_connected(&self) -> bool {
        let now = self.now();
        let topology = self.topology();
        let is_heard = {
            let last_heard = lock(&self.last_heard);
            topology.hears_nodes(now, |node| last_heard.get(&node.0).map(|(_, at)| *at))
        };
        is_heard
            && (!topology.is_layered
                || lock(&self.hub).hears_other_zones(now, topology.is_hub, topology.other_zones))
    }

    /// Fraction of the limits that the registered nodes share.
    fn shared_fraction(&self) -> f64 {
        let now = self.now();
        let topology = self.topology();
        let last_heard = lock(&self.last_heard);
        let is_heard = |node: Incarnation| {
            let last = last_heard.get(&node.0);
            last.is_some_and(|(_, at)| now.since(*at) < peers::PEER_TIMEOUT)
        };
        lock(&self.lost_nodes).shared_fraction(now, &topology, &self.settings().zone, is_heard)
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

    fn limit_settings(&self, workspace: &Workspace, nodes: usize, is_connected: bool) -> LimitSettings {
        let settings = self.settings();
        LimitSettings {
            rate: workspace.rate * self.shared_fraction(),
            burst: workspace.burst,
            tolerance: Tolerance {
                window: settings.quota_window,
                overshoot: settings.quota_overshoot,
                slack: settings.quota_slack,
            },
            nodes,
            report_delay: self.topology().report_delay(),
            is_connected,
        }
    }

    fn limiter_seed(&self, workspace: &str) -> Seed {
        self.seed.derive(place::hash(workspace))
    }
}

/// Identifies the sender of a datagram and what it describes: a hub's own values and the sums that it sends are counted
/// apart.
const fn sender(datagram: &Datagram) -> u64 {
    const ZONE: u64 = 1;
    const OUTSIDE: u64 = 2;
    match datagram.scope {
        Scope::Node => datagram.from,
        Scope::Zone(_) => datagram.from ^ ZONE,
        Scope::Outside { .. } => datagram.from ^ OUTSIDE,
    }
}
