//! Checks of a configuration document beyond its form.

use std::collections::HashSet;

use crate::{ConfigError, Document, ErrorKind, Match, Name, Route, nearest};

/// Checks that a document is consistent in itself.
///
/// # Errors
///
/// The first inconsistency: a name given twice, a number out of bounds, a name that refers to
/// nothing, a route whose pools match none.
pub fn validate(doc: &Document) -> Result<(), ConfigError> {
    distinct("models", doc.models.iter().map(|m| &m.name))?;
    distinct("accounts", doc.accounts.iter().map(|a| &a.name))?;
    distinct("pools", doc.pools.iter().map(|p| &p.name))?;
    distinct("routes", doc.routes.iter().map(|r| &r.name))?;
    for (i, m) in doc.models.iter().enumerate() {
        within(&format!("models[{i}].layers"), m.layers.into(), 1, 10_000)?;
    }
    for (i, a) in doc.accounts.iter().enumerate() {
        within(&format!("accounts[{i}].weight"), a.weight.into(), 1, 1_000_000)?;
        positive(&format!("accounts[{i}].rate"), a.rate)?;
    }
    doc.routes.iter().enumerate().try_for_each(|(i, r)| route(doc, i, r))
}

fn route(doc: &Document, i: usize, r: &Route) -> Result<(), ConfigError> {
    let at = |field: &str| format!("routes[{i}].{field}");
    let s = &r.settings;
    within(&at("settings.deadline_ms"), s.deadline_ms, 1, 3_600_000)?;
    within(&at("settings.attempts"), s.attempts.into(), 1, 10)?;
    within(&at("settings.first_ms"), s.first_ms, 1, 3_600_000)?;
    within(&at("settings.stall_ms"), s.stall_ms, 1, 3_600_000)?;
    within(&at("settings.max_open"), s.max_open.into(), 1, 1_000_000)?;
    let models: Vec<_> = doc.models.iter().map(|m| &m.name).collect();
    known(&at("select.models"), &r.select.models, &models)?;
    let accounts: Vec<_> = doc.accounts.iter().map(|a| &a.name).collect();
    known(&at("select.accounts.names"), &r.select.accounts.names, &accounts)?;
    let pools: Vec<_> = doc.pools.iter().map(|p| &p.name).collect();
    known(&at("pools.names"), &r.pools.names, &pools)?;
    any_pool(doc, &at("pools"), &r.pools)
}

fn any_pool(doc: &Document, path: &str, want: &Match) -> Result<(), ConfigError> {
    match doc.pools.iter().any(|p| want.matches(&p.name, &p.labels)) {
        true => Ok(()),
        false => {
            Err(ConfigError::new(ErrorKind::MatchesNothing, path, "the selector matches no pool"))
        }
    }
}

fn distinct<'a>(list: &str, names: impl Iterator<Item = &'a Name>) -> Result<(), ConfigError> {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name) {
            let message = format!("{name:?} stands twice");
            return Err(ConfigError::new(
                ErrorKind::Duplicate,
                format!("{list}[{i}].name"),
                message,
            ));
        }
    }
    Ok(())
}

pub(crate) fn within(path: &str, value: u64, min: u64, max: u64) -> Result<(), ConfigError> {
    match value {
        v if v < min || v > max => {
            let message = format!("{v} is outside {min} to {max}");
            Err(ConfigError::new(ErrorKind::OutOfRange, path, message))
        }
        _ => Ok(()),
    }
}

fn positive(path: &str, value: Option<f64>) -> Result<(), ConfigError> {
    match value {
        Some(v) if !(v.is_finite() && v > 0.0) => {
            let message = format!("{v} is not above 0");
            Err(ConfigError::new(ErrorKind::OutOfRange, path, message))
        }
        _ => Ok(()),
    }
}

fn known(path: &str, names: &[Name], all: &[&Name]) -> Result<(), ConfigError> {
    match names.iter().find(|n| !all.contains(n)) {
        Some(n) => {
            let tip = nearest(n.as_str(), all.iter().map(|a| a.as_str()));
            let message = format!("{n:?} is not defined");
            Err(ConfigError::new(ErrorKind::Dangling, path, message).with_tip(tip))
        }
        None => Ok(()),
    }
}
