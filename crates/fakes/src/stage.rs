//! One engine's part of a request: open, step, close, each passed on to the next stage.

use std::sync::Arc;
use std::time::{Duration, Instant};

use heathpitch_core::{Attempt, LayerRange, Name, Priority};
use heathpitch_net::{Hop, Refusal, RefusalKind, RpcError};
use heathpitch_policy::BLOCK_TOKENS;
use hyper::Method;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::engine::Engine;
use crate::model::{Kv, token_of};
use crate::slots::Place;

/// Longest time a stage waits for the next one.
const NEXT: Duration = Duration::from_secs(30);

/// Opens a sequence on every stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Open {
    pub(crate) request: String,
    pub(crate) attempt: Attempt,
    pub(crate) model: Name,
    pub(crate) version: Name,
    pub(crate) priority: Priority,
    /// Chained hashes of the prompt's blocks.
    pub(crate) blocks: Vec<u64>,
    /// This stage and those after it.
    pub(crate) hops: Vec<Hop>,
}

/// Answer to [`Open`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Opened {
    /// Blocks that this stage and all after it hold.
    Hit(usize),
    /// No stage has run anything.
    Refused(Refusal),
    /// A later stage cannot be reached.
    Fault(Name),
}

/// Runs positions through every stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Step {
    pub(crate) request: String,
    pub(crate) attempt: Attempt,
    /// Position of the first input.
    pub(crate) position: u32,
    /// Inputs of this stage's first layer, one a position.
    pub(crate) inputs: Vec<u64>,
    /// Blocks skipped because every stage holds them; sent with the first step.
    pub(crate) skip: usize,
}

/// Answer to [`Step`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Stepped {
    /// The token of the last position and the layers it ran from this stage on.
    Token(u32, u32),
    /// The sequence is not open, out of step, or a stage failed.
    Fault(Name),
}

/// A sequence open on one engine.
#[derive(Debug)]
pub(crate) struct Sequence {
    kv: Kv,
    layers: LayerRange,
    blocks: Vec<u64>,
    at: u32,
    rest: Vec<Hop>,
    _place: Place,
}

impl Engine {
    /// Opens a sequence here and on the stages after.
    pub(crate) async fn open(self: &Arc<Self>, open: Open) -> Opened {
        self.thawed().await;
        if let Err(kind) = self.holds(&open) {
            return Opened::Refused(self.refusal(kind));
        }
        let Some(place) = self.slots.take(open.priority).await else {
            return Opened::Refused(self.refusal(RefusalKind::Busy));
        };
        let layers = open.hops[0].layers;
        let mut hit = self.cache.lock().hit(&open.blocks, layers);
        let rest = open.hops[1..].to_vec();
        if let Some(next) = rest.first() {
            let uri = format!("http://{}/v1/stage/open", next.address);
            let call = Open { hops: rest.clone(), ..open.clone() };
            match self.client.call(Method::POST, &uri, Some(&call), NEXT).await {
                Ok(Opened::Hit(n)) => hit = hit.min(n),
                Ok(other) => return other,
                Err(_) => return Opened::Fault(next.engine.clone()),
            }
        }
        let kv = Kv::new(&open.model, &open.version, layers);
        let sequence = Sequence { kv, layers, blocks: open.blocks, at: 0, rest, _place: place };
        let sequence = Arc::new(tokio::sync::Mutex::new(sequence));
        self.open.lock().insert((open.request, open.attempt), sequence);
        Opened::Hit(hit)
    }

    /// Runs positions here and on the stages after.
    pub(crate) async fn step(self: &Arc<Self>, step: Step) -> Stepped {
        self.thawed().await;
        let key = (step.request.clone(), step.attempt);
        let me = self.setup.name.clone();
        let Some(sequence) = self.open.lock().get(&key).cloned() else {
            return Stepped::Fault(me);
        };
        let mut sequence = sequence.lock().await;
        if step.skip > 0 && !self.skip(&mut sequence, step.skip) || sequence.at != step.position {
            return Stepped::Fault(me);
        }
        self.compute(step.inputs.len()).await;
        let outputs = self.run(&mut sequence, &step.inputs);
        let layers = sequence.layers.count();
        let Some(next) = sequence.rest.first() else {
            let last = outputs.last().copied().unwrap_or_default();
            return Stepped::Token(token_of(last), layers);
        };
        tokio::time::sleep(self.setup.link).await;
        let uri = format!("http://{}/v1/stage/step", next.address);
        let call = Step { inputs: outputs, ..step };
        match self.client.call(Method::POST, &uri, Some(&call), NEXT).await {
            Ok(Stepped::Token(token, more)) => Stepped::Token(token, layers + more),
            Ok(fault) => fault,
            Err(_) => Stepped::Fault(next.engine.clone()),
        }
    }

    /// Closes a sequence here and on the stages after.
    pub(crate) async fn close(self: &Arc<Self>, request: String, attempt: Attempt) {
        let Some(sequence) = self.open.lock().remove(&(request.clone(), attempt)) else { return };
        let next = sequence.lock().await.rest.first().cloned();
        if let Some(next) = next {
            let uri = format!("http://{}/v1/stage/close", next.address);
            let call = (request, attempt);
            let answer: Result<(), RpcError> =
                self.client.call(Method::POST, &uri, Some(&call), NEXT).await;
            drop(answer);
        }
    }

    fn holds(&self, open: &Open) -> Result<(), RefusalKind> {
        let held = self.held.lock();
        let Some(hop) = open.hops.first() else { return Err(RefusalKind::Malformed) };
        let inside = held.layers.first <= hop.layers.first && hop.layers.end <= held.layers.end;
        match &held.model {
            _ if self.faults.lock().refuse => Err(RefusalKind::Busy),
            _ if held.leaving => Err(RefusalKind::Draining),
            _ if Instant::now() < held.ready => Err(RefusalKind::NotHeld),
            Some(model) if *model != open.model => Err(RefusalKind::NotHeld),
            None => Err(RefusalKind::NotHeld),
            _ if held.version != open.version || held.epoch != hop.epoch => {
                Err(RefusalKind::NotHeld)
            }
            _ if !inside || hop.layers.count() == 0 => Err(RefusalKind::NotHeld),
            _ => Ok(()),
        }
    }

    /// This engine's statement that it did not start.
    pub(crate) fn refusal(&self, kind: RefusalKind) -> Refusal {
        Refusal { started: false, kind, engine: self.setup.name.clone(), retry_after: 200 }
    }

    /// Takes the state at the end of the skipped blocks from the cache.
    fn skip(&self, sequence: &mut Sequence, blocks: usize) -> bool {
        let Some(block) = blocks.checked_sub(1).and_then(|i| sequence.blocks.get(i)) else {
            return false;
        };
        match self.cache.lock().get(*block, sequence.layers) {
            Some(digests) if sequence.at == 0 => {
                sequence.kv.digests = digests;
                sequence.at = (blocks * BLOCK_TOKENS) as u32;
                true
            }
            _ => false,
        }
    }

    fn run(&self, sequence: &mut Sequence, inputs: &[u64]) -> Vec<u64> {
        let mut outputs = Vec::with_capacity(inputs.len());
        for input in inputs {
            outputs.push(sequence.kv.run(*input));
            sequence.at += 1;
            let at = sequence.at as usize;
            if at.is_multiple_of(BLOCK_TOKENS) && at / BLOCK_TOKENS <= sequence.blocks.len() {
                let block = sequence.blocks[at / BLOCK_TOKENS - 1];
                let digests = sequence.kv.digests.clone();
                self.cache.lock().put(block, sequence.layers, digests);
            }
        }
        outputs
    }

    /// Takes the time that the accelerator would: prefills one after another, steps together.
    async fn compute(&self, positions: usize) {
        let slow = self.faults.lock().slow.unwrap_or(1.0);
        match positions {
            0 => {}
            1 => tokio::time::sleep(self.setup.step.mul_f64(slow)).await,
            n => {
                let _turn = self.prefill.lock().await;
                let time = n as f64 / self.setup.prefill * slow;
                tokio::time::sleep(Duration::from_secs_f64(time)).await;
            }
        }
    }
}

/// Sequences that are closed when the request that holds them ends, however it ends.
pub(crate) struct Closer {
    pub(crate) engine: Arc<Engine>,
    pub(crate) key: Mutex<Option<(String, Attempt)>>,
}

impl Drop for Closer {
    fn drop(&mut self) {
        let Some((request, attempt)) = self.key.lock().take() else { return };
        let engine = self.engine.clone();
        if let Ok(handle) = tokio::runtime::Handle::try_current() {
            handle.spawn(async move { engine.close(request, attempt).await });
        }
    }
}
