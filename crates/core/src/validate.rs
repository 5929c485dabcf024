//! Semantic checks of a configuration document, beyond its syntax and types.

use std::collections::HashSet;

use crate::{ConfigError, Document, ErrorKind, Match, Name, Route, nearest};

/// Checks that a document is consistent.
///
/// # Errors
///
/// The first inconsistency: a duplicate name, a number out of range, a reference to an undefined
/// name, or a route whose selector matches no pool.
pub fn validate(doc: &Document) -> Result<(), ConfigError> {
    check_unique("models", doc.models.iter().map(|m| &m.name))?;
    check_unique("accounts", doc.accounts.iter().map(|a| &a.name))?;
    check_unique("pools", doc.pools.iter().map(|p| &p.name))?;
    check_unique("routes", doc.routes.iter().map(|r| &r.name))?;
    for (i, m) in doc.models.iter().enumerate() {
        check_range(&format!("models[{i}].layers"), m.layers.into(), 1, 10_000)?;
    }
    for (i, a) in doc.accounts.iter().enumerate() {
        check_range(&format!("accounts[{i}].weight"), a.weight.into(), 1, 1_000_000)?;
        check_positive(&format!("accounts[{i}].rate"), a.rate)?;
    }
    doc.routes.iter().enumerate().try_for_each(|(i, r)| check_route(doc, i, r))
}

fn check_route(doc: &Document, i: usize, r: &Route) -> Result<(), ConfigError> {
    let at = |field: &str| format!("routes[{i}].{field}");
    let s = &r.settings;
    check_range(&at("settings.deadline_ms"), s.deadline_ms, 1, 3_600_000)?;
    check_range(&at("settings.attempts"), s.attempts.into(), 1, 10)?;
    check_range(&at("settings.first_ms"), s.first_ms, 1, 3_600_000)?;
    check_range(&at("settings.stall_ms"), s.stall_ms, 1, 3_600_000)?;
    check_range(&at("settings.max_open"), s.max_open.into(), 1, 1_000_000)?;
    let models: Vec<_> = doc.models.iter().map(|m| &m.name).collect();
    check_defined(&at("select.models"), &r.select.models, &models)?;
    let accounts: Vec<_> = doc.accounts.iter().map(|a| &a.name).collect();
    check_defined(&at("select.accounts.names"), &r.select.accounts.names, &accounts)?;
    let pools: Vec<_> = doc.pools.iter().map(|p| &p.name).collect();
    check_defined(&at("pools.names"), &r.pools.names, &pools)?;
    check_pools(doc, &at("pools"), &r.pools)
}

fn check_pools(doc: &Document, path: &str, selector: &Match) -> Result<(), ConfigError> {
    match doc.pools.iter().any(|p| selector.matches(&p.name, &p.labels)) {
        true => Ok(()),
        false => {
            Err(ConfigError::new(ErrorKind::MatchesNothing, path, "the selector matches no pool"))
        }
    }
}

fn check_unique<'a>(list: &str, names: impl Iterator<Item = &'a Name>) -> Result<(), ConfigError> {
    let mut seen = HashSet::new();
    for (i, name) in names.enumerate() {
        if !seen.insert(name) {
            let message = format!("{name:?} is defined more than once");
            return Err(ConfigError::new(
                ErrorKind::Duplicate,
                format!("{list}[{i}].name"),
                message,
            ));
        }
    }
    Ok(())
}

pub(crate) fn check_range(path: &str, value: u64, min: u64, max: u64) -> Result<(), ConfigError> {
    match value {
        v if v < min || v > max => {
            let message = format!("{v} is outside {min} to {max}");
            Err(ConfigError::new(ErrorKind::OutOfRange, path, message))
        }
        _ => Ok(()),
    }
}

fn check_positive(path: &str, value: Option<f64>) -> Result<(), ConfigError> {
    match value {
        Some(v) if !(v.is_finite() && v > 0.0) => {
            let message = format!("{v} is not above 0");
            Err(ConfigError::new(ErrorKind::OutOfRange, path, message))
        }
        _ => Ok(()),
    }
}

fn check_defined(path: &str, names: &[Name], all: &[&Name]) -> Result<(), ConfigError> {
    match names.iter().find(|n| !all.contains(n)) {
        Some(n) => {
            let tip = nearest(n.as_str(), all.iter().map(|a| a.as_str()));
            let message = format!("{n:?} is not defined");
            Err(ConfigError::new(ErrorKind::Dangling, path, message).with_tip(tip))
        }
        None => Ok(()),
    }
}
