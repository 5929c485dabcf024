//! The configuration document that operators store in the platform's key-value service.

use serde::{Deserialize, Serialize};

use crate::{Account, Model, Name, Pool, Revision, Route};

/// The configuration that operators control: models, accounts, pools and routes.
///
/// [`parse_document`](crate::parse_document) reads and validates one.
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
    /// Declared models.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Client accounts.
    #[serde(default)]
    pub accounts: Vec<Account>,
    /// Pools of engines or plain services.
    #[serde(default)]
    pub pools: Vec<Pool>,
    /// Routes in order of precedence.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Ids of the most recent changes, newest last; maintained by the command-line tool.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Name>,
    /// Revision at which the document was read; never stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<Revision>,
}

impl Document {
    /// Number of change ids kept; older changes can no longer be looked up.
    pub const MAX_CHANGES: usize = 64;

    /// Takes the change ids of `base`, appends `id` and drops the oldest beyond
    /// [`Self::MAX_CHANGES`].
    pub fn record(&mut self, base: &Document, id: Name) {
        self.changes = base.changes.clone();
        self.changes.push(id);
        let extra = self.changes.len().saturating_sub(Self::MAX_CHANGES);
        self.changes.drain(..extra);
    }
}
