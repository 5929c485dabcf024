//! Storing a whole file.

use heathpitch_core::{Change, Revision, diff};
use serde::Serialize;

use super::arguments::{ApplyArguments, Arguments};
use super::error::CommandError;
use super::output::print;
use super::store::Store;
use super::{fleet, read};

/// A change that was stored.
#[derive(Serialize)]
pub(crate) struct Accepted {
    pub(crate) revision: Revision,
    pub(crate) changes: Vec<Change>,
}

/// Stores a file over the revision it was made from.
pub(crate) async fn apply(arguments: &Arguments, c: &ApplyArguments) -> Result<(), CommandError> {
    let document = read::file(&c.file)?;
    let store = Store::open(arguments)?;
    let base = store.read().await?;
    let expected = c.expect.map(Revision).or(document.revision);
    match expected {
        _ if c.overwrite => {}
        None if base.revision.0 > 0 => return Err(CommandError::NoBase(base.revision)),
        Some(expected) if expected != base.revision => {
            let changes = diff(&base.document, &document);
            let stands = base.revision;
            return Err(CommandError::Outdated { expected, stands, changes });
        }
        _ => {}
    }
    let changes = diff(&base.document, &document);
    let revision = store.write(&base, document).await?;
    accepted(arguments, Accepted { revision, changes })?;
    match c.wait {
        true => fleet::in_force(arguments, revision.0, c.timeout).await,
        false => Ok(()),
    }
}

/// Prints what was stored.
pub(crate) fn accepted(arguments: &Arguments, accepted: Accepted) -> Result<(), CommandError> {
    print(arguments, &accepted, |a| {
        format!("accepted as revision {}\n{}", a.revision, read::lines(&a.changes))
    })
}
