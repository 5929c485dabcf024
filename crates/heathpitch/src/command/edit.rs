//! Changes of single labels and settings, made again on whatever stands if somebody else was first.

use heathpitch_core::{Document, Labels, Name, diff, nearest};
use serde_json::Value;

use super::apply::{Accepted, accepted};
use super::arguments::{Arguments, LabelArguments, RouteArguments};
use super::error::CommandError;
use super::store::Store;

/// Times an edit is made again after a conflict.
const TRIES: u32 = 10;

/// Changes labels of a pool or an account.
pub(crate) async fn label(arguments: &Arguments, c: &LabelArguments) -> Result<(), CommandError> {
    edit(arguments, |document| {
        let (labels, names): (Option<&mut Labels>, Vec<String>) = match c.kind.as_str() {
            "pool" => {
                let names = document.pools.iter().map(|p| p.name.to_string()).collect();
                let found = document.pools.iter_mut().find(|p| p.name.as_str() == c.name);
                (found.map(|p| &mut p.labels), names)
            }
            "account" => {
                let names = document.accounts.iter().map(|a| a.name.to_string()).collect();
                let found = document.accounts.iter_mut().find(|a| a.name.as_str() == c.name);
                (found.map(|a| &mut a.labels), names)
            }
            other => return Err(usage(format!("{other:?} is neither pool nor account"))),
        };
        let labels = labels.ok_or_else(|| unknown(&c.kind, &c.name, &names))?;
        c.labels.iter().try_for_each(|word| set(labels, word))
    })
    .await
}

/// Changes a setting of a route.
pub(crate) async fn route(arguments: &Arguments, c: &RouteArguments) -> Result<(), CommandError> {
    edit(arguments, |document| {
        let names: Vec<String> = document.routes.iter().map(|r| r.name.to_string()).collect();
        let found = document.routes.iter_mut().find(|r| r.name.as_str() == c.name);
        let route = found.ok_or_else(|| unknown("route", &c.name, &names))?;
        let mut settings = serde_json::to_value(&route.settings).unwrap_or_default();
        let known: Vec<String> =
            settings.as_object().map(|o| o.keys().cloned().collect()).unwrap_or_default();
        let Some(slot) = settings.get_mut(&c.key) else {
            return Err(unknown("setting", &c.key, &known));
        };
        *slot = serde_json::from_str(&c.value).unwrap_or(Value::from(c.value.as_str()));
        route.settings =
            serde_json::from_value(settings).map_err(|e| usage(format!("{}: {e}", c.key)))?;
        Ok(())
    })
    .await
}

async fn edit(
    arguments: &Arguments,
    change: impl Fn(&mut Document) -> Result<(), CommandError>,
) -> Result<(), CommandError> {
    let store = Store::open(arguments)?;
    let mut tries = 0;
    loop {
        let base = store.read().await?;
        let mut document = base.document.clone();
        change(&mut document)?;
        let changes = diff(&base.document, &document);
        tries += 1;
        match store.write(&base, document).await {
            Err(CommandError::Conflict { .. }) if tries < TRIES => {}
            Ok(revision) => return accepted(arguments, Accepted { revision, changes }),
            Err(e) => return Err(e),
        }
    }
}

fn set(labels: &mut Labels, word: &str) -> Result<(), CommandError> {
    let name = |text: &str| text.parse::<Name>().map_err(|e| usage(format!("{text:?}: {e}")));
    match (word.split_once('='), word.strip_suffix('-')) {
        (Some((key, value)), _) => {
            labels.0.insert(name(key)?, name(value)?);
            Ok(())
        }
        (None, Some(key)) => {
            labels.0.remove(key);
            Ok(())
        }
        (None, None) => Err(usage(format!("{word:?} is neither KEY=VALUE nor KEY-"))),
    }
}

fn unknown(kind: &str, name: &str, names: &[String]) -> CommandError {
    let near = nearest(name, names.iter().map(String::as_str));
    let tip = near.map_or(String::new(), |n| format!("\n  tip: did you mean `{n}`?"));
    CommandError::Usage { message: format!("no {kind} {name:?}"), tip }
}

fn usage(message: String) -> CommandError {
    CommandError::Usage { message, tip: String::new() }
}
