//! Differences between two configuration documents.

use std::collections::BTreeSet;
use std::fmt;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::Document;

/// One difference, at a path such as `routes.desk.settings.attempts`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// Path of the value; list entries are addressed by name, not by index.
    pub path: String,
    /// Value before, if there was one.
    pub before: Option<Value>,
    /// Value after, if there is one.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(b), Some(a)) => write!(f, "~ {}: {b} -> {a}", self.path),
            (None, Some(a)) => write!(f, "+ {}: {a}", self.path),
            (Some(b), None) => write!(f, "- {}: {b}", self.path),
            (None, None) => write!(f, "  {}", self.path),
        }
    }
}

/// Lists the differences between two documents by path.
///
/// The change ids and the revision are ignored.
///
/// # Examples
///
/// ```
/// use heathpitch_core::{diff, parse_document};
///
/// let one = parse_document(r#"{"models":[{"name":"m","version":"v1","layers":4}]}"#)?;
/// let two = parse_document(r#"{"models":[{"name":"m","version":"v2","layers":4}]}"#)?;
/// assert_eq!(diff(&one, &two)[0].to_string(), r#"~ models.m.version: "v1" -> "v2""#);
/// # Ok::<(), heathpitch_core::ConfigError>(())
/// ```
pub fn diff(before: &Document, after: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    walk("", Some(without_metadata(before)), Some(without_metadata(after)), &mut changes);
    changes
}

fn without_metadata(document: &Document) -> Value {
    let document = Document { changes: Vec::new(), revision: None, ..document.clone() };
    serde_json::to_value(&document).unwrap_or(Value::Null)
}

fn walk(path: &str, before: Option<Value>, after: Option<Value>, changes: &mut Vec<Change>) {
    match align(before.map(by_name), after.map(by_name)) {
        (before, after) if before == after => {}
        (Some(Value::Object(mut b)), Some(Value::Object(mut a))) => {
            let keys: BTreeSet<String> = b.keys().chain(a.keys()).cloned().collect();
            for key in keys {
                let child = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                walk(&child, b.remove(&key), a.remove(&key), changes);
            }
        }
        (before, after) => changes.push(Change { path: path.to_owned(), before, after }),
    }
}

/// Replaces an empty list by an empty map if the other side is a map of named entries.
fn align(before: Option<Value>, after: Option<Value>) -> (Option<Value>, Option<Value>) {
    let empty_map =
        |v: Value| if v == Value::Array(vec![]) { Value::Object(Map::new()) } else { v };
    match (&before, &after) {
        (Some(Value::Object(_)), _) => (before, after.map(empty_map)),
        (_, Some(Value::Object(_))) => (before.map(empty_map), after),
        _ => (before, after),
    }
}

/// Turns a list of named entries into a map, with their order as an additional entry.
fn by_name(value: Value) -> Value {
    let name = |v: &Value| v.get("name").and_then(Value::as_str).map(str::to_owned);
    match value {
        Value::Array(list) if !list.is_empty() && list.iter().all(|v| name(v).is_some()) => {
            let order = list.iter().filter_map(|v| name(v).map(Value::from)).collect();
            let entries = list.into_iter().filter_map(|v| Some((name(&v)?, v)));
            let mut map: Map<String, Value> = entries.collect();
            map.insert("(order)".to_owned(), Value::Array(order));
            Value::Object(map)
        }
        other => other,
    }
}
