//! Controller of the configuration.
//!
//! A watch delivers changes quickly but proves nothing while it is pending; `config_proof` does.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Invariant, Millis, Revision, check};
use heathpitch_net::{GetResponse, Item, ItemChange, RpcError, StoreError};

use super::rejected_config::RejectedConfig;
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Longest wait of a watch, below the store's limit of 30 s. A dead watch only delays a change, which the
/// next proof delivers.
const MAX_WATCH_MS: Millis = 25_000;
/// Retry interval of reads and watches.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Retry interval of reads of a configuration that is too large, each of which costs a connection, because the response
/// is left unread.
const TOO_LARGE_INTERVAL: Duration = Duration::from_millis(1_200);

/// Rejected parts of a configuration that are logged.
const MAX_LOGGED_PARTS: usize = 16;

/// Keeps the newest configuration in force.
pub(super) async fn follow(control: Rc<Control>) {
    let (read, watch) = (async || read(&control).await, async |at| watch(&control, at).await);
    control.read_and_watch(RETRY_INTERVAL, read, watch).await;
}

/// Reads the configuration and returns the revision to watch from.
pub(super) async fn read(control: &Control) -> Option<Revision> {
    let sent = control.now();
    let key = control.clients.dialect.config_key();
    match control.call("get", control.clients.store.get(key)).await {
        Ok(GetResponse { item: Some(item), at }) => {
            let adoption = adopt(control, &item, "read");
            record_newest(control, adoption, sent);
            Some(at)
        }
        Err(StoreError::Rpc(e @ RpcError::TooLarge(_))) => {
            control.reject_config(RejectedConfig::TooLarge, &e);
            control.confirm_rejected_config(sent);
            control.pause(TOO_LARGE_INTERVAL).await;
            None
        }
        Ok(GetResponse { item: None, .. }) | Err(_) => None,
    }
}

async fn watch(control: &Control, from: Revision) {
    let prefix = control.clients.dialect.config_prefix();
    let key = control.clients.dialect.config_key();
    let mut at = from;
    loop {
        let answer = control.watch("configuration", prefix, at, MAX_WATCH_MS);
        let Some(answer) = control.until_store_change(answer).await else {
            if control.wait_to_read().await {
                return;
            }
            // The watch's connection may be dead. Watching again from the same revision avoids a full read.
            continue;
        };
        let watched = match answer {
            Ok(watched) => watched,
            Err(StoreError::Compacted) => return,
            Err(_) => return tokio::time::sleep(RETRY_INTERVAL).await,
        };
        for change in &watched.changes {
            match change {
                ItemChange::Put(item) if &*item.key == key => {
                    adopt(control, item, "watch");
                }
                ItemChange::Put(_) | ItemChange::Deleted(_) => {}
            }
        }
        at = watched.at;
        if !control.reads_store() {
            return;
        }
    }
}

/// Records what a call sent at `sent` showed of the newest configuration, by what became of it.
pub(super) fn record_newest(control: &Control, adoption: Adoption, sent: Millis) {
    match adoption {
        Adoption::InForce => {
            control.shared.record_config_proof(sent);
            if let Some(catalog) = &*control.shared.catalog.load() {
                control.clear_rejected_config(catalog);
            }
        }
        Adoption::Rejected => control.confirm_rejected_config(sent),
        Adoption::Behind => {}
    }
}

/// What became of a configuration of the store's. Only [`Self::InForce`] lets its delivery prove that the one in force
/// is the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Adoption {
    /// It, or a newer one, is in force.
    InForce,
    /// It comes from another era of the store and has a lower version than the one in force.
    Behind,
    /// It cannot be used, and the one before stays in force.
    Rejected,
}

/// Adopts a configuration unless a newer one is in force.
///
/// Within one era of the store the higher revision is newer. Across a restore from an older copy, the operator's
/// own version decides: the configuration in force stays until it, or a newer one, is written again. `by` names
/// in the log what delivered it.
pub(super) fn adopt(control: &Control, item: &Item, by: &'static str) -> Adoption {
    let current = control.shared.catalog.load().as_ref().map(|c| (c.revision, c.version));
    let (revision, before) = (item.revision, current.map(|(revision, _)| revision));
    let same = before.is_some_and(|b| b.era() == revision.era());
    if same && before.is_some_and(|b| revision <= b) {
        return Adoption::InForce;
    }
    if control.rejected_config() == Some(RejectedConfig::Decoded(revision)) {
        return Adoption::Rejected;
    }
    let catalog = match (control.clients.dialect.catalog(item), &*control.shared.catalog.load()) {
        (Ok(catalog), Some(before)) if catalog.rejected().limits => {
            catalog.with_limits(before.limits)
        }
        (Ok(catalog), _) => catalog,
        (Err(e), _) => {
            control.reject_config(RejectedConfig::Decoded(revision), &e);
            return Adoption::Rejected;
        }
    };
    match current {
        Some((_, in_force)) if !same && catalog.version < in_force => {
            let version = catalog.version;
            GatewayEvent::ConfigBehind { version, revision, in_force }.log();
            return Adoption::Behind;
        }
        // The configuration in force, as an older era had it.
        Some((before, in_force)) if before > revision && catalog.version == in_force => {
            return Adoption::InForce;
        }
        Some(_) | None => {}
    }
    *control.document.borrow_mut() = Some(item.clone());
    check(Invariant::RevisionOrder, !same || before.is_none_or(|b| catalog.revision > b));
    control.clear_rejected_config(&catalog);
    control.shared.metrics.config.set(catalog.version as i64);
    let rejected = &catalog.rejected().errors;
    for error in rejected.iter().take(MAX_LOGGED_PARTS) {
        GatewayEvent::ConfigPartRejected { revision, error: error.clone() }.log();
    }
    GatewayEvent::ConfigAdopted {
        version: catalog.version,
        revision: catalog.revision,
        routes: catalog.routes().count(),
        rejected: rejected.len(),
        by,
        proof_ms: control.shared.config_freshness.load().age(control.now()),
    }
    .log();
    control.shared.catalog.store(Some(Arc::new(catalog)));
    control.proof_basis_changed.notify_one();
    control.publish();
    Adoption::InForce
}
