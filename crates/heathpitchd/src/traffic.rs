//! Traffic threads: request dispatch of the caller listener.

use std::collections::HashMap;
use std::sync::Arc;

use heathpitch_core::Name;
use heathpitch_net::{Body, Client, EngineClient, json};
use heathpitch_policy::{AccountLimiter, AdmissionControl, IdempotencyTable, RetryBudget, Ticket};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::filters::{self, Context, Endpoint, Refusal, RefusalKind};
use crate::shared::Shared;

/// Limits of accounts and of this node.
#[derive(Debug, Default)]
pub(crate) struct Limits {
    pub(crate) limiter: AccountLimiter,
    pub(crate) admission: HashMap<Name, AdmissionControl>,
    pub(crate) budget: RetryBudget,
}

/// State shared by traffic threads.
pub(crate) struct Traffic {
    pub(crate) shared: Arc<Shared>,
    pub(crate) engine: Arc<dyn EngineClient>,
    pub(crate) client: Client,
    pub(crate) limits: Mutex<Limits>,
    pub(crate) idempotency: Mutex<IdempotencyTable>,
}

impl Traffic {
    /// Initial state.
    pub(crate) fn new(shared: Arc<Shared>, engine: Arc<dyn EngineClient>, client: Client) -> Self {
        let (limits, idempotency) = (Mutex::default(), Mutex::default());
        Self { shared, engine, client, limits, idempotency }
    }
}

/// Answers one request of a caller.
pub(crate) async fn handle(traffic: Arc<Traffic>, request: Request<Incoming>) -> Response<Body> {
    let method = request.method().clone();
    match (method, request.uri().path()) {
        (Method::POST, "/v1/completions") => {
            filters::generate(&traffic, Endpoint::Completion, request).await
        }
        (Method::POST, "/v1/chat/completions") => {
            filters::generate(&traffic, Endpoint::Chat, request).await
        }
        (Method::GET, "/v1/models") => Response::new(json(&models(&traffic))),
        (Method::POST, "/v1/tickets") => Response::new(json(&issue_ticket(&traffic))),
        (_, path) if path.starts_with("/services/") => filters::service(&traffic, request).await,
        (method, path) => {
            let message = format!("{method} {path} is not part of this API");
            let cx = Context::new(traffic);
            Refusal::not_run(RefusalKind::UnknownPath, message).respond(&cx)
        }
    }
}

fn models(traffic: &Traffic) -> Value {
    let index = traffic.shared.index.load();
    let mut names: Vec<&Name> = index.models.keys().collect();
    names.sort();
    let model = |name: &&Name| json!({ "id": name, "object": "model", "created": 0, "owned_by": "heathpitch" });
    json!({ "object": "list", "data": names.iter().map(model).collect::<Vec<_>>() })
}

/// Issues a ticket: a key that only this incarnation of this node may run.
fn issue_ticket(traffic: &Traffic) -> Value {
    let id = traffic.shared.new_request_id();
    let node = traffic.shared.settings.node.clone();
    let ticket = Ticket { node, incarnation: id.node, serial: id.serial }.to_string();
    if let Ok(key) = ticket.parse() {
        traffic.idempotency.lock().add_unused(key);
    }
    json!({ "ticket": ticket })
}
