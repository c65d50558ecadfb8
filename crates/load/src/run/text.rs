//! Human-readable text format of a report.

use std::fmt;

use super::report::Report;

/// Maximum number of findings shown; the total is always printed.
const MAX_FINDINGS_SHOWN: usize = 20;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} seed {}", self.name, self.seed)?;
        for row in &self.streams {
            let ends = row.ends.iter().map(|(end, count)| format!("{end} {count}"));
            let reasons = row
                .reasons
                .iter()
                .map(|(reason, count)| format!("{reason} {count}"));
            let ends = ends.chain(reasons).collect::<Vec<_>>().join(", ");
            writeln!(
                f,
                "{} {}: arrived {} ({ends}); calls {:.3}; first p50 {:.1} p95 {:.1} p99 {:.1} ms; whole p95 {:.1} ms; \
                 tokens {}",
                row.endpoint,
                row.workspace,
                row.arrived,
                row.calls,
                row.first.p50,
                row.first.p95,
                row.first.p99,
                row.whole.p95,
                row.tokens
            )?;
        }
        let tokens = &self.tokens;
        writeln!(
            f,
            "tokens: prefilled {}, recomputed for resumes {}, cached {}, imported {}, decoded {}",
            tokens.prefilled, tokens.recomputed, tokens.cached, tokens.imported, tokens.decoded
        )?;
        let price = self.costs.iter().filter_map(|cost| cost.price).sum::<f64>();
        let hours = self.costs.iter().map(|cost| cost.hours).sum::<f64>();
        writeln!(f, "cost: {price:.4} for {hours:.4} VM hours")?;
        for line in &self.log {
            writeln!(f, "event at {line}")?;
        }
        for finding in self.findings.iter().take(MAX_FINDINGS_SHOWN) {
            writeln!(f, "finding: {finding}")?;
        }
        write!(f, "findings: {}", self.findings.len())
    }
}
