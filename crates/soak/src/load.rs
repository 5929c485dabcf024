//! Load: callers that reuse their connection as long as the node keeps it open.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::time::{Duration, Instant};

use heathpitch_standin::{Caller, Reply};
use hyper::Method;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;

use crate::cluster::{API_KEY, CALL_TIMEOUT, STREAM_TIMEOUT, TOGGLED_PREFIX, TestCluster};

const CALLERS_PER_NODE: usize = 3;
/// Kinds of calls that callers make; the last one only if its route is added and removed.
pub(crate) const KINDS: [CallKind; 4] =
    [CallKind::Idempotent, CallKind::AtMostOnce, CallKind::Stream, CallKind::Added];
/// Part of a prompt that crashes every engine which starts to run a request with it.
pub(crate) const FATAL_PART: &str = "fa7a1";
/// Start of the bodies of such requests.
pub(crate) const FATAL_PART_BODY: &str = "fatal part";
/// Part that all prompts begin with.
const FIRST_PART: &str = "50d";
/// Time after which a caller abandons an incomplete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// Kinds of calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// A stream of numbered events.
    Stream,
    /// Like [`Self::Idempotent`], on the route that is added and removed.
    Added,
}

impl CallKind {
    /// Timeout of the route for this kind.
    pub(crate) fn timeout(self) -> Duration {
        match self {
            Self::Idempotent | Self::AtMostOnce | Self::Added => CALL_TIMEOUT,
            Self::Stream => STREAM_TIMEOUT,
        }
    }
}

/// A call and its result as seen by the caller.
#[derive(Debug)]
pub struct CallRecord {
    /// Call id.
    pub id: String,
    /// Node that it was sent to.
    pub node: usize,
    /// Kind of call.
    pub kind: CallKind,
    /// Request body.
    pub body: String,
    /// API key.
    pub key: String,
    /// When it was sent.
    pub sent_at: Instant,
    /// Time from sending to the end of the answer.
    pub elapsed: Duration,
    /// Answer; `None` if no response head arrived.
    pub reply: Option<Reply>,
}

impl CallRecord {
    /// HTTP status of the answer.
    pub(crate) fn status(&self) -> Option<u16> {
        self.reply.as_ref().map(|r| r.status)
    }

    /// Summary of a failed call: node, kind of call, status and the error kind that the node reported.
    pub(crate) fn failure(&self) -> String {
        let kind = self.error().map(|e| e["kind"].to_string()).unwrap_or_default();
        format!("n{} {:?} {:?} {kind}", self.node, self.kind, self.status())
    }

    /// The error that the node reported.
    fn error(&self) -> Option<Value> {
        let body: Value = serde_json::from_slice(&self.reply.as_ref()?.body).ok()?;
        Some(body["error"].clone())
    }

    /// Whether the node reported an error of one of these kinds, with a message that holds the text beside it.
    pub(crate) fn is_refused_as(&self, errors: &[(&str, &str)]) -> bool {
        self.error().is_some_and(|error| {
            let message = error["message"].as_str().unwrap_or_default();
            errors.iter().any(|(kind, text)| error["kind"] == *kind && message.contains(text))
        })
    }

    /// Whether the answer is successful and complete.
    pub(crate) fn succeeded(&self) -> bool {
        self.reply.as_ref().is_some_and(|r| r.status == 200 && r.complete)
    }
}

/// Runs all callers until `stop` is set.
pub(crate) async fn run(
    cluster: Arc<TestCluster>,
    seed: u64,
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<CallRecord>>>,
) {
    let mut callers = Vec::new();
    for index in 0..cluster.node_count() * CALLERS_PER_NODE {
        let (cluster, stop, calls) = (cluster.clone(), stop.clone(), calls.clone());
        callers.push(tokio::spawn(run_caller(cluster, index, seed, stop, calls)));
    }
    for caller in callers {
        // A caller that panicked shows up as missing calls.
        let _ = caller.await;
    }
}

async fn run_caller(
    cluster: Arc<TestCluster>,
    index: usize,
    seed: u64,
    stop: Arc<AtomicBool>,
    calls: Arc<Mutex<Vec<CallRecord>>>,
) {
    let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(31) + index as u64);
    let mut open: Option<Caller> = None;
    let mut serial = 0;
    while !stop.load(Relaxed) {
        let node = index % cluster.node_count();
        let address = cluster.listen_address(node);
        let Some(address) = address.or(open.as_ref().map(Caller::address)) else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let caller = match open.take().filter(|c| c.address() == address) {
            Some(caller) => caller,
            None => Caller::new(address).keep_alive(),
        };
        serial += 1;
        let kind = KINDS[rng.random_range(0..cluster.call_kinds())];
        let key = if rng.random_bool(0.3) { cluster.revocable_key() } else { API_KEY.to_owned() };
        let id = format!("c{index}-{serial}");
        let record = send_default(caller.clone().key(&key), node, kind, id, key).await;
        if record.reply.is_some() {
            open = Some(caller);
        }
        calls.lock().push(record);
        tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
    }
}

/// Sends a call with the default body for its kind.
async fn send_default(
    caller: Caller,
    node: usize,
    kind: CallKind,
    id: String,
    key: String,
) -> CallRecord {
    let body = match kind {
        CallKind::Idempotent | CallKind::Added => String::new(),
        CallKind::AtMostOnce | CallKind::Stream => format!("body of {id}"),
    };
    send(caller, node, kind, id, key, body).await
}

/// Sends a call with the given body and records its result.
pub(crate) async fn send(
    caller: Caller,
    node: usize,
    kind: CallKind,
    id: String,
    key: String,
    body: String,
) -> CallRecord {
    let (method, target) = match kind {
        CallKind::Idempotent => (Method::GET, "/get/x"),
        CallKind::Added => (Method::GET, TOGGLED_PREFIX),
        CallKind::AtMostOnce => (Method::POST, "/book/x"),
        // By the body, so that calls with the same body are the same request.
        CallKind::Stream if body.ends_with(['0', '2', '4']) => (Method::POST, "/urgent/x"),
        CallKind::Stream => (Method::POST, "/tell/x"),
    };
    let sent_at = Instant::now();
    let caller = match kind {
        CallKind::Stream => caller.call_id(&id).prompt_parts(&prompt_parts(&id, &body)),
        CallKind::Idempotent | CallKind::AtMostOnce | CallKind::Added => caller.call_id(&id),
    };
    let result = tokio::time::timeout(ANSWER_TIMEOUT, caller.call(method, target, &body)).await;
    let reply = result.ok().and_then(Result::ok);
    CallRecord { id, node, kind, body, key, sent_at, elapsed: sent_at.elapsed(), reply }
}

/// Parts of a prompt: one that all share, the fatal one or that of one of sixteen sessions, and its own; the fatal one is the
/// last of half of its prompts.
fn prompt_parts(id: &str, body: &str) -> String {
    let own = id.bytes().map(|byte| format!("{byte:02x}")).collect::<String>();
    let session = own.get(own.len().saturating_sub(1)..).unwrap_or_default();
    match body.starts_with(FATAL_PART_BODY) {
        true if session < "5" => format!("{FIRST_PART}:40,{own}:60,{FATAL_PART}:9"),
        true => format!("{FIRST_PART}:40,{FATAL_PART}:60,{own}:9"),
        false => format!("{FIRST_PART}:40,5e{session}:60,{own}:9"),
    }
}
