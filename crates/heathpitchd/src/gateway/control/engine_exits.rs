//! Detects whether an engine exited after calls lost their connections to it.
//!
//! Connections are lost for many reasons. An exited engine refuses new connections at once, one that resets,
//! corrupts or truncates answers accepts them, and a partitioned one does not respond. The engine is therefore
//! probed right after the loss, before another one can start at its address.

use std::collections::{BTreeSet, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Millis, Name};
use heathpitch_policy::just_started;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::LostAttempt;

/// Time over which lost calls of an engine are collected: the connections and the listener of a process close
/// together, but not at the same instant.
const COLLECTION_TIME: Duration = Duration::from_millis(20);
/// Timeout of the probe, many times the delay between failure domains.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after an engine's exit in which further lost calls are attributed to it. Engines take seconds to
/// restart, and connections over a lost link end later than this.
const ATTRIBUTION_MS: Millis = 1_000;
/// Calls and parts listed in one log line.
const MAX_LOGGED: usize = 16;

/// Recently lost calls and exited engines.
#[derive(Debug, Default)]
pub(super) struct EngineExits {
    /// Lost calls whose engine has not been probed yet.
    lost: HashMap<Name, Vec<LostAttempt>>,
    /// Engines found to have exited, with the time of detection.
    exited: HashMap<Name, Millis>,
}

/// Records a call whose connection was lost, and probes its engine.
pub(super) fn record_lost(control: &Rc<Control>, lost: LostAttempt) {
    let entry = lost.engine.clone();
    let (engine, address, now) = (entry.id.clone(), entry.address, control.now());
    let (known, first) = {
        let mut exits = control.engine_exits.borrow_mut();
        exits.exited.retain(|_, at| now < *at + ATTRIBUTION_MS);
        let known = exits.exited.contains_key(&engine);
        let waiting = exits.lost.entry(engine.clone()).or_default();
        waiting.push(lost);
        (known, waiting.len() == 1)
    };
    if !first {
        return;
    }
    let (control, entry) = (control.clone(), entry);
    spawn_local(async move {
        tokio::time::sleep(COLLECTION_TIME).await;
        // Where the way to all engines is cut, refused connections tell nothing of one.
        let exited = known || refuses(address).await && control.confirms_reach(&entry).await;
        let lost = control.engine_exits.borrow_mut().lost.remove(&engine).unwrap_or_default();
        if exited {
            record_exit(&control, &lost);
        }
    });
}

/// Records that the engine of these calls has exited.
fn record_exit(control: &Control, lost: &[LostAttempt]) {
    let Some(LostAttempt { engine, .. }) = lost.first() else { return };
    control.engine_exits.borrow_mut().exited.entry(engine.id.clone()).or_insert(control.now());
    let mut youngest: Vec<_> = lost.iter().map(|l| (l.fingerprint, l.events)).collect();
    youngest.sort_by_key(|(_, events)| *events);
    youngest.truncate(MAX_LOGGED);
    let (name, calls) = (engine.id.clone(), lost.len());
    let started = lost.iter().filter(|call| just_started(call.events));
    let parts: BTreeSet<_> =
        started.flat_map(|call| call.parts.iter()).map(|key| key.part).collect();
    let parts = parts.into_iter().take(MAX_LOGGED).collect();
    GatewayEvent::EngineExited { engine: name, calls, youngest, parts }.log();
    control.record_engine_exit(engine, lost);
}

/// Whether an address refuses connections, so that nothing listens there.
async fn refuses(address: SocketAddr) -> bool {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(e)) => e.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
