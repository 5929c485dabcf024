//! HTTP interface of a fake engine.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use bytes::Bytes;
use heathpitch_core::{Attempt, LayerRange};
use heathpitch_net as body;
use heathpitch_net::{Body, BodyError, Frame, GenerateCall, Order, RefusalKind};
use heathpitch_policy::{BLOCK_TOKENS, blocks, prompt_tokens};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::sync::mpsc;

use crate::engine::Engine;
use crate::faults::Fault;
use crate::model::{embed, is_stop_token, token_text};
use crate::stage::{CloseOnDrop, OpenRequest, OpenResponse, StepRequest, StepResponse};

const MAX_BODY_BYTES: usize = 32 << 20;

/// Handles one HTTP request.
pub(crate) async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let Ok(content) = body::read(request.into_body(), MAX_BODY_BYTES).await else {
        return json_response(400, &json!({}));
    };
    if path != "/fault" {
        engine.until_thawed().await;
    }
    match (method, path.as_str()) {
        (Method::POST, "/v1/generate") => match parse(&content) {
            Some(call) => generate(engine, call).await,
            None => json_response(400, &engine.refusal(RefusalKind::Malformed)),
        },
        (Method::POST, "/v1/cancel") => match parse::<serde_json::Value>(&content) {
            Some(call) => {
                let request = call["request"].as_str().unwrap_or_default().to_owned();
                let attempt = Attempt(call["attempt"].as_u64().unwrap_or_default() as u32);
                engine.close(request, attempt).await;
                json_response(200, &json!({}))
            }
            None => json_response(400, &json!({})),
        },
        (Method::POST, "/v1/stage/open") => match parse(&content) {
            Some(open) => json_response(200, &engine.open(open).await),
            None => json_response(400, &json!({})),
        },
        (Method::POST, "/v1/stage/step") => match parse(&content) {
            Some(step) => json_response(200, &engine.step(step).await),
            None => json_response(400, &json!({})),
        },
        (Method::POST, "/v1/stage/close") => match parse::<(String, Attempt)>(&content) {
            Some((request, attempt)) => {
                engine.close(request, attempt).await;
                json_response(200, &())
            }
            None => json_response(400, &json!({})),
        },
        (Method::GET, "/v1/report") => json_response(200, &engine.report()),
        (Method::GET, "/v1/events") => {
            let after = query.strip_prefix("after=").and_then(|a| a.parse().ok()).unwrap_or(0);
            let layers = engine.state.lock().layers;
            json_response(200, &engine.cache.lock().events(after, layers))
        }
        (Method::GET, "/v1/kv") => export_block(&engine, &query),
        (Method::POST, "/v1/kv") => match parse::<(u64, LayerRange, Vec<u64>)>(&content) {
            Some((block, layers, digests)) if digests.len() == layers.count() as usize => {
                engine.cache.lock().put(block, layers, digests);
                json_response(200, &json!({}))
            }
            _ => json_response(400, &json!({})),
        },
        (Method::POST, "/v1/orders") => match parse::<Order>(&content) {
            Some(order) => match engine.order(order) {
                Ok(()) => json_response(200, &json!({})),
                Err(epoch) => json_response(409, &json!({ "epoch": epoch })),
            },
            None => json_response(400, &json!({})),
        },
        (Method::POST, "/fault") => match parse::<Fault>(&content) {
            Some(fault) => {
                engine.inject(fault);
                json_response(200, &json!({}))
            }
            None => json_response(400, &json!({})),
        },
        _ => json_response(404, &json!({})),
    }
}

fn export_block(engine: &Engine, query: &str) -> Response<Body> {
    let block = query.strip_prefix("block=").and_then(|b| b.parse().ok());
    let layers = engine.state.lock().layers;
    let digests = block.and_then(|b| engine.cache.lock().get(b, layers));
    match digests {
        Some(digests) => json_response(200, &(block, layers, digests)),
        None => json_response(404, &json!({})),
    }
}

/// Opens the sequence on every stage, then streams one line per token.
async fn generate(engine: Arc<Engine>, call: GenerateCall) -> Response<Body> {
    let faults = engine.faults.lock().clone();
    if faults.reset {
        return broken_response();
    }
    let mut tokens = prompt_tokens(&call.prompt);
    tokens.extend(&call.resumed);
    let chain = blocks(&call.account, &call.model, &tokens[..tokens.len() - 1]);
    let open = OpenRequest {
        request: call.request.clone(),
        attempt: call.attempt,
        model: call.model.clone(),
        version: call.version.clone(),
        priority: call.priority,
        blocks: chain,
        hops: call.hops.clone(),
    };
    let key = (call.request.clone(), call.attempt);
    let closer = CloseOnDrop { engine: engine.clone(), key: Mutex::new(Some(key)) };
    let cached_blocks = match engine.open(open).await {
        OpenResponse::Hit(cached_blocks) => cached_blocks,
        OpenResponse::Refused(refusal) => return json_response(503, &refusal),
        OpenResponse::Fault(name) => {
            // No stage has run anything, but an unreachable stage cannot confirm that.
            return json_response(502, &json!({ "engine": name }));
        }
    };
    engine.started.fetch_add(1, Relaxed);
    let (lines, content) = body::channel(64);
    let decoding = DecodeLoop { engine, call, tokens, lines };
    tokio::spawn(async move {
        decoding.run(cached_blocks, faults.lose_response).await;
        drop(closer);
    });
    Response::new(content)
}

/// Decode loop of one request.
struct DecodeLoop {
    engine: Arc<Engine>,
    call: GenerateCall,
    tokens: Vec<u32>,
    lines: mpsc::Sender<Result<Bytes, BodyError>>,
}

impl DecodeLoop {
    /// Decodes until the answer is complete, a stage fails or the client disconnects.
    async fn run(mut self, cached_blocks: usize, lose_response: bool) {
        let start = prompt_tokens(&self.call.prompt).len();
        let mut from = (cached_blocks * BLOCK_TOKENS).min(self.tokens.len() - 1);
        let mut skip = cached_blocks;
        let mut delayed = None;
        loop {
            let position = self.tokens.len() - start;
            if position >= self.call.max_tokens as usize {
                return self.finish(false, lose_response).await;
            }
            let inputs = (from..self.tokens.len()).map(|i| embed(self.tokens[i], i as u32));
            let step = StepRequest {
                request: self.call.request.clone(),
                attempt: self.call.attempt,
                position: from as u32,
                inputs: inputs.collect(),
                skip: std::mem::take(&mut skip),
            };
            let stepped = tokio::select! {
                stepped = self.engine.step(step) => stepped,
                () = self.lines.closed() => return,
            };
            match stepped {
                StepResponse::Token(token, _) if is_stop_token(token) => {
                    return self.finish(true, lose_response).await;
                }
                StepResponse::Token(token, layers) => {
                    from = self.tokens.len();
                    self.tokens.push(token);
                    let frame = self.frame(position as u32, token, layers);
                    if !self.emit(frame, &mut delayed, lose_response).await {
                        return;
                    }
                }
                StepResponse::Fault(engine) => {
                    let request = self.call.request.clone();
                    let attempt = self.call.attempt;
                    let message = "stage failed".to_owned();
                    self.write_frame(&Frame::Fault { request, attempt, engine, message }).await;
                    return;
                }
            }
        }
    }

    fn frame(&self, position: u32, token: u32, layers: u32) -> Frame {
        let request = self.call.request.clone();
        let attempt = self.call.attempt;
        Frame::Token { request, attempt, position, token, text: token_text(token), layers }
    }

    /// Sends a token, subject to the active faults; false ends the response.
    async fn emit(&self, frame: Frame, delayed: &mut Option<Frame>, lose_response: bool) -> bool {
        let faults = self.engine.faults.lock().clone();
        let sent = self.tokens.len() - prompt_tokens(&self.call.prompt).len();
        match frame {
            _ if lose_response => true,
            _ if faults.truncate.is_some_and(|n| sent > n as usize) => false,
            Frame::Token { attempt, position, token, text, layers, .. } if faults.wrong_request => {
                let request = "another-request".to_owned();
                let wrong = Frame::Token { request, attempt, position, token, text, layers };
                self.write_frame(&wrong).await
            }
            frame if faults.reorder && delayed.is_none() => {
                *delayed = Some(frame);
                true
            }
            frame => {
                let first = self.write_frame(&frame).await;
                match delayed.take() {
                    Some(late) => first && self.write_frame(&late).await,
                    None => first,
                }
            }
        }
    }

    async fn finish(&self, stopped: bool, lose_response: bool) {
        self.engine.finished.fetch_add(1, Relaxed);
        let count = (self.tokens.len() - prompt_tokens(&self.call.prompt).len()) as u32;
        let request = self.call.request.clone();
        if !lose_response {
            self.write_frame(&Frame::End { request, attempt: self.call.attempt, count, stopped })
                .await;
        }
    }

    async fn write_frame(&self, frame: &Frame) -> bool {
        self.engine.until_thawed().await;
        let mut line = serde_json::to_vec(frame).unwrap_or_default();
        line.push(b'\n');
        self.lines.send(Ok(line.into())).await.is_ok()
    }
}

/// Response whose body fails before its first byte.
pub(crate) fn broken_response() -> Response<Body> {
    let (lines, content) = body::channel(1);
    tokio::spawn(async move {
        let _ = lines.send(Err(BodyError::Truncated)).await;
    });
    Response::new(content)
}

/// JSON response.
pub(crate) fn json_response(code: u16, value: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(body::json(value));
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}

/// Parsed JSON body; `None` if it is invalid.
pub(crate) fn parse<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    serde_json::from_slice(content).ok()
}
