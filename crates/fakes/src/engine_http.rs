//! HTTP face of a stand-in engine.

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
use crate::model::{embed, piece, stops};
use crate::stage::{Closer, Open, Opened, Step, Stepped};

/// Largest request read, bytes.
const MAX_BODY: usize = 32 << 20;

/// Answers one HTTP request.
pub(crate) async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let Ok(content) = body::read(request.into_body(), MAX_BODY).await else {
        return status(400, &json!({}));
    };
    if path != "/fault" {
        engine.thawed().await;
    }
    match (method, path.as_str()) {
        (Method::POST, "/v1/generate") => match parse(&content) {
            Some(call) => generate(engine, call).await,
            None => status(400, &engine.refusal(RefusalKind::Malformed)),
        },
        (Method::POST, "/v1/cancel") => match parse::<serde_json::Value>(&content) {
            Some(call) => {
                let request = call["request"].as_str().unwrap_or_default().to_owned();
                let attempt = Attempt(call["attempt"].as_u64().unwrap_or_default() as u32);
                engine.close(request, attempt).await;
                status(200, &json!({}))
            }
            None => status(400, &json!({})),
        },
        (Method::POST, "/v1/stage/open") => match parse(&content) {
            Some(open) => status(200, &engine.open(open).await),
            None => status(400, &json!({})),
        },
        (Method::POST, "/v1/stage/step") => match parse(&content) {
            Some(step) => status(200, &engine.step(step).await),
            None => status(400, &json!({})),
        },
        (Method::POST, "/v1/stage/close") => match parse::<(String, Attempt)>(&content) {
            Some((request, attempt)) => {
                engine.close(request, attempt).await;
                status(200, &())
            }
            None => status(400, &json!({})),
        },
        (Method::GET, "/v1/report") => status(200, &engine.report()),
        (Method::GET, "/v1/events") => {
            let after = query.strip_prefix("after=").and_then(|a| a.parse().ok()).unwrap_or(0);
            let layers = engine.held.lock().layers;
            status(200, &engine.cache.lock().events(after, layers))
        }
        (Method::GET, "/v1/kv") => export(&engine, &query),
        (Method::POST, "/v1/kv") => match parse::<(u64, LayerRange, Vec<u64>)>(&content) {
            Some((block, layers, digests)) if digests.len() == layers.count() as usize => {
                engine.cache.lock().put(block, layers, digests);
                status(200, &json!({}))
            }
            _ => status(400, &json!({})),
        },
        (Method::POST, "/v1/orders") => match parse::<Order>(&content) {
            Some(order) => match engine.order(order) {
                Ok(()) => status(200, &json!({})),
                Err(epoch) => status(409, &json!({ "epoch": epoch })),
            },
            None => status(400, &json!({})),
        },
        (Method::POST, "/fault") => match parse::<Fault>(&content) {
            Some(fault) => {
                engine.fault(fault);
                status(200, &json!({}))
            }
            None => status(400, &json!({})),
        },
        _ => status(404, &json!({})),
    }
}

fn export(engine: &Engine, query: &str) -> Response<Body> {
    let block = query.strip_prefix("block=").and_then(|b| b.parse().ok());
    let layers = engine.held.lock().layers;
    let digests = block.and_then(|b| engine.cache.lock().get(b, layers));
    match digests {
        Some(digests) => status(200, &(block, layers, digests)),
        None => status(404, &json!({})),
    }
}

/// Opens the path, then answers with a line for each token.
async fn generate(engine: Arc<Engine>, call: GenerateCall) -> Response<Body> {
    let faults = engine.faults.lock().clone();
    if faults.reset {
        return broken();
    }
    let mut tokens = prompt_tokens(&call.prompt);
    tokens.extend(&call.resumed);
    let chain = blocks(&call.account, &call.model, &tokens[..tokens.len() - 1]);
    let open = Open {
        request: call.request.clone(),
        attempt: call.attempt,
        model: call.model.clone(),
        version: call.version.clone(),
        priority: call.priority,
        blocks: chain,
        hops: call.hops.clone(),
    };
    let key = (call.request.clone(), call.attempt);
    let closer = Closer { engine: engine.clone(), key: Mutex::new(Some(key)) };
    let hit = match engine.open(open).await {
        Opened::Hit(hit) => hit,
        Opened::Refused(refusal) => return status(503, &refusal),
        Opened::Fault(name) => {
            // No stage has run anything, but a later one cannot be heard to say so.
            return status(502, &json!({ "engine": name }));
        }
    };
    engine.started.fetch_add(1, Relaxed);
    let (lines, content) = body::channel(64);
    let run = Run { engine, call, tokens, lines };
    tokio::spawn(async move {
        run.drive(hit, faults.lose).await;
        drop(closer);
    });
    Response::new(content)
}

struct Run {
    engine: Arc<Engine>,
    call: GenerateCall,
    tokens: Vec<u32>,
    lines: mpsc::Sender<Result<Bytes, BodyError>>,
}

impl Run {
    /// Decodes until the answer is whole, a stage fails or the router has gone.
    async fn drive(mut self, hit: usize, lose: bool) {
        let start = prompt_tokens(&self.call.prompt).len();
        let mut from = (hit * BLOCK_TOKENS).min(self.tokens.len() - 1);
        let mut skip = hit;
        let mut held = None;
        loop {
            let position = self.tokens.len() - start;
            if position >= self.call.max_tokens as usize {
                return self.end(false, lose).await;
            }
            let inputs = (from..self.tokens.len()).map(|i| embed(self.tokens[i], i as u32));
            let step = Step {
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
                Stepped::Token(token, _) if stops(token) => return self.end(true, lose).await,
                Stepped::Token(token, layers) => {
                    from = self.tokens.len();
                    self.tokens.push(token);
                    let frame = self.frame(position as u32, token, layers);
                    if !self.emit(frame, &mut held, lose).await {
                        return;
                    }
                }
                Stepped::Fault(engine) => {
                    let request = self.call.request.clone();
                    let attempt = self.call.attempt;
                    let message = "stage failed".to_owned();
                    self.write(&Frame::Fault { request, attempt, engine, message }).await;
                    return;
                }
            }
        }
    }

    fn frame(&self, position: u32, token: u32, layers: u32) -> Frame {
        let request = self.call.request.clone();
        let attempt = self.call.attempt;
        Frame::Token { request, attempt, position, token, text: piece(token), layers }
    }

    /// Sends a token, as the faults in force have it; false once there is nobody to send to.
    async fn emit(&self, frame: Frame, held: &mut Option<Frame>, lose: bool) -> bool {
        let faults = self.engine.faults.lock().clone();
        let sent = self.tokens.len() - prompt_tokens(&self.call.prompt).len();
        match frame {
            _ if lose => true,
            _ if faults.cut.is_some_and(|n| sent > n as usize) => false,
            Frame::Token { attempt, position, token, text, layers, .. } if faults.cross => {
                let request = "another-request".to_owned();
                let crossed = Frame::Token { request, attempt, position, token, text, layers };
                self.write(&crossed).await
            }
            frame if faults.reorder && held.is_none() => {
                *held = Some(frame);
                true
            }
            frame => {
                let first = self.write(&frame).await;
                match held.take() {
                    Some(late) => first && self.write(&late).await,
                    None => first,
                }
            }
        }
    }

    async fn end(&self, stopped: bool, lose: bool) {
        self.engine.finished.fetch_add(1, Relaxed);
        let count = (self.tokens.len() - prompt_tokens(&self.call.prompt).len()) as u32;
        let request = self.call.request.clone();
        if !lose {
            self.write(&Frame::End { request, attempt: self.call.attempt, count, stopped }).await;
        }
    }

    async fn write(&self, frame: &Frame) -> bool {
        self.engine.thawed().await;
        let mut line = serde_json::to_vec(frame).unwrap_or_default();
        line.push(b'\n');
        self.lines.send(Ok(line.into())).await.is_ok()
    }
}

/// A response that breaks off before its first byte of content.
pub(crate) fn broken() -> Response<Body> {
    let (lines, content) = body::channel(1);
    tokio::spawn(async move {
        let _ = lines.send(Err(BodyError::Truncated)).await;
    });
    Response::new(content)
}

/// A JSON response.
pub(crate) fn status(code: u16, value: &impl Serialize) -> Response<Body> {
    let mut response = Response::new(body::json(value));
    *response.status_mut() = hyper::StatusCode::from_u16(code).unwrap_or_default();
    response
}

/// JSON of a request, if it is what is expected.
pub(crate) fn parse<T: DeserializeOwned>(content: &[u8]) -> Option<T> {
    serde_json::from_slice(content).ok()
}
