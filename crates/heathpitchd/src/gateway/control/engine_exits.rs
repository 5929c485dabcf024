//! Finds out whether engines ended whose connections calls lost.
//!
//! A connection is lost for many reasons. An engine that has ended refuses new ones at once, while one that
//! resets, spoils or breaks off answers takes them, and one that is cut off says nothing. So each engine that
//! calls were lost with is looked at, before another one can start at its address.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Millis, Name};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::state::Control;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::LostSend;

/// Time over which the calls lost with an engine are gathered: all connections of a process end together,
/// and its listener with them, but not in one instant.
const GATHER: Duration = Duration::from_millis(20);
/// Time for a look at the engine: many times the delay between failure domains.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which a call lost with an engine that has ended is taken to be lost by that, milliseconds: engines
/// start again after seconds, and connections cut off by a lost link end later.
const EXITED_MS: Millis = 1_000;
/// Calls named in one line of the log.
const MAX_LOGGED: usize = 16;

/// Engines whose connections calls lost a moment ago.
#[derive(Debug, Default)]
pub(super) struct EngineExits {
    /// Calls lost, until it is known whether their engine ended.
    lost: HashMap<Name, Vec<LostSend>>,
    /// Engines found to have ended, and when.
    exited: HashMap<Name, Millis>,
}

/// Takes a call whose connection was lost.
pub(super) fn record_lost(control: &Rc<Control>, lost: LostSend) {
    let (engine, address, now) = (lost.engine.id.clone(), lost.engine.address, control.now());
    let (known, first) = {
        let mut exits = control.engine_exits.borrow_mut();
        exits.exited.retain(|_, at| now < *at + EXITED_MS);
        let known = exits.exited.contains_key(&engine);
        let waiting = exits.lost.entry(engine.clone()).or_default();
        waiting.push(lost);
        (known, waiting.len() == 1)
    };
    if !first {
        return;
    }
    let control = control.clone();
    spawn_local(async move {
        tokio::time::sleep(GATHER).await;
        let exited = known || refuses(address).await;
        let lost = control.engine_exits.borrow_mut().lost.remove(&engine).unwrap_or_default();
        if exited {
            record_exit(&control, &lost);
        }
    });
}

/// Takes note that the engine of these calls has ended.
fn record_exit(control: &Control, lost: &[LostSend]) {
    let Some(LostSend { engine, .. }) = lost.first() else { return };
    control.engine_exits.borrow_mut().exited.entry(engine.id.clone()).or_insert(control.now());
    let mut youngest: Vec<_> = lost.iter().map(|l| (l.print, l.events)).collect();
    youngest.sort_by_key(|(_, events)| *events);
    youngest.truncate(MAX_LOGGED);
    let (name, calls) = (engine.id.clone(), lost.len());
    GatewayEvent::EngineEnded { engine: name, calls, youngest }.log();
    control.engine_ended(engine, lost);
}

/// Whether nothing listens at an address.
async fn refuses(address: SocketAddr) -> bool {
    match tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(e)) => e.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
