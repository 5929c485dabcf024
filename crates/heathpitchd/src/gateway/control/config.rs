//! Controller of the configuration, and of the proof that it is the newest.
//!
//! A watch brings changes fast but proves nothing while it waits. The proof is a write without any
//! change, on the condition that the configuration has the revision in force: small, and answered
//! only by what the store holds now.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Invariant, Millis, Revision, check};
use heathpitch_net::{GetResponse, Item, ItemChange, StoreError, Write};

use super::engine_list;
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::record_proof;

/// Longest wait of a watch, milliseconds: below the store's 30 s. Only speed rests on it: the
/// next proof brings what a dead watch does not.
const WATCH: Millis = 25_000;
/// Time between two proofs: two and more fit into the shortest time agreed for removed keys.
const PROVE: Duration = Duration::from_millis(2_000);
/// Time between two proofs of a planner: with an answer's time and a question of a follower (400 ms) below
/// the age up to which calls are denied.
const PROVE_PLANNER: Duration = Duration::from_millis(1_000);
/// Time between two tries while the store does not answer, at first; doubled each time.
const RETRY: Duration = Duration::from_millis(300);
/// Longest such time: a fraction of the shortest time agreed for removed keys.
const RETRY_LONGEST: Duration = Duration::from_millis(1_200);

/// Keeps the newest configuration in force.
pub(super) async fn follow(control: Rc<Control>) {
    let (read, watch) = (async || read(&control).await, async |at| watch(&control, at).await);
    control.keep(RETRY, read, watch).await;
}

/// Proves again and again that the configuration in force is the newest.
pub(super) async fn keep_proven(control: Rc<Control>) {
    let mut retry = RETRY;
    loop {
        if !control.reads() {
            control.turned.notified().await;
            continue;
        }
        let sent = control.now();
        let proven = once(&control).await;
        retry = if proven { RETRY } else { (retry * 2).min(RETRY_LONGEST) };
        let pause = match proven {
            true if control.plans() || control.stopping() => {
                PROVE_PLANNER.saturating_sub(Duration::from_millis(control.now() - sent))
            }
            true => PROVE,
            false => retry,
        };
        tokio::time::sleep(pause).await;
    }
}

/// Reads the configuration; gives the revision to watch from.
pub(super) async fn read(control: &Control) -> Option<Revision> {
    let sent = control.now();
    let key = control.edges.dialect.config_key();
    match control.call("get", control.edges.store.get(key)).await {
        Ok(GetResponse { item: Some(item), at }) => {
            if adopt(control, &item) {
                record_proof(&control.shared.config_freshness, sent);
            }
            Some(at)
        }
        Ok(GetResponse { item: None, .. }) | Err(_) => None,
    }
}

async fn watch(control: &Control, from: Revision) {
    let prefix = control.edges.dialect.config_prefix();
    let key = control.edges.dialect.config_key();
    let mut at = from;
    loop {
        let asked = control.watch("configuration", prefix, at, WATCH);
        let Some(answer) = control.until_doubt(asked).await else {
            if control.direct().await {
                return;
            }
            // Its connection may be dead: asked anew from where it was, which costs no read of the whole.
            continue;
        };
        let watched = match answer {
            Ok(watched) => watched,
            Err(StoreError::Compacted) => return,
            Err(_) => return tokio::time::sleep(RETRY).await,
        };
        for change in &watched.changes {
            match change {
                ItemChange::Put(item) if &*item.key == key => {
                    adopt(control, item);
                }
                ItemChange::Put(_) | ItemChange::Deleted(_) => {}
            }
        }
        at = watched.at;
        if !control.reads() {
            return;
        }
    }
}

async fn once(control: &Control) -> bool {
    let Some(revision) = control.shared.catalog.load().as_ref().map(|c| c.revision) else {
        return false;
    };
    let sent = control.now();
    let key = control.edges.dialect.config_key().to_owned();
    let conditions = vec![(key, revision)];
    let write = Write { conditions, ..Write::default() };
    match control.call("prove", control.edges.store.write(write)).await {
        Ok(at) => engine_list::prove_at(control, at, sent),
        Err(StoreError::Conflict(items)) => match items.first() {
            Some(item) if adopt(control, item) => {}
            Some(_) | None => return false,
        },
        // What it was to hold for was read from another history.
        Err(StoreError::Restored) => return read(control).await.is_some(),
        Err(_) => return false,
    }
    record_proof(&control.shared.config_freshness, sent);
    true
}

/// Puts a configuration in force unless a newer one is; gives whether none newer than this one is.
///
/// Of two that one history of the store holds, the later is newer. Where the store came back from an older copy in
/// between, the operator's own version decides: what was in force stays until it, or a newer one, is written again.
pub(super) fn adopt(control: &Control, item: &Item) -> bool {
    let current = control.shared.catalog.load().as_ref().map(|c| (c.revision, c.version));
    let (revision, before) = (item.revision, current.map(|(revision, _)| revision));
    let same = before.is_some_and(|b| b.era() == revision.era());
    if same && before.is_some_and(|b| revision <= b) {
        return true;
    }
    let catalog = match control.edges.dialect.catalog(item) {
        Ok(catalog) => catalog,
        Err(e) => {
            let error = e.to_string();
            GatewayEvent::ConfigRejected { revision, error }.log();
            return true;
        }
    };
    match current {
        Some((_, in_force)) if !same && catalog.version < in_force => {
            let version = catalog.version;
            GatewayEvent::ConfigBehind { version, revision, in_force }.log();
            return false;
        }
        // The one in force, as an older history had it.
        Some((before, in_force)) if before > revision && catalog.version == in_force => {
            return true;
        }
        Some(_) | None => {}
    }
    *control.document.borrow_mut() = Some(item.clone());
    check(Invariant::RevisionOrder, !same || before.is_none_or(|b| catalog.revision > b));
    control.shared.metrics.config.set(catalog.version as i64);
    GatewayEvent::ConfigAdopted {
        version: catalog.version,
        revision: catalog.revision,
        routes: catalog.routes().count(),
    }
    .log();
    control.shared.catalog.store(Some(Arc::new(catalog)));
    control.publish();
    true
}
