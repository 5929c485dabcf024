//! Controller of the list of engines.
//!
//! A watch delivers changes, and a periodic relist corrects what the watch missed. A pending watch proves
//! nothing: its connection may be dead while other calls are answered. Waits are therefore short, except
//! while proofs of the configuration show a store revision up to which the watch has delivered everything.
//! Such a proof covers the list too, and the watch stays pending until a proof shows a later revision. A
//! watch from before an outage is abandoned.
//!
//! While the store is unreachable no engine is removed. Entries missing at its return or soon after get a grace
//! period, because they lapse while engines cannot renew them. If many are missing, it lasts as long as
//! entries take to reappear; if few are, as long as an engine that left may still be sent work.

use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Millis, Name, Revision};
use heathpitch_net::ItemChange;

use super::engines::{engine_id, put_all, remove};
use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::record_proof;

/// Longest wait of a watch without other proof. Keeps the age of the list below 1.4 s plus the time of two
/// answers, and bounds the time for which a dead watch hides that an engine leaves to this plus a call's timeout.
const MAX_WATCH_MS: Millis = 600;
/// Longest wait of a watch while proofs of the configuration cover the list.
const MAX_PROVEN_WATCH_MS: Millis = 20_000;
/// Age of the list at which a pending watch is reissued, below the maximum age of a list served to followers.
const REISSUE_AGE_MS: Millis = 1_200;
/// Wait of the watch that replaces an outdated one. It returns pending changes at once, so that the list does
/// not become too old to be served to followers.
const IMMEDIATE_WATCH_MS: Millis = 1;
/// Time over which changes are batched into one watch call, a small part of the time for which a draining
/// engine may still be sent work.
const BATCH_TIME: Duration = Duration::from_millis(200);
/// Batch time while no engine holds a layer and engines are still being listed.
const STARTUP_BATCH_TIME: Duration = Duration::from_millis(600);
/// Retry interval while the store does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(350);
/// Time between relists for each page of the list, although the watch works. Scaling by pages keeps the rate
/// of these calls independent of the size of the fleet.
const RELIST_PER_PAGE_MS: Millis = 15_000;
/// Entries per page of a listing.
const PAGE_ENTRIES: usize = 500;
/// If more than one in this many listed entries is missing, the entries lapsed and the engines did not leave.
const LAPSED_FRACTION: usize = 4;
/// Time in which a change known to the planner reaches all nodes: batching (200), a follower's poll interval
/// (400) and the timeout of a poll (300), with margin. Without it followers learned up to 2 255 ms later of
/// engines that left just after an outage, where the bound is 2 000.
const PROPAGATION_MS: Millis = 1_000;
/// Time between checks while many missing entries are in their grace period.
const LAPSED_RECHECK_MS: Millis = 200;

/// Keeps the list of engines.
pub(super) async fn follow(control: Rc<Control>) {
    let read = async || list(&control).await;
    // The watch's connection may not recover when the store does.
    let watch = async |at| {
        control.until_store_change(watch(&control, at)).await;
    };
    control.read_and_watch(RETRY_INTERVAL, read, watch).await;
}

async fn list(control: &Control) -> Option<Revision> {
    let sent = control.now();
    let prefix = control.clients.dialect.engines_prefix();
    let listing = control.call("list", control.clients.store.list(prefix)).await.ok()?;
    let kept = put_all(control, &listing.items);
    control.retain_rejected_entries(&listing.items);
    let missing = |id: &&Name| !kept.contains(*id);
    let gone: Vec<Name> = control.entries.borrow().keys().filter(missing).cloned().collect();
    control.lapsed.borrow_mut().retain(|id, _| !kept.contains(id) && control.lapse_grace() > 0);
    drop_missing(control, gone, "not listed");
    record_answer(control, "list", sent, sent, listing.items.len());
    control.publish();
    control.engines_revision.set(listing.at);
    Some(listing.at)
}

/// Records the store's revision at a proof sent at `sent`. If the watch has delivered all changes up to it, the
/// list is proven too.
pub(super) fn prove_at(control: &Control, at: Revision, sent: Millis) {
    control.store_revision.set(at);
    match at == control.engines_revision.get() {
        true => record_proof(&control.shared.list_freshness, sent),
        false => control.engines_outdated.notify_waiters(),
    }
}

/// Whether proofs of the configuration cover the list.
fn is_proven(control: &Control) -> bool {
    let age = control.shared.list_freshness.load().age(control.now());
    let complete = control.store_revision.get() == control.engines_revision.get();
    control.is_planner() && complete && age.is_some_and(|age| age < REISSUE_AGE_MS)
}

/// Waits until the list is too old, or a proof shows a change that the watch has not delivered.
async fn watch_outdated(control: &Control) {
    loop {
        let age = control.shared.list_freshness.load().age(control.now()).unwrap_or(REISSUE_AGE_MS);
        if age >= REISSUE_AGE_MS {
            return;
        }
        let remaining = Duration::from_millis(REISSUE_AGE_MS - age);
        tokio::select! {
            () = control.engines_outdated.notified() => return,
            () = tokio::time::sleep(remaining) => {}
        }
    }
}

async fn watch(control: &Control, from: Revision) {
    let prefix = control.clients.dialect.engines_prefix();
    let pages = control.entries.borrow().len() / PAGE_ENTRIES + 1;
    let until = control.now() + RELIST_PER_PAGE_MS * pages as Millis;
    let mut at = from;
    let mut outdated = false;
    while control.now() < until && control.reads_store() {
        let remaining = until.saturating_sub(control.now()).max(1);
        let wait = match expire(control) {
            None if outdated => IMMEDIATE_WATCH_MS,
            None if is_proven(control) => MAX_PROVEN_WATCH_MS.min(remaining),
            None => MAX_WATCH_MS,
            // The grace period is over: a relist removes what is still missing.
            Some(0) => return,
            Some(recheck) => recheck,
        };
        let sent = control.now();
        let answer = control.watch("engines", prefix, at, wait);
        let answer = tokio::select! {
            answer = answer => answer,
            () = watch_outdated(control), if wait > MAX_WATCH_MS => {
                outdated = true;
                continue;
            }
        };
        outdated = false;
        let Ok(watched) = answer else {
            return tokio::time::sleep(BATCH_TIME).await;
        };
        // An empty answer comes at the end of the wait and shows that nothing changed until then.
        let waited = if watched.changes.is_empty() { wait } else { 0 };
        let proven = control.now().min(sent + waited);
        record_answer(control, "watch", sent, proven, watched.changes.len());
        let (mut items, mut gone) = (Vec::new(), Vec::new());
        for change in watched.changes {
            match change {
                ItemChange::Put(item) => items.push(item),
                ItemChange::Deleted(key) => {
                    control.clear_rejected_entry(&key);
                    gone.extend(engine_id(control, &key));
                }
            }
        }
        let changed = !items.is_empty() || !gone.is_empty();
        for id in put_all(control, &items) {
            control.lapsed.borrow_mut().remove(&id);
        }
        drop_missing(control, gone, "its entry is gone");
        at = watched.at;
        control.engines_revision.set(at);
        if changed {
            control.publish();
            tokio::time::sleep(batch_time(control)).await;
        }
    }
}

/// Records an answer of the store to a call sent at `sent`, which shows the list as of `proven` or later.
fn record_answer(
    control: &Control,
    by: &'static str,
    sent: Millis,
    proven: Millis,
    entries: usize,
) {
    record_proof(&control.shared.list_freshness, proven);
    if entries > 0 {
        let asked_ms = control.now().saturating_sub(sent);
        GatewayEvent::EnginesReceived { by, asked_ms, entries }.log();
    }
}

/// Time over which changes are batched; longer at start, while nothing is served yet.
fn batch_time(control: &Control) -> Duration {
    let serves = control.entries.borrow().values().any(|e| e.layers.count() > 0);
    if control.is_settling() && !serves { STARTUP_BATCH_TIME } else { BATCH_TIME }
}

/// Removes engines whose entries are missing; after a grace period if the entries may have lapsed during an
/// outage of the store, otherwise at once.
fn drop_missing(control: &Control, gone: Vec<Name>, why: &'static str) {
    if control.lapse_grace() == 0 {
        return gone.iter().for_each(|id| remove(control, id, why));
    }
    let now = control.now();
    let mut lapsed = control.lapsed.borrow_mut();
    for id in gone {
        lapsed.entry(id).or_insert(now);
    }
}

/// Removes engines whose grace period is over, and returns the time until the next check if any is still in
/// its grace period.
fn expire(control: &Control) -> Option<Millis> {
    let now = control.now();
    let few = control.lapsed.borrow().len() * LAPSED_FRACTION <= control.entries.borrow().len();
    let grace = few_grace(control);
    let due = |since: Millis| few && now >= since + grace;
    let expired: Vec<Name> = {
        let lapsed = control.lapsed.borrow();
        lapsed.iter().filter(|(_, since)| due(**since)).map(|(id, _)| id.clone()).collect()
    };
    for id in &expired {
        control.lapsed.borrow_mut().remove(id);
        remove(control, id, "its entry did not come back");
    }
    if !expired.is_empty() {
        control.publish();
    }
    let oldest = control.lapsed.borrow().values().min().copied()?;
    let due = (oldest + grace).saturating_sub(now);
    // Many missing entries wait until the grace period after the store's return ends.
    let recheck = if few { due } else { LAPSED_RECHECK_MS };
    Some(control.lapse_grace().min(recheck))
}

/// Grace period for a few missing entries after an outage: the time for which an engine that left may still be
/// sent work, less the time in which the change reaches all nodes.
fn few_grace(control: &Control) -> Millis {
    control.shared.settings.load().bounds.drain_ms.saturating_sub(PROPAGATION_MS)
}
