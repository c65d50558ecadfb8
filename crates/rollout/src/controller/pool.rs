//! Pooled evidence of all nodes.

use base::{Incarnation, Millis, Name};
use indexmap::IndexMap;

use crate::guard::Settings;
use crate::summary::RouteTotals;
use crate::{Evidence, SequentialTest, Signal, Summary};

/// Largest number of node incarnations whose evidence is kept.
const MAX_NODES: usize = 8_192;

/// Pooled evidence on one route.
#[derive(Clone, Copy, Debug, Default)]
pub struct PooledRoute {
    /// Sum over all nodes.
    pub sum: RouteTotals,
    /// The sum at the last change of the route's share.
    pub baseline: RouteTotals,
    tests: [SequentialTest; 3],
}

impl PooledRoute {
    /// The strongest evidence of any signal against the new version, in nats.
    pub fn evidence(&self) -> f64 {
        let per_signal = Signal::ALL.into_iter().map(|signal| self.signal_evidence(signal));
        per_signal.fold(f64::NEG_INFINITY, f64::max)
    }

    /// The comparison whose evidence reaches `threshold`, if any.
    fn finding(&self, threshold: f64) -> Option<Evidence> {
        let mut signals = Signal::ALL.into_iter();
        let signal = signals.find(|signal| self.signal_evidence(*signal) >= threshold)?;
        Some(Evidence::Compared {
            signal,
            old: self.sum.old,
            new: self.sum.new,
        })
    }

    fn signal_evidence(&self, signal: Signal) -> f64 {
        self.tests[signal as usize].evidence(&self.sum.ratios[signal as usize])
    }

    fn restart(&mut self) {
        for (test, ratio) in self.tests.iter_mut().zip(&self.sum.ratios) {
            test.restart(ratio);
        }
    }
}

/// Latest summaries of one rollout and their sums by route.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    nodes: IndexMap<Incarnation, Summary>,
    /// Sums by route.
    pub routes: IndexMap<Name, PooledRoute>,
    all: PooledRoute,
    last_report: Option<Millis>,
}

impl Pool {
    /// Adds a summary, unless it is not newer than the last one of the same incarnation.
    pub fn update(&mut self, now: Millis, summary: Summary) {
        let last = self.nodes.get(&summary.node);
        if last.is_some_and(|last| last.sequence >= summary.sequence) {
            return;
        }
        if last.is_none() && self.nodes.len() >= MAX_NODES {
            return;
        }
        self.last_report = Some(now);
        for (route, totals) in &summary.routes {
            let pooled = self.routes.entry(route.clone()).or_default();
            if let Some(before) = last.and_then(|last| last.routes.get(route)) {
                pooled.sum.subtract(before);
                self.all.sum.subtract(before);
            }
            pooled.sum.add(totals);
            pooled.restart();
            self.all.sum.add(totals);
        }
        self.all.restart();
        self.nodes.insert(summary.node, summary);
    }

    /// Marks a change of the share of `route`: evidence for its next step counts from now on.
    pub fn set_baseline(&mut self, route: &Name) {
        if let Some(pooled) = self.routes.get_mut(route) {
            pooled.baseline = pooled.sum;
        }
    }

    /// Whether any node has reported within the last `span`.
    pub fn is_fresh(&self, now: Millis, span: Millis) -> bool {
        self.last_report
            .is_some_and(|reported| now.since(reported) <= span)
    }

    /// Whether any node reduces its share to check a suspicion.
    pub fn is_probing(&self) -> bool {
        self.routes.values().any(|pooled| pooled.sum.probing > 0)
    }

    /// The strongest evidence against the new version on any route or on all routes together, in nats.
    pub fn evidence(&self) -> f64 {
        let per_route = self.routes.values().map(PooledRoute::evidence);
        per_route.fold(self.all.evidence(), f64::max)
    }

    /// A finding for which the pooled evidence suffices, on one route or on all routes together.
    pub fn finding(&self, settings: &Settings) -> Option<Finding> {
        let threshold = settings.pooled_veto_threshold((self.routes.len() + 1) * Signal::ALL.len());
        let on_one_route = self.routes.iter().find_map(|(route, pooled)| {
            let evidence = pooled.finding(threshold)?;
            Some(Finding {
                route: Some(route.clone()),
                evidence,
            })
        });
        on_one_route.or_else(|| {
            let evidence = self.all.finding(threshold)?;
            Some(Finding {
                route: None,
                evidence,
            })
        })
    }
}

/// A finding of the pooled tests against the new version.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Route of the finding; `None` if it rests on all routes together.
    pub route: Option<Name>,
    /// Evidence of the finding.
    pub evidence: Evidence,
}
