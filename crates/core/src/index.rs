//! A configuration document, indexed for lookups per request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{Account, Document, Model, Name, Pool, Priority, Revision, Route, RouteKind};

/// One revision of the configuration, indexed for the request path.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// Revision of the document.
    pub revision: Revision,
    /// Models by name.
    pub models: HashMap<Name, Arc<Model>>,
    /// Client accounts by name.
    pub accounts: HashMap<Name, Arc<Account>>,
    /// Client accounts by the digest of each of their API keys.
    pub keys: HashMap<Name, Arc<Account>>,
    /// Routes in order of precedence.
    pub routes: Vec<Arc<Route>>,
    /// Pools in document order.
    pub pools: Vec<Pool>,
}

/// # Construction
impl Index {
    /// Builds the index of `doc`.
    pub fn new(revision: Revision, doc: &Document) -> Self {
        let accounts: Vec<_> = doc.accounts.iter().cloned().map(Arc::new).collect();
        let keyed = |a: &Arc<Account>| {
            let a = a.clone();
            a.keys.clone().into_iter().map(move |k| (k, a.clone()))
        };
        Self {
            revision,
            models: doc.models.iter().map(|m| (m.name.clone(), Arc::new(m.clone()))).collect(),
            keys: accounts.iter().flat_map(keyed).collect(),
            accounts: accounts.into_iter().map(|a| (a.name.clone(), a)).collect(),
            routes: doc.routes.iter().cloned().map(Arc::new).collect(),
            pools: doc.pools.clone(),
        }
    }
}

/// # Lookups
impl Index {
    /// The first model route whose selector matches the request.
    pub fn route(&self, account: &Account, model: &Name, at: Priority) -> Option<&Arc<Route>> {
        let matches =
            |r: &&Arc<Route>| r.kind == RouteKind::Model && r.select.matches(account, model, at);
        self.routes.iter().find(matches)
    }

    /// The service route named `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<Route>> {
        let matches = |r: &&Arc<Route>| r.kind == RouteKind::Service && r.name.as_str() == name;
        self.routes.iter().find(matches)
    }

    /// Whether a VM with these labels is a member of one of the pools of `route`.
    pub fn admits(&self, route: &Route, labels: &crate::Labels) -> bool {
        let selected = |p: &&Pool| route.pools.matches(&p.name, &p.labels);
        self.pools.iter().filter(selected).any(|p| labels.covers(&p.members))
    }
}
