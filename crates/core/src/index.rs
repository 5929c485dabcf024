//! A configuration document indexed for requests.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{Account, Document, Model, Name, Pool, Priority, Revision, Route, RouteKind};

/// One revision of the configuration, ready to be looked up on the request path.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// Revision of the document.
    pub revision: Revision,
    /// Models by name.
    pub models: HashMap<Name, Arc<Model>>,
    /// Accounts by name.
    pub accounts: HashMap<Name, Arc<Account>>,
    /// Accounts by digest of an API key.
    pub keys: HashMap<Name, Arc<Account>>,
    /// Routes in order of precedence.
    pub routes: Vec<Arc<Route>>,
    /// Pools by order of the document.
    pub pools: Vec<Pool>,
}

/// # Construction
impl Index {
    /// Indexes `doc`.
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

/// # Look-ups
impl Index {
    /// The first model route that serves the request.
    pub fn route(&self, account: &Account, model: &Name, at: Priority) -> Option<&Arc<Route>> {
        let fits =
            |r: &&Arc<Route>| r.kind == RouteKind::Model && r.select.matches(account, model, at);
        self.routes.iter().find(fits)
    }

    /// The service route of this name.
    pub fn service(&self, name: &str) -> Option<&Arc<Route>> {
        let fits = |r: &&Arc<Route>| r.kind == RouteKind::Service && r.name.as_str() == name;
        self.routes.iter().find(fits)
    }

    /// Whether a VM with these labels is in a pool of `route`.
    pub fn admits(&self, route: &Route, labels: &crate::Labels) -> bool {
        let chosen = |p: &&Pool| route.pools.matches(&p.name, &p.labels);
        self.pools.iter().filter(chosen).any(|p| labels.covers(&p.members))
    }
}
