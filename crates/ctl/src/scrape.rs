//! Reads the text that a node serves on its metrics address. Pure.

use indexmap::IndexMap;

/// Samples by name and labels, as the text has them: `name` or `name{label="value"}`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Samples {
    values: IndexMap<String, f64>,
}

impl Samples {
    /// Reads the samples; lines that are none, such as comments, are passed over.
    pub fn parse(text: &str) -> Self {
        let parse_line = |line: &str| {
            // NB: a label's value may hold blanks, a sample's value can't.
            let (name, value) = line.trim().rsplit_once(' ')?;
            (!name.starts_with('#')).then_some(())?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        Self {
            values: text.lines().filter_map(parse_line).collect(),
        }
    }

    /// The sample without labels.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.values.get(name).copied()
    }

    /// The samples of a name by the value of their label, in the text's order.
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

    /// Upper bound of the bucket that holds this part of a histogram's observations, over all other labels; `None`
    /// without observations.
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

/// The value of one label in `a="b",c="d"}`.
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
