//! Reports of several nodes in one record.

use std::sync::Arc;

use base::Incarnation;
use fleet::capacity::Load;
use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::{Comparison, Report};

/// Reports by node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// The latest known report of each node.
    pub reports: IndexMap<Incarnation, Arc<Report>>,
}

/// The encoded form. Names of workspaces and endpoints are stored once.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Encoded {
    names: IndexSet<Arc<str>>,
    reports: Vec<EncodedReport>,
}

/// Position of a name.
type NameIndex = usize;

#[derive(Debug, Serialize, Deserialize)]
struct EncodedReport {
    node: u64,
    number: u64,
    windows: Vec<(u64, Vec<(NameIndex, u64)>)>,
    busy: Vec<(NameIndex, Load)>,
    rollouts: Vec<(NameIndex, Comparison)>,
}

impl Summary {
    /// Adds a report unless a later one of the same node is known. Returns whether it was added.
    pub fn insert(&mut self, node: Incarnation, report: Arc<Report>) -> bool {
        let known = self.reports.get(&node);
        if known.is_some_and(|known| known.number >= report.number) {
            return false;
        }
        self.reports.insert(node, report);
        true
    }

    /// Encodes the reports.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let mut encoded = Encoded::default();
        for (node, report) in &self.reports {
            let report = EncodedReport::new(*node, report, &mut encoded.names);
            encoded.reports.push(report);
        }
        postcard::to_stdvec(&encoded)
    }

    /// Decodes reports.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let encoded: Encoded = postcard::from_bytes(bytes)?;
        let mut reports = IndexMap::with_capacity(encoded.reports.len());
        for report in encoded.reports {
            let node = Incarnation(report.node);
            let report = report
                .decode(&encoded.names)
                .ok_or(postcard::Error::DeserializeBadEncoding)?;
            reports.insert(node, Arc::new(report));
        }
        Ok(Self { reports })
    }
}

impl EncodedReport {
    fn new(node: Incarnation, report: &Report, names: &mut IndexSet<Arc<str>>) -> Self {
        let mut index = |name: &Arc<str>| names.insert_full(Arc::clone(name)).0;
        let windows = report.counts.windows.iter().map(|(window, counts)| {
            let counts = counts.iter().map(|(name, count)| (index(name), *count));
            (*window, counts.collect())
        });
        Self {
            node: node.0,
            number: report.number,
            windows: windows.collect(),
            busy: report
                .busy
                .iter()
                .map(|(name, busy)| (index(name), *busy))
                .collect(),
            rollouts: report
                .rollouts
                .iter()
                .map(|(name, it)| (index(name), *it))
                .collect(),
        }
    }

    /// Restores the report; `None` if a name is missing.
    fn decode(self, names: &IndexSet<Arc<str>>) -> Option<Report> {
        let name = |index: NameIndex| names.get_index(index).map(Arc::clone);
        let mut report = Report {
            number: self.number,
            ..Report::default()
        };
        for (window, counts) in self.windows {
            let counts = counts
                .into_iter()
                .map(|(index, count)| name(index).map(|name| (name, count)));
            let counts: Option<IndexMap<_, _>> = counts.collect();
            report.counts.windows.insert(window, counts?);
        }
        let busy = self.busy.into_iter();
        report.busy = busy
            .map(|(index, busy)| name(index).map(|name| (name, busy)))
            .collect::<Option<_>>()?;
        let rollouts = self.rollouts.into_iter();
        report.rollouts = rollouts
            .map(|(index, it)| name(index).map(|name| (name, it)))
            .collect::<Option<_>>()?;
        Some(report)
    }
}
