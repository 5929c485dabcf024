//! The stored configuration: reading it, and storing a change exactly once or not at all.

use std::net::SocketAddr;
use std::time::Duration;

use heathpitch_core::{Document, Name, Revision, diff, parse_document};
use heathpitch_net::{Client, HttpPlatform, PlatformClient, PutError, RpcError, Stored};

use super::arguments::Arguments;
use super::error::CommandError;

/// Key of the configuration document.
const KEY: &str = "config";
/// Environment variable with the platform's endpoints.
const ENDPOINTS: &str = "HEATHPITCH_PLATFORM";
/// Times a call without an answer is made again.
const TRIES: u32 = 8;
/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(250);

/// A document as it is stored.
#[derive(Clone, Debug)]
pub(crate) struct Standing {
    pub(crate) revision: Revision,
    pub(crate) document: Document,
}

/// The platform that the arguments name.
pub(crate) struct Store(HttpPlatform);

/// # Reading
impl Store {
    /// Finds the platform's endpoints; does not call them.
    pub(crate) fn open(arguments: &Arguments) -> Result<Self, CommandError> {
        let given = arguments.platform.clone().or_else(|| std::env::var(ENDPOINTS).ok());
        let text = given.ok_or(CommandError::Missing { option: "--platform" })?;
        let parse = |t: &str| {
            let text = t.to_owned();
            t.parse().map_err(|_| CommandError::Address { option: "--platform", text })
        };
        let endpoints = text.split(',').map(parse).collect::<Result<Vec<SocketAddr>, _>>()?;
        Ok(Self(HttpPlatform::new(Client::new(), &endpoints)))
    }

    /// The document that stands; an empty one at revision 0 if none does.
    pub(crate) async fn read(&self) -> Result<Standing, CommandError> {
        let mut last = RpcError::Lost("not tried".to_owned());
        for _ in 0..TRIES {
            match self.0.get(KEY).await {
                Ok(Some(stored)) => return standing(&stored),
                Ok(None) => {
                    return Ok(Standing { revision: Revision(0), document: Document::default() });
                }
                Err(e) => last = e,
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(CommandError::Unreached { what: "the platform", source: last })
    }
}

/// # Writing
impl Store {
    /// Stores `document` over `base`.
    ///
    /// A write whose answer is lost is looked up by its change id, and written again only over the
    /// same revision, so that it lands once or not at all.
    pub(crate) async fn write(
        &self,
        base: &Standing,
        mut document: Document,
    ) -> Result<Revision, CommandError> {
        let id = change_id();
        document.record(&base.document, id.clone());
        document.revision = None;
        let text = serde_json::to_string(&document).unwrap_or_default();
        parse_document(&text).map_err(|source| CommandError::Document {
            place: "changed document".to_owned(),
            source,
        })?;
        let mut unsure = false;
        let mut last = RpcError::Lost("not tried".to_owned());
        for _ in 0..TRIES {
            match self.0.put(KEY, base.revision, text.clone()).await {
                Ok(revision) => return Ok(revision),
                Err(PutError::Conflict(_)) => return self.settle(base, &id, unsure).await,
                Err(PutError::Refused(e @ RpcError::Status(400..=428 | 430..=499))) => {
                    return Err(CommandError::Unreached { what: "the platform", source: e });
                }
                Err(PutError::Refused(e)) => last = e,
                Err(PutError::Unknown(e)) => {
                    unsure = true;
                    last = e;
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        match unsure {
            true => self.look_up(&id, last).await,
            false => Err(CommandError::Unreached { what: "the platform", source: last }),
        }
    }

    /// Every answer was lost: the change is stored if it is found; if not, it may yet come.
    async fn look_up(&self, id: &Name, last: RpcError) -> Result<Revision, CommandError> {
        match self.read().await {
            Ok(now) if now.document.changes.contains(id) => Ok(now.revision),
            _ => Err(CommandError::Unknown { id: id.to_string(), source: last }),
        }
    }

    /// Another revision stands: it is this change, one made after it, or somebody else's.
    async fn settle(
        &self,
        base: &Standing,
        id: &Name,
        unsure: bool,
    ) -> Result<Revision, CommandError> {
        let now = match self.read().await {
            Ok(now) => now,
            Err(CommandError::Unreached { source, .. }) if unsure => {
                return Err(CommandError::Unknown { id: id.to_string(), source });
            }
            Err(e) => return Err(e),
        };
        match now.document.changes.contains(id) {
            true => Ok(now.revision),
            false => Err(CommandError::Conflict {
                expected: base.revision,
                stands: now.revision,
                changes: diff(&base.document, &now.document),
            }),
        }
    }
}

fn standing(stored: &Stored) -> Result<Standing, CommandError> {
    let place = format!("stored revision {}", stored.revision);
    let document =
        parse_document(&stored.value).map_err(|source| CommandError::Document { place, source })?;
    Ok(Standing { revision: stored.revision, document })
}

fn change_id() -> Name {
    let drawn: u64 = rand::random();
    let text = format!("{drawn:016x}");
    heathpitch_core::digest(&[text.as_bytes(), b"change"])
}
