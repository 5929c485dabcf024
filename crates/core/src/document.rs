//! The configuration document that operators keep in the platform's key-value service.

use serde::{Deserialize, Serialize};

use crate::{Account, Model, Name, Pool, Revision, Route};

/// Everything operators decide: models, accounts, pools and routes.
///
/// Read it with [`parse_document`](crate::parse_document), which checks it too.
///
/// # Examples
///
/// ```
/// let text = r#"{"models":[{"name":"tickets","version":"v1","layers":4}]}"#;
/// let doc = heathpitch_core::parse_document(text)?;
/// assert_eq!(doc.models[0].layers, 4);
/// # Ok::<(), heathpitch_core::ConfigError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Models in use.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Client accounts.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Pools of engines or services.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Routes in order of precedence.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Ids of the newest changes, newest last; kept by the command line.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Name>,
    /// Revision the document was read at; never stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

impl Document {
    /// Changes remembered; a change older than this can no longer be found.
    pub const MAX_CHANGES: usize = 64;

    /// Adds a change id to those of `base`, forgetting the oldest.
    pub fn record(&mut self, base: &Document, id: Name) {
        self.changes = base.changes.clone();
        self.changes.push(id);
        let extra = self.changes.len().saturating_sub(Self::MAX_CHANGES);
        self.changes.drain(..extra);
    }
}
