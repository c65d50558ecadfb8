//! Logs made of entries, and cases that are judged by one row of the result.

use margins::{Analysis, Bounds, Report, Row, Verdict};

/// Bounds of the tests.
pub const BOUNDS: &str = "
drain-ms = 2000
lost-requests = 1
open-at-end = 0
broken-streams = 1
timeout-ms = 5000
timeout-slack-ms = 500
attempts = 2
retry-window-ms = 1000
retry-ratio = 0.5
retry-slack = 2
pause-requests = 2
pause-grace-ms = 500
limit-window-ms = 4000
limit-factor = 1.5
limit-slack = 5
quota-window-ms = 2000
quota-overshoot = 0.1
quota-slack = 10
config-apply-ms = 3000
rollback-slack-ms = 250
view-age-ms = 1500
revoke-ms = 5000
canary-share = 0.1
canary-slack = 2
rollback-ms = 5000

[routes.reports]
timeout-ms = 20000
attempts = 3

[workspaces.tills]
rate-per-s = 100
burst = 50
";

/// A line of a node's log.
#[derive(Clone, Debug)]
pub struct Entry {
    pub node: &'static str,
    time: i64,
    event: &'static str,
    fields: Vec<(&'static str, String)>,
}

impl Entry {
    pub fn new(node: &'static str, time: i64, event: &'static str) -> Self {
        Self {
            node,
            time,
            event,
            fields: Vec::new(),
        }
    }

    /// Sets a field to a text.
    pub fn text(mut self, key: &'static str, value: &str) -> Self {
        self.fields.retain(|(own, _)| *own != key);
        self.fields.push((key, format!("\"{value}\"")));
        self
    }

    /// Sets a field to a number.
    pub fn number(mut self, key: &'static str, value: i64) -> Self {
        self.fields.retain(|(own, _)| *own != key);
        self.fields.push((key, value.to_string()));
        self
    }

    /// Leaves a field out.
    pub fn without(mut self, key: &str) -> Self {
        self.fields.retain(|(own, _)| *own != key);
        self
    }

    pub fn line(&self) -> String {
        let fields = self
            .fields
            .iter()
            .map(|(key, value)| format!(",\"{key}\":{value}"));
        let fields: String = fields.collect();
        format!(
            "{{\"time\":{},\"level\":\"info\",\"event\":\"{}\"{fields}}}",
            self.time, self.event
        )
    }
}

pub fn started(node: &'static str, time: i64) -> Entry {
    Entry::new(node, time, "node started")
}

pub fn configured(node: &'static str, time: i64, version: i64) -> Entry {
    Entry::new(node, time, "configuration in force").number("version", version)
}

pub fn changed(node: &'static str, time: i64, replica: &str, state: &str) -> Entry {
    Entry::new(node, time, "replica changed")
        .text("replica", replica)
        .text("endpoint", "engine")
        .text("version", "v1")
        .text("state", state)
}

pub fn gone(node: &'static str, time: i64, replica: &str) -> Entry {
    Entry::new(node, time, "replica gone")
        .text("replica", replica)
        .text("endpoint", "engine")
}

pub fn failed(node: &'static str, time: i64, id: &str, replica: &str) -> Entry {
    Entry::new(node, time, "dispatch failed")
        .text("id", id)
        .text("endpoint", "engine")
        .text("replica", replica)
        .text("cause", "response timed out")
}

/// The end of a request that was sent to replica `r1` as it arrived, and took no time.
pub fn ended(node: &'static str, time: i64, id: &str) -> Entry {
    Entry::new(node, time, "request ended")
        .text("id", id)
        .text("route", "answers")
        .text("endpoint", "engine")
        .text("workspace", "")
        .text("replica", "r1")
        .number("attempts", 1)
        .text("outcome", "answered")
        .text("cause", "")
        .number("view_age_ms", 10)
        .number("send_delay_ms", 0)
        .number("took_ms", 0)
        .number("left_ms", 1_000)
}

/// Ends of requests that were sent to replica `r1`, one at each of these times.
pub fn ends(node: &'static str, times: impl IntoIterator<Item = i64>) -> Vec<Entry> {
    let times = times.into_iter();
    times.map(|time| ended(node, time, &format!("q{time}"))).collect()
}

/// A log and the row that judges it.
#[derive(Debug)]
pub struct Case {
    pub name: &'static str,
    pub entries: Vec<Entry>,
    pub verdict: Verdict,
    pub worst: Option<f64>,
    pub cases: u64,
    /// Node and request of the worst case.
    pub place: (Option<&'static str>, Option<&'static str>),
}

pub fn analyze(bounds: &str, entries: &[Entry]) -> Report {
    let bounds = Bounds::parse(bounds, &[]).expect("bounds");
    let mut analysis = Analysis::new(bounds);
    for (index, entry) in entries.iter().enumerate() {
        analysis.read(entry.node, entry.node, index as u64 + 1, entry.line().as_bytes());
    }
    analysis.finish()
}

pub fn row<'a>(report: &'a Report, rule: &str, measure: &str) -> &'a Row {
    let mut rows = report.rows.iter();
    let row = rows.find(|row| row.rule == rule && row.measure.contains(measure));
    row.expect("a row for the rule")
}

/// Checks the row of `rule` whose measure contains `measure`.
pub fn check(rule: &str, measure: &str, cases: &[Case]) {
    for case in cases {
        let report = analyze(BOUNDS, &case.entries);
        assert!(report.rejects.is_empty(), "{}: {:?}", case.name, report.rejects);
        let row = row(&report, rule, measure);
        assert_eq!(row.verdict, case.verdict, "{}: {row:?}", case.name);
        assert_eq!(row.worst, case.worst, "{}: {row:?}", case.name);
        assert_eq!(row.cases, case.cases, "{}: {row:?}", case.name);
        let place = (row.node.as_deref(), row.request.as_deref());
        assert_eq!(place, case.place, "{}: {row:?}", case.name);
    }
}
