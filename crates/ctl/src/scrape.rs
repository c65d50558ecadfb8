//! Reads the text that a node serves on its metrics address. Pure.

use indexmap::IndexMap;

/// Samples by name and labels, as the text has them: `name` or `name{label="value"}`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Samples {
    values: IndexMap<String, f64>,
}

impl Samples {
    /// Reads the samples; lines that are none, such as comments, are passed over.
    pub fn new(text: &str) -> Self {
        let sample = |line: &str| {
            // NB: a label's value may hold blanks, a sample's value can't.
            let (name, value) = line.trim().rsplit_once(' ')?;
            (!name.starts_with('#')).then_some(())?;
            Some((name.to_owned(), value.parse().ok()?))
        };
        Self {
            values: text.lines().filter_map(sample).collect(),
        }
    }

    /// The sample without labels.
    pub fn get(&self, name: &str) -> Option<f64> {
        self.values.get(name).copied()
    }

    /// The samples of a name by the value of their label, in the text's order.
    pub fn by_label(&self, name: &str, label: &str) -> IndexMap<&str, f64> {
        let mut found = IndexMap::new();
        for (key, value) in &self.values {
            let labels = key.strip_prefix(name).and_then(|rest| rest.strip_prefix('{'));
            let Some(of_label) = labels.and_then(|labels| value_of(labels, label)) else {
                continue;
            };
            *found.entry(of_label).or_insert(0.0) += *value;
        }
        found
    }

    /// Upper bound of the bucket that holds this part of a histogram's observations, over all other labels; `None`
    /// without observations.
    pub fn quantile(&self, name: &str, part: f64) -> Option<f64> {
        let buckets = self.by_label(&format!("{name}_bucket"), "le");
        let mut bounds: Vec<(f64, f64)> = buckets
            .iter()
            .filter_map(|(bound, count)| Some((bound.parse().ok()?, *count)))
            .collect();
        bounds.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total = bounds.last().map(|(_, count)| *count).filter(|it| *it > 0.0)?;
        let reached = bounds.iter().find(|(_, count)| *count >= total * part);
        reached.map(|(bound, _)| *bound)
    }
}

/// The value of one label in `a="b",c="d"}`.
fn value_of<'a>(labels: &'a str, label: &str) -> Option<&'a str> {
    let mut rest = labels;
    loop {
        let (name, after) = rest.split_once("=\"")?;
        let (value, next) = after.split_once('"')?;
        if name.trim_start_matches(',') == label {
            return Some(value);
        }
        rest = next;
    }
}
