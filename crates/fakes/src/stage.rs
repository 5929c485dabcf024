//! Calls of a pipeline stage: open, step and close, each forwarded to the next stage.

use std::sync::Arc;
use std::time::{Duration, Instant};

use heathpitch_core::{Attempt, LayerRange, Name, Priority};
use heathpitch_net::{Hop, Refusal, RefusalKind, RpcError};
use heathpitch_policy::BLOCK_TOKENS;
use hyper::Method;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::engine::Engine;
use crate::model::{KvCache, token_of};
use crate::slots::Slot;

/// Timeout of a call to the next stage.
const STAGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Request to open a sequence on every stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OpenRequest {
    pub(crate) request: String,
    pub(crate) attempt: Attempt,
    pub(crate) model: Name,
    pub(crate) version: Name,
    pub(crate) priority: Priority,
    /// Chained hashes of the blocks of the prompt.
    pub(crate) blocks: Vec<u64>,
    /// This stage and the following ones.
    pub(crate) hops: Vec<Hop>,
}

/// Response to [`OpenRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum OpenResponse {
    /// Number of leading blocks cached by this stage and all following ones.
    Hit(usize),
    /// Refused; no stage has run anything.
    Refused(Refusal),
    /// A following stage is unreachable.
    Fault(Name),
}

/// Request to run positions through every stage.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct StepRequest {
    pub(crate) request: String,
    pub(crate) attempt: Attempt,
    /// Position of the first input.
    pub(crate) position: u32,
    /// Inputs of the first layer of this stage, one per position.
    pub(crate) inputs: Vec<u64>,
    /// Blocks to skip because every stage has them cached; sent with the first step.
    pub(crate) skip: usize,
}

/// Response to [`StepRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum StepResponse {
    /// Token of the last position and number of layers run from this stage on.
    Token(u32, u32),
    /// The sequence is not open or at another position, or a stage failed.
    Fault(Name),
}

/// Open sequence on one engine.
#[derive(Debug)]
pub(crate) struct Sequence {
    kv: KvCache,
    layers: LayerRange,
    blocks: Vec<u64>,
    position: u32,
    /// Hops of the following stages.
    downstream: Vec<Hop>,
    _slot: Slot,
}

impl Engine {
    /// Opens a sequence here and on the following stages.
    pub(crate) async fn open(self: &Arc<Self>, open: OpenRequest) -> OpenResponse {
        self.until_thawed().await;
        if let Err(kind) = self.check_open(&open) {
            return OpenResponse::Refused(self.refusal(kind));
        }
        let Some(slot) = self.slots.acquire(open.priority).await else {
            return OpenResponse::Refused(self.refusal(RefusalKind::Busy));
        };
        let layers = open.hops[0].layers;
        let mut hit = self.cache.lock().match_prefix(&open.blocks, layers);
        let downstream = open.hops[1..].to_vec();
        if let Some(next) = downstream.first() {
            let uri = format!("http://{}/v1/stage/open", next.address);
            let call = OpenRequest { hops: downstream.clone(), ..open.clone() };
            match self.client.call(Method::POST, &uri, Some(&call), STAGE_TIMEOUT).await {
                Ok(OpenResponse::Hit(n)) => hit = hit.min(n),
                Ok(other) => return other,
                Err(_) => return OpenResponse::Fault(next.engine.clone()),
            }
        }
        let kv = KvCache::new(&open.model, &open.version, layers);
        let sequence =
            Sequence { kv, layers, blocks: open.blocks, position: 0, downstream, _slot: slot };
        let sequence = Arc::new(tokio::sync::Mutex::new(sequence));
        self.sequences.lock().insert((open.request, open.attempt), sequence);
        OpenResponse::Hit(hit)
    }

    /// Runs positions here and on the following stages.
    pub(crate) async fn step(self: &Arc<Self>, step: StepRequest) -> StepResponse {
        self.until_thawed().await;
        let key = (step.request.clone(), step.attempt);
        let own_name = self.config.name.clone();
        let Some(sequence) = self.sequences.lock().get(&key).cloned() else {
            return StepResponse::Fault(own_name);
        };
        let mut sequence = sequence.lock().await;
        if step.skip > 0 && !self.skip(&mut sequence, step.skip)
            || sequence.position != step.position
        {
            return StepResponse::Fault(own_name);
        }
        self.simulate_compute(step.inputs.len()).await;
        let outputs = self.run(&mut sequence, &step.inputs);
        let layers = sequence.layers.count();
        let Some(next) = sequence.downstream.first() else {
            let last = outputs.last().copied().unwrap_or_default();
            return StepResponse::Token(token_of(last), layers);
        };
        tokio::time::sleep(self.config.link_delay).await;
        let uri = format!("http://{}/v1/stage/step", next.address);
        let call = StepRequest { inputs: outputs, ..step };
        match self.client.call(Method::POST, &uri, Some(&call), STAGE_TIMEOUT).await {
            Ok(StepResponse::Token(token, more)) => StepResponse::Token(token, layers + more),
            Ok(fault) => fault,
            Err(_) => StepResponse::Fault(next.engine.clone()),
        }
    }

    /// Closes a sequence here and on the following stages.
    pub(crate) async fn close(self: &Arc<Self>, request: String, attempt: Attempt) {
        let Some(sequence) = self.sequences.lock().remove(&(request.clone(), attempt)) else {
            return;
        };
        let next = sequence.lock().await.downstream.first().cloned();
        if let Some(next) = next {
            let uri = format!("http://{}/v1/stage/close", next.address);
            let call = (request, attempt);
            let answer: Result<(), RpcError> =
                self.client.call(Method::POST, &uri, Some(&call), STAGE_TIMEOUT).await;
            drop(answer);
        }
    }

    fn check_open(&self, open: &OpenRequest) -> Result<(), RefusalKind> {
        let state = self.state.lock();
        let Some(hop) = open.hops.first() else { return Err(RefusalKind::Malformed) };
        let inside = state.layers.first <= hop.layers.first && hop.layers.end <= state.layers.end;
        match &state.model {
            _ if self.faults.lock().refuse => Err(RefusalKind::Busy),
            _ if state.draining => Err(RefusalKind::Draining),
            _ if Instant::now() < state.ready_at => Err(RefusalKind::NotHeld),
            Some(model) if *model != open.model => Err(RefusalKind::NotHeld),
            None => Err(RefusalKind::NotHeld),
            _ if state.version != open.version || state.epoch != hop.epoch => {
                Err(RefusalKind::NotHeld)
            }
            _ if !inside || hop.layers.count() == 0 => Err(RefusalKind::NotHeld),
            _ => Ok(()),
        }
    }

    /// Refusal stating that this engine did not start the request.
    pub(crate) fn refusal(&self, kind: RefusalKind) -> Refusal {
        Refusal { started: false, kind, engine: self.config.name.clone(), retry_after: 200 }
    }

    /// Restores the state at the end of the skipped blocks from the cache.
    fn skip(&self, sequence: &mut Sequence, blocks: usize) -> bool {
        let Some(block) = blocks.checked_sub(1).and_then(|i| sequence.blocks.get(i)) else {
            return false;
        };
        match self.cache.lock().get(*block, sequence.layers) {
            Some(digests) if sequence.position == 0 => {
                sequence.kv.digests = digests;
                sequence.position = (blocks * BLOCK_TOKENS) as u32;
                true
            }
            _ => false,
        }
    }

    fn run(&self, sequence: &mut Sequence, inputs: &[u64]) -> Vec<u64> {
        let mut outputs = Vec::with_capacity(inputs.len());
        for input in inputs {
            outputs.push(sequence.kv.run(*input));
            sequence.position += 1;
            let position = sequence.position as usize;
            if position.is_multiple_of(BLOCK_TOKENS)
                && position / BLOCK_TOKENS <= sequence.blocks.len()
            {
                let block = sequence.blocks[position / BLOCK_TOKENS - 1];
                let digests = sequence.kv.digests.clone();
                self.cache.lock().put(block, sequence.layers, digests);
            }
        }
        outputs
    }

    /// Sleeps for the compute time of an accelerator: prefills run one at a time, steps in parallel.
    async fn simulate_compute(&self, positions: usize) {
        let slow = self.faults.lock().slow.unwrap_or(1.0);
        match positions {
            0 => {}
            1 => tokio::time::sleep(self.config.step_time.mul_f64(slow)).await,
            n => {
                let _guard = self.prefill_lock.lock().await;
                let time = n as f64 / self.config.prefill_rate * slow;
                tokio::time::sleep(Duration::from_secs_f64(time)).await;
            }
        }
    }
}

/// Closes the sequences of a request on drop, however the request ends.
pub(crate) struct CloseOnDrop {
    pub(crate) engine: Arc<Engine>,
    pub(crate) key: Mutex<Option<(String, Attempt)>>,
}

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        let Some((request, attempt)) = self.key.lock().take() else { return };
        let engine = self.engine.clone();
        if let Ok(handle) = tokio::runtime::Handle::try_current() {
            handle.spawn(async move { engine.close(request, attempt).await });
        }
    }
}
