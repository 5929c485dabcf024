//! The stored configuration: reads, and writes that take effect at most once.

use std::net::SocketAddr;
use std::time::Duration;

use heathpitch_core::{Document, Name, Revision, diff, parse_document};
use heathpitch_net::{Client, HttpPlatform, PlatformClient, PutError, RpcError, Stored};

use super::arguments::Arguments;
use super::error::CommandError;

/// Store key of the configuration document.
const CONFIG_KEY: &str = "config";
/// Environment variable with the platform's endpoints.
const PLATFORM_ENV: &str = "HEATHPITCH_PLATFORM";
/// Attempts of a call to the platform.
const MAX_ATTEMPTS: u32 = 8;
/// Time between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The stored document and its revision.
#[derive(Clone, Debug)]
pub(crate) struct StoredConfig {
    pub(crate) revision: Revision,
    pub(crate) document: Document,
}

/// Client of the platform that stores the configuration.
pub(crate) struct Store(HttpPlatform);

/// # Reading
impl Store {
    /// Reads the platform's endpoints from the arguments or the environment; does not connect.
    pub(crate) fn open(arguments: &Arguments) -> Result<Self, CommandError> {
        let given = arguments.platform.clone().or_else(|| std::env::var(PLATFORM_ENV).ok());
        let text = given.ok_or(CommandError::MissingOption { option: "--platform" })?;
        let parse = |t: &str| {
            let text = t.to_owned();
            t.parse().map_err(|_| CommandError::InvalidAddress { option: "--platform", text })
        };
        let endpoints = text.split(',').map(parse).collect::<Result<Vec<SocketAddr>, _>>()?;
        Ok(Self(HttpPlatform::new(Client::new(), &endpoints)))
    }

    /// Reads the stored document; an empty one at revision 0 if there is none.
    pub(crate) async fn read(&self) -> Result<StoredConfig, CommandError> {
        let mut last = RpcError::Lost("no attempt made".to_owned());
        for _ in 0..MAX_ATTEMPTS {
            match self.0.get(CONFIG_KEY).await {
                Ok(Some(stored)) => return parse_stored(&stored),
                Ok(None) => {
                    return Ok(StoredConfig {
                        revision: Revision(0),
                        document: Document::default(),
                    });
                }
                Err(e) => last = e,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(CommandError::Unreachable { what: "the platform", source: last })
    }
}

/// # Writing
impl Store {
    /// Stores `document` if `base` is still the current revision.
    ///
    /// A write whose answer is lost is looked up by its change id and repeated only over the same
    /// revision, so that it takes effect at most once.
    pub(crate) async fn write(
        &self,
        base: &StoredConfig,
        mut document: Document,
    ) -> Result<Revision, CommandError> {
        let id = change_id();
        document.record(&base.document, id.clone());
        document.revision = None;
        let text = serde_json::to_string(&document).unwrap_or_default();
        parse_document(&text).map_err(|source| CommandError::InvalidDocument {
            location: "changed document".to_owned(),
            source,
        })?;
        let mut may_be_stored = false;
        let mut last = RpcError::Lost("no attempt made".to_owned());
        for _ in 0..MAX_ATTEMPTS {
            match self.0.put(CONFIG_KEY, base.revision, text.clone()).await {
                Ok(revision) => return Ok(revision),
                Err(PutError::Conflict(_)) => return self.resolve(base, &id, may_be_stored).await,
                Err(PutError::Refused(e @ RpcError::Status(400..=428 | 430..=499))) => {
                    return Err(CommandError::Unreachable { what: "the platform", source: e });
                }
                Err(PutError::Refused(e)) => last = e,
                Err(PutError::Unknown(e)) => {
                    may_be_stored = true;
                    last = e;
                }
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        match may_be_stored {
            true => self.find_change(&id, last).await,
            false => Err(CommandError::Unreachable { what: "the platform", source: last }),
        }
    }

    /// Resolves a write without any answer: the change is stored if it is found. If it is not found, it may still
    /// be stored later.
    async fn find_change(&self, id: &Name, last: RpcError) -> Result<Revision, CommandError> {
        match self.read().await {
            Ok(now) if now.document.changes.contains(id) => Ok(now.revision),
            _ => Err(CommandError::UnknownOutcome { id: id.to_string(), source: last }),
        }
    }

    /// Resolves a conflict: the current revision may be this change, a later one, or another writer's.
    async fn resolve(
        &self,
        base: &StoredConfig,
        id: &Name,
        may_be_stored: bool,
    ) -> Result<Revision, CommandError> {
        let now = match self.read().await {
            Ok(now) => now,
            Err(CommandError::Unreachable { source, .. }) if may_be_stored => {
                return Err(CommandError::UnknownOutcome { id: id.to_string(), source });
            }
            Err(e) => return Err(e),
        };
        match now.document.changes.contains(id) {
            true => Ok(now.revision),
            false => Err(CommandError::Conflict {
                expected: base.revision,
                current: now.revision,
                changes: diff(&base.document, &now.document),
            }),
        }
    }
}

fn parse_stored(stored: &Stored) -> Result<StoredConfig, CommandError> {
    let location = format!("stored revision {}", stored.revision);
    let document = parse_document(&stored.value)
        .map_err(|source| CommandError::InvalidDocument { location, source })?;
    Ok(StoredConfig { revision: stored.revision, document })
}

fn change_id() -> Name {
    let nonce: u64 = rand::random();
    let text = format!("{nonce:016x}");
    heathpitch_core::digest(&[text.as_bytes(), b"change"])
}
