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
use crate::gateway::shared::LostAttempt;

/// Time over which the calls lost with an engine are gathered: all connections of a process end together,
/// and its listener with them, but not in one instant.
const GATHER: Duration = Duration::from_millis(20);
/// Time for a look at the engine: many times the delay between failure domains.
const LOOK: Duration = Duration::from_millis(100);
/// Time for which a call lost with an engine that has ended is taken to be lost by that, milliseconds: engines
/// start again after seconds, and connections cut off by a lost link end later.
const ENDED: Millis = 1_000;
/// Calls named in one line of the log.
const LOGGED: usize = 16;

/// Engines whose connections calls lost a moment ago.
#[derive(Debug, Default)]
pub(super) struct Ends {
    /// Calls lost, until it is known whether their engine ended.
    lost: HashMap<Name, Vec<LostAttempt>>,
    /// Engines found to have ended, and when.
    ended: HashMap<Name, Millis>,
}

/// Takes a call whose connection was lost.
pub(super) fn take(control: &Rc<Control>, lost: LostAttempt) {
    let (engine, address, now) = (lost.engine.id.clone(), lost.engine.address, control.now());
    let (known, first) = {
        let mut ends = control.ends.borrow_mut();
        ends.ended.retain(|_, at| now < *at + ENDED);
        let known = ends.ended.contains_key(&engine);
        let waiting = ends.lost.entry(engine.clone()).or_default();
        waiting.push(lost);
        (known, waiting.len() == 1)
    };
    if !first {
        return;
    }
    let control = control.clone();
    spawn_local(async move {
        tokio::time::sleep(GATHER).await;
        let ended = known || refuses(address).await;
        let lost = control.ends.borrow_mut().lost.remove(&engine).unwrap_or_default();
        if ended {
            note(&control, &lost);
        }
    });
}

/// Takes note that the engine of these calls has ended.
fn note(control: &Control, lost: &[LostAttempt]) {
    let Some(LostAttempt { engine, .. }) = lost.first() else { return };
    control.ends.borrow_mut().ended.entry(engine.id.clone()).or_insert(control.now());
    let mut youngest: Vec<_> = lost.iter().map(|l| (l.fingerprint, l.events)).collect();
    youngest.sort_by_key(|(_, events)| *events);
    youngest.truncate(LOGGED);
    let (name, calls) = (engine.id.clone(), lost.len());
    GatewayEvent::EngineEnded { engine: name, calls, youngest }.log();
    control.engine_ended(engine, lost);
}

/// Whether nothing listens at an address.
async fn refuses(address: SocketAddr) -> bool {
    match tokio::time::timeout(LOOK, TcpStream::connect(address)).await {
        Ok(Err(e)) => e.kind() == ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
