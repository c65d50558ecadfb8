//! Parser for the Prometheus text that a node serves at its metrics address; does no I/O.

use indexmap::IndexMap;

/// Samples by metric name and labels as written in the text: `name` or `name{label="value"}`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Samples {
    values: IndexMap<String, f64>,
}

impl Samples {
    /// Parses the samples and skips all other lines, such as comments.
    pub fn parse(text: &str) -> Self {
        let parse_line = |line: &str| {
            // Splits at the last space: a label value may contain spaces, a sample value can't.
            let (name, value) = line.trim().rsplit_once(' ')?;
            (!name.starts_with('#')).then_some(())?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        Self {
            values: text.lines().filter_map(parse_line).collect(),
        }
    }

    /// Returns the sample of a metric without labels.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.values.get(name).copied()
    }

    /// Sums the samples of a metric by the value of one label, in the order of the text.
    pub fn sum_by_label(&self, name: &str, label: &str) -> IndexMap<&str, f64> {
        let mut sums = IndexMap::new();
        for (key, value) in &self.values {
            let labels = key.strip_prefix(name).and_then(|rest| rest.strip_prefix('{'));
            let Some(label_value) = labels.and_then(|labels| find_label(labels, label)) else {
                continue;
            };
            *sums.entry(label_value).or_insert(0.0) += *value;
        }
        sums
    }

    /// Returns the upper bound of the histogram bucket that contains the quantile `fraction`, over all other labels;
    /// `None` if there are no observations.
    pub fn quantile(&self, name: &str, fraction: f64) -> Option<f64> {
        let counts_by_bound = self.sum_by_label(&format!("{name}_bucket"), "le");
        let mut buckets: Vec<(f64, f64)> = counts_by_bound
            .iter()
            .filter_map(|(bound, count)| Some((bound.parse().ok()?, *count)))
            .collect();
        buckets.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total = buckets
            .last()
            .map(|(_, count)| *count)
            .filter(|count| *count > 0.0)?;
        let bucket = buckets.iter().find(|(_, count)| *count >= total * fraction);
        bucket.map(|(bound, _)| *bound)
    }
}

/// Returns the value of one label in text of the form `a="b",c="d"}`.
fn find_label<'a>(labels: &'a str, label: &str) -> Option<&'a str> {
    let mut rest = labels;
    loop {
        let (name, quoted) = rest.split_once("=\"")?;
        let (value, remaining) = quoted.split_once('"')?;
        if name.trim_start_matches(',') == label {
            return Some(value);
        }
        rest = remaining;
    }
}
