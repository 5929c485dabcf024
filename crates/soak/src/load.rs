//! Callers: each keeps its connection for as long as its node keeps it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

use heathpitch_standin::{Caller, Reply};
use hyper::Method;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::script::NODES;
use crate::world::{KEY, PLAIN_LIMIT, STREAM_LIMIT, World};

/// Callers of each node.
const CALLERS: usize = 3;
/// Time after which a caller leaves an answer that does not end.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Get,
    /// May run once.
    Book,
    /// A stream.
    Tell,
}

impl Kind {
    /// Time of its route.
    pub(crate) fn limit(self) -> Duration {
        match self {
            Self::Get | Self::Book => PLAIN_LIMIT,
            Self::Tell => STREAM_LIMIT,
        }
    }
}

/// A call and what its caller saw.
#[derive(Debug)]
pub struct Told {
    /// Its id.
    pub id: String,
    /// Node it was sent to.
    pub node: usize,
    /// Its kind.
    pub kind: Kind,
    /// Its body.
    pub body: String,
    /// Its key.
    pub key: String,
    /// When it was sent.
    pub sent: Instant,
    /// Time to the end of the answer.
    pub took: Duration,
    /// None if no head of an answer came.
    pub reply: Option<Reply>,
}

impl Told {
    /// Status of the answer.
    pub(crate) fn status(&self) -> Option<u16> {
        self.reply.as_ref().map(|r| r.status)
    }

    /// What it met in place of a success: node, kind of call, status, and the node's word for it.
    pub(crate) fn failure(&self) -> String {
        let body = self.reply.as_ref().map(|r| String::from_utf8_lossy(&r.body).into_owned());
        let error = body.and_then(|b| serde_json::from_str::<serde_json::Value>(&b).ok());
        let kind = error.map(|e| e["error"]["kind"].to_string()).unwrap_or_default();
        format!("n{} {:?} {:?} {kind}", self.node, self.kind, self.status())
    }

    /// Whether a success came whole.
    pub(crate) fn served(&self) -> bool {
        self.reply.as_ref().is_some_and(|r| r.status == 200 && r.complete)
    }
}

/// Calls until `stop` turns true.
pub(crate) async fn run(
    world: Arc<World>,
    seed: u64,
    stop: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<Told>>>,
) {
    let mut callers = Vec::new();
    for index in 0..NODES * CALLERS {
        let (world, stop, told) = (world.clone(), stop.clone(), told.clone());
        callers.push(tokio::spawn(call(world, index, seed, stop, told)));
    }
    for caller in callers {
        // A caller that panicked is seen by the missing calls.
        let _ = caller.await;
    }
}

async fn call(
    world: Arc<World>,
    index: usize,
    seed: u64,
    stop: Arc<AtomicBool>,
    told: Arc<Mutex<Vec<Told>>>,
) {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(31) + index as u64);
    let mut kept: Option<Caller> = None;
    let mut serial = 0;
    while !stop.load(Relaxed) {
        let node = index % NODES;
        let address = world.listen(node);
        let Some(address) = address.or(kept.as_ref().map(Caller::address)) else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let caller = match kept.take().filter(|c| c.address() == address) {
            Some(caller) => caller,
            None => Caller::new(address).keep_alive(),
        };
        serial += 1;
        let kind = [Kind::Get, Kind::Book, Kind::Tell][rng.random_range(0..3)];
        let key = if rng.random_bool(0.3) { world.passing_key() } else { KEY.to_owned() };
        let id = format!("c{index}-{serial}");
        let one = once(caller.clone().key(&key), node, kind, id, key).await;
        if one.reply.is_some() {
            kept = Some(caller);
        }
        told.lock().push(one);
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// Sends one call and gives what its caller saw.
async fn once(caller: Caller, node: usize, kind: Kind, id: String, key: String) -> Told {
    let body = if kind == Kind::Get { String::new() } else { format!("body of {id}") };
    send(caller, node, kind, id, key, body).await
}

/// The same, with a body of its own.
pub(crate) async fn send(
    caller: Caller,
    node: usize,
    kind: Kind,
    id: String,
    key: String,
    body: String,
) -> Told {
    let (method, target) = match kind {
        Kind::Get => (Method::GET, "/get/x"),
        Kind::Book => (Method::POST, "/book/x"),
        Kind::Tell => (Method::POST, "/tell/x"),
    };
    let sent = Instant::now();
    let caller = caller.call_id(&id);
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, caller.call(method, target, &body)).await;
    let reply = answered.ok().and_then(Result::ok);
    Told { id, node, kind, body, key, sent, took: sent.elapsed(), reply }
}
