//! Commands that change nothing.

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
struct Counted {
    valid: bool,
    models: usize,
    accounts: usize,
    pools: usize,
    routes: usize,
}

/// Checks a file.
pub(crate) fn validate(arguments: &Arguments, c: &FileArguments) -> Result<(), CommandError> {
    let document = file(&c.file)?;
    let counted = Counted {
        valid: true,
        models: document.models.len(),
        accounts: document.accounts.len(),
        pools: document.pools.len(),
        routes: document.routes.len(),
    };
    print(arguments, &counted, |n| {
        let Counted { models, accounts, pools, routes, .. } = n;
        format!("valid: {models} models, {accounts} accounts, {pools} pools, {routes} routes")
    })
}

/// Prints what is stored, in the form that `apply` takes.
pub(crate) async fn get(arguments: &Arguments) -> Result<(), CommandError> {
    let standing = Store::open(arguments)?.read().await?;
    if standing.revision.0 == 0 {
        return Err(CommandError::Empty);
    }
    let document = Document { revision: Some(standing.revision), ..standing.document };
    print(arguments, &document, |d| serde_json::to_string_pretty(d).unwrap_or_default())
}

/// Compares a file with what is stored.
pub(crate) async fn diff(arguments: &Arguments, c: &FileArguments) -> Result<(), CommandError> {
    let document = file(&c.file)?;
    let standing = Store::open(arguments)?.read().await?;
    let changes = heathpitch_core::diff(&standing.document, &document);
    print(arguments, &changes, |c| lines(c))
}

/// Prints the digest of an API key, so that the key itself never stands in an argument list.
pub(crate) fn key(arguments: &Arguments, _: &NoArguments) -> Result<(), CommandError> {
    let mut text = String::new();
    let read = std::io::stdin().read_to_string(&mut text);
    read.map_err(|source| CommandError::Read { path: "standard input".into(), source })?;
    let digest = heathpitch_core::digest(&[text.trim_end().as_bytes()]);
    print(arguments, &digest, ToString::to_string)
}

/// Reads and checks a file.
pub(crate) fn file(path: &Path) -> Result<Document, CommandError> {
    let place = path.display().to_string();
    let wrong = |source: ConfigError| CommandError::Document { place, source };
    match fs::read_to_string(path) {
        Ok(text) => parse_document(&text).map_err(wrong),
        Err(source) => Err(CommandError::Read { path: path.to_owned(), source }),
    }
}

/// Changes, one a line.
pub(crate) fn lines(changes: &[Change]) -> String {
    match changes {
        [] => "no difference".to_owned(),
        some => some.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"),
    }
}
