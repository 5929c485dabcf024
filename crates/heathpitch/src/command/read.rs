//! Commands that change no configuration.

use std::fs;
use std::io::Read;
use std::path::Path;

use heathpitch_core::{Change, ConfigError, Document, parse_document};
use serde::Serialize;

use super::arguments::{Arguments, FileArguments, NoArguments};
use super::error::CommandError;
use super::output::print;
use super::store::Store;

#[derive(Serialize)]
struct ValidationSummary {
    valid: bool,
    models: usize,
    accounts: usize,
    pools: usize,
    routes: usize,
}

/// Checks a configuration file.
pub(crate) fn validate(arguments: &Arguments, c: &FileArguments) -> Result<(), CommandError> {
    let document = read_document(&c.file)?;
    let summary = ValidationSummary {
        valid: true,
        models: document.models.len(),
        accounts: document.accounts.len(),
        pools: document.pools.len(),
        routes: document.routes.len(),
    };
    print(arguments, &summary, |s| {
        let ValidationSummary { models, accounts, pools, routes, .. } = s;
        format!("valid: {models} models, {accounts} accounts, {pools} pools, {routes} routes")
    })
}

/// Prints the stored configuration in the format that `apply` reads.
pub(crate) async fn get(arguments: &Arguments) -> Result<(), CommandError> {
    let stored = Store::open(arguments)?.read().await?;
    if stored.revision.0 == 0 {
        return Err(CommandError::Empty);
    }
    let document = Document { revision: Some(stored.revision), ..stored.document };
    print(arguments, &document, |d| serde_json::to_string_pretty(d).unwrap_or_default())
}

/// Compares a file with the stored configuration.
pub(crate) async fn diff(arguments: &Arguments, c: &FileArguments) -> Result<(), CommandError> {
    let document = read_document(&c.file)?;
    let stored = Store::open(arguments)?.read().await?;
    let changes = heathpitch_core::diff(&stored.document, &document);
    print(arguments, &changes, |c| format_changes(c))
}

/// Prints the digest of an API key. The key comes from standard input, so that it never appears in an
/// argument list.
pub(crate) fn key(arguments: &Arguments, _: &NoArguments) -> Result<(), CommandError> {
    let mut text = String::new();
    let result = std::io::stdin().read_to_string(&mut text);
    result.map_err(|source| CommandError::ReadFile { path: "standard input".into(), source })?;
    let digest = heathpitch_core::digest(&[text.trim_end().as_bytes()]);
    print(arguments, &digest, ToString::to_string)
}

/// Reads and checks a configuration file.
pub(crate) fn read_document(path: &Path) -> Result<Document, CommandError> {
    let location = path.display().to_string();
    let invalid = |source: ConfigError| CommandError::InvalidDocument { location, source };
    match fs::read_to_string(path) {
        Ok(text) => parse_document(&text).map_err(invalid),
        Err(source) => Err(CommandError::ReadFile { path: path.to_owned(), source }),
    }
}

/// Formats changes, one per line.
pub(crate) fn format_changes(changes: &[Change]) -> String {
    match changes {
        [] => "no difference".to_owned(),
        changes => changes.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
    }
}
