//! Controller of the configuration and of the proof that it is current.
//!
//! A watch delivers changes quickly but proves nothing while it is pending. The proof is an empty write
//! conditional on the revision in force: it is small, and the store answers it from its current state only.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use heathpitch_core::{Invariant, Millis, Revision, check};
use heathpitch_net::{GetResponse, Item, ItemChange, RpcError, StoreError, Write};
use heathpitch_policy::{MAX_PENDING_PROOFS, MIN_APPLY_MS, ProofRole, ProofSchedule};

use super::engine_list;
use super::rejected_config::RejectedConfig;
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::record_proof;

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

/// Proves that the configuration in force is the newest: periodically if this node reads the store, and otherwise
/// when no source has a proof young enough.
pub(super) async fn keep_proven(control: Rc<Control>) {
    let apply_ms = control.shared.settings.load().bounds.config_apply_ms;
    if apply_ms < MIN_APPLY_MS {
        log::warn!(
            "a configuration may take {MIN_APPLY_MS} ms to be in force, \
             but bounds.config_apply_ms is {apply_ms}"
        );
    }
    let mut schedule = ProofSchedule::default();
    let mut attempts = FuturesUnordered::new();
    loop {
        let reads = control.reads_store();
        let due = |schedule: &ProofSchedule| {
            let role = match reads {
                true => ProofRole::Reader { reachable: control.reachable() },
                false => ProofRole::Follower {
                    own_age: ProofSchedule::own_proof_age(control.standby_rank()),
                },
            };
            let confirmed = control.newest_freshness().at();
            schedule.due(confirmed, role).saturating_sub(control.now())
        };
        // A node that has received no configuration has nothing to prove, unless another one feeds it: that one rejects
        // the newest configuration, which this node may be able to use.
        let has_received =
            control.shared.catalog.load().is_some() || control.rejected_config().is_some();
        let pause = match has_received || control.has_feed() {
            true if attempts.len() < MAX_PENDING_PROOFS => due(&schedule),
            // The pause ends earlier if an attempt does.
            true | false => RETRY_INTERVAL.as_millis() as Millis,
        };
        if pause > 0 {
            tokio::select! {
                () = control.pause(Duration::from_millis(pause)) => {}
                Some((sent, result)) = attempts.next() => match result {
                    Ok(()) => {
                        schedule.answered(sent, control.now());
                        control.shared.config_proofs.attempt_answered();
                    }
                    Err(error) => proof_failed(&control, reads, sent, &error, due(&schedule)),
                }
            }
            continue;
        }
        let sent = control.now();
        if reads {
            schedule.reader_sent(sent);
        } else {
            let rank = control.standby_rank();
            let proof_ms = control.newest_freshness().age(sent);
            GatewayEvent::ConfigProofDue { rank, proof_ms }.log();
            schedule.follower_sent(sent, control.contenders(), &mut rand::rng());
        }
        control.shared.config_proofs.attempt_sent(sent);
        if !attempts.is_empty() {
            control.clients.store.reconnect();
        }
        attempts.push(prove(&control));
    }
}

fn proof_failed(
    control: &Control,
    reads: bool,
    sent: Millis,
    error: &ProofError,
    retry_ms: Millis,
) {
    let now = control.now();
    GatewayEvent::ConfigProofFailed {
        reads,
        ms: now.saturating_sub(sent),
        error: error.to_string(),
        proof_ms: control.newest_freshness().age(now),
        retry_ms,
    }
    .log();
}

/// Why a proof of the configuration failed.
#[derive(Debug, thiserror::Error)]
enum ProofError {
    /// The store gave no usable answer.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The store has no configuration.
    #[error("the store has no configuration")]
    Absent,
    /// The store holds an older configuration than the one in force.
    #[error("the store holds an older configuration")]
    Behind,
    /// The configuration could not be read after the store was restored.
    #[error("the configuration could not be read after a restore of the store")]
    Unread,
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

/// Makes one attempt to prove the configuration, and returns also when it was sent.
async fn prove(control: &Control) -> (Millis, Result<(), ProofError>) {
    let sent = control.now();
    (sent, prove_once(control, sent).await)
}

/// Asks the store at `sent` whether the newest configuration known is still the newest.
async fn prove_once(control: &Control, sent: Millis) -> Result<(), ProofError> {
    let rejected = control.rejected_config();
    let key = control.clients.dialect.config_key().to_owned();
    let conditions = vec![(key, control.received_revision())];
    let write = Write { conditions, ..Write::default() };
    let adoption = match control.call("prove", control.clients.store.write(write)).await {
        Ok(at) => {
            if control.reads_store() {
                engine_list::prove_at(control, at, sent);
            }
            match rejected {
                Some(RejectedConfig::Decoded(_)) => Adoption::Rejected,
                // There is no configuration.
                _ if control.shared.catalog.load().is_none() => return Err(ProofError::Absent),
                Some(RejectedConfig::TooLarge) | None => Adoption::InForce,
            }
        }
        Err(StoreError::Conflict(items)) => match items.first() {
            Some(item) => adopt(control, item, "proof"),
            None => return Err(ProofError::Absent),
        },
        Err(StoreError::Rpc(e @ RpcError::TooLarge(_))) => {
            control.reject_config(RejectedConfig::TooLarge, &e);
            Adoption::Rejected
        }
        // The revision in force belongs to the store's history before it was restored.
        Err(StoreError::Restored) => {
            return read(control).await.map(drop).ok_or(ProofError::Unread);
        }
        Err(e) => return Err(e.into()),
    };
    record_newest(control, adoption, sent);
    match adoption {
        Adoption::Behind => Err(ProofError::Behind),
        Adoption::InForce | Adoption::Rejected => Ok(()),
    }
}

/// Records what a call sent at `sent` showed of the newest configuration, by what became of it.
fn record_newest(control: &Control, adoption: Adoption, sent: Millis) {
    match adoption {
        Adoption::InForce => {
            record_proof(&control.shared.config_freshness, sent);
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
    control.publish();
    Adoption::InForce
}
