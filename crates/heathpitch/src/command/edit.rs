//! Edits of single labels and settings, retried on the current revision after a conflict.

use heathpitch_core::{Document, Labels, Name, diff, nearest};
use serde_json::Value;

use super::apply::{Accepted, print_accepted};
use super::arguments::{Arguments, LabelArguments, RouteArguments};
use super::error::CommandError;
use super::store::Store;

/// Attempts of an edit that meets conflicts.
const MAX_ATTEMPTS: u32 = 10;

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
            other => return Err(usage_error(format!("{other:?} is neither `pool` nor `account`"))),
        };
        let labels = labels.ok_or_else(|| unknown_name(&c.kind, &c.name, &names))?;
        c.labels.iter().try_for_each(|change| set_label(labels, change))
    })
    .await
}

/// Changes a setting of a route.
pub(crate) async fn route(arguments: &Arguments, c: &RouteArguments) -> Result<(), CommandError> {
    edit(arguments, |document| {
        let names: Vec<String> = document.routes.iter().map(|r| r.name.to_string()).collect();
        let found = document.routes.iter_mut().find(|r| r.name.as_str() == c.name);
        let route = found.ok_or_else(|| unknown_name("route", &c.name, &names))?;
        let mut settings = serde_json::to_value(&route.settings).unwrap_or_default();
        let known: Vec<String> =
            settings.as_object().map(|o| o.keys().cloned().collect()).unwrap_or_default();
        let Some(setting) = settings.get_mut(&c.key) else {
            return Err(unknown_name("setting", &c.key, &known));
        };
        *setting = serde_json::from_str(&c.value).unwrap_or(Value::from(c.value.as_str()));
        route.settings =
            serde_json::from_value(settings).map_err(|e| usage_error(format!("{}: {e}", c.key)))?;
        Ok(())
    })
    .await
}

async fn edit(
    arguments: &Arguments,
    change: impl Fn(&mut Document) -> Result<(), CommandError>,
) -> Result<(), CommandError> {
    let store = Store::open(arguments)?;
    let mut attempts = 0;
    loop {
        let base = store.read().await?;
        let mut document = base.document.clone();
        change(&mut document)?;
        let changes = diff(&base.document, &document);
        attempts += 1;
        match store.write(&base, document).await {
            Err(CommandError::Conflict { .. }) if attempts < MAX_ATTEMPTS => {}
            Ok(revision) => return print_accepted(arguments, Accepted { revision, changes }),
            Err(e) => return Err(e),
        }
    }
}

fn set_label(labels: &mut Labels, change: &str) -> Result<(), CommandError> {
    let name = |text: &str| text.parse::<Name>().map_err(|e| usage_error(format!("{text:?}: {e}")));
    match (change.split_once('='), change.strip_suffix('-')) {
        (Some((key, value)), _) => {
            labels.0.insert(name(key)?, name(value)?);
            Ok(())
        }
        (None, Some(key)) => {
            labels.0.remove(key);
            Ok(())
        }
        (None, None) => Err(usage_error(format!("{change:?} is neither KEY=VALUE nor KEY-"))),
    }
}

fn unknown_name(kind: &str, name: &str, names: &[String]) -> CommandError {
    let similar = nearest(name, names.iter().map(String::as_str));
    let hint = similar.map_or(String::new(), |n| format!("\n  tip: did you mean `{n}`?"));
    CommandError::Usage { message: format!("no {kind} {name:?}"), hint }
}

fn usage_error(message: String) -> CommandError {
    CommandError::Usage { message, hint: String::new() }
}
