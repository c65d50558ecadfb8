//! Differences between two catalogues, for display to operators.

use std::fmt;

use serde_json::{Map, Value};

use crate::Catalogue;

/// A difference between two catalogues.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct Change {
    /// Path of the changed value, for example `endpoint / ledger / limits / queue`.
    pub path: String,
    /// Previous value; `None` if the value was added.
    pub before: Option<String>,
    /// New value; `None` if the value was removed.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.path),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.path),
            (Some(before), None) => write!(f, "- {}: {before}", self.path),
            (None, None) => f.write_str(&self.path),
        }
    }
}

/// Returns the differences from `before` to `after`, in catalogue order.
pub fn changes(before: &Catalogue, after: &Catalogue) -> Vec<Change> {
    let [before, after] =
        [before, after].map(|catalogue| serde_json::to_value(catalogue).unwrap_or_default());
    value_changes(&before, &after)
}

/// Returns the differences between two JSON documents. Lists whose items have names are compared by these.
pub fn value_changes(before: &Value, after: &Value) -> Vec<Change> {
    let mut changes = Vec::new();
    compare("", before, after, &mut changes);
    changes
}

fn compare(path: &str, before: &Value, after: &Value, changes: &mut Vec<Change>) {
    match (before, after) {
        _ if before == after => {}
        (Value::Object(before), Value::Object(after)) => compare_fields(path, before, after, changes),
        (Value::Array(old), Value::Array(new)) if have_identity(old) && have_identity(new) => {
            compare_fields(path, &by_identity(old), &by_identity(new), changes);
        }
        _ => changes.push(Change {
            path: path.to_owned(),
            before: Some(before.to_string()),
            after: Some(after.to_string()),
        }),
    }
}

fn compare_fields(
    path: &str,
    before: &Map<String, Value>,
    after: &Map<String, Value>,
    changes: &mut Vec<Change>,
) {
    for (field, old) in before {
        let path = join(path, field);
        match after.get(field) {
            Some(new) => compare(&path, old, new, changes),
            None => changes.push(Change {
                path,
                before: Some(old.to_string()),
                after: None,
            }),
        }
    }
    for (field, new) in after.iter().filter(|(field, _new)| !before.contains_key(*field)) {
        changes.push(Change {
            path: join(path, field),
            before: None,
            after: Some(new.to_string()),
        });
    }
}

fn join(path: &str, field: &str) -> String {
    if path.is_empty() {
        field.to_owned()
    } else {
        format!("{path} / {field}")
    }
}

/// Whether every item of a list has fields that identify it.
fn have_identity(items: &[Value]) -> bool {
    items.iter().all(|item| identity(item).is_some())
}

fn by_identity(items: &[Value]) -> Map<String, Value> {
    items
        .iter()
        .filter_map(|item| Some((identity(item)?, item.clone())))
        .collect()
}

fn identity(item: &Value) -> Option<String> {
    let field = |field: &str| item.get(field).and_then(Value::as_str);
    match (
        field("name"),
        field("workspace"),
        field("zone"),
        field("method"),
        field("path"),
    ) {
        (Some(name), ..) | (None, Some(name), ..) | (None, None, Some(name), ..) => Some(name.to_owned()),
        (None, None, None, Some(method), Some(path)) => Some(format!("{method} {path}")),
        _unidentified => None,
    }
}
