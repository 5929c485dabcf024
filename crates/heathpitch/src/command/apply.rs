//! Storing a configuration file.

use heathpitch_core::{Change, Revision, diff};
use serde::Serialize;

use super::arguments::{ApplyArguments, Arguments};
use super::error::CommandError;
use super::output::print;
use super::store::Store;
use super::{fleet, read};

/// A stored change.
#[derive(Serialize)]
pub(crate) struct Accepted {
    pub(crate) revision: Revision,
    pub(crate) changes: Vec<Change>,
}

/// Stores a file if the revision it is based on is still current.
pub(crate) async fn apply(arguments: &Arguments, c: &ApplyArguments) -> Result<(), CommandError> {
    let document = read::read_document(&c.file)?;
    let store = Store::open(arguments)?;
    let base = store.read().await?;
    let expected = c.expect.map(Revision).or(document.revision);
    match expected {
        _ if c.overwrite => {}
        None if base.revision.0 > 0 => return Err(CommandError::MissingRevision(base.revision)),
        Some(expected) if expected != base.revision => {
            let changes = diff(&base.document, &document);
            let current = base.revision;
            return Err(CommandError::StaleRevision { expected, current, changes });
        }
        _ => {}
    }
    let changes = diff(&base.document, &document);
    let revision = store.write(&base, document).await?;
    print_accepted(arguments, Accepted { revision, changes })?;
    match c.wait {
        true => fleet::wait_in_force(arguments, revision.0, c.timeout).await,
        false => Ok(()),
    }
}

/// Prints a stored change.
pub(crate) fn print_accepted(
    arguments: &Arguments,
    accepted: Accepted,
) -> Result<(), CommandError> {
    print(arguments, &accepted, |a| {
        format!("accepted as revision {}\n{}", a.revision, read::format_changes(&a.changes))
    })
}
