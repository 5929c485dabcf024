//! Filter: reads and validates a request.

use heathpitch_core::{Millis, Name, Outcome, Priority};
use heathpitch_net::{BodyError, read};
use hyper::Request;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use serde::Deserialize;
use serde_json::{Map, Value};

use super::{Context, Endpoint, Idempotency, ModelRequest, Refusal, RefusalKind};

/// Default for `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Largest accepted `max_tokens`.
const MAX_MAX_TOKENS: u32 = 65_536;
/// Header with the priority.
const PRIORITY: &str = "x-heathpitch-priority";
/// Header with the deadline, milliseconds from arrival.
const DEADLINE: &str = "x-heathpitch-deadline-ms";
/// Header with the retry policy: `allowed` or `never`.
const REPEAT: &str = "x-heathpitch-repeat";
/// Header with the idempotency key.
const KEY: &str = "idempotency-key";
/// Header set by a node that forwards a request.
pub(crate) const FORWARDED: &str = "x-heathpitch-forwarded";

/// A received request before its body is parsed.
pub(crate) struct RawRequest {
    pub(crate) headers: HeaderMap,
    pub(crate) method: hyper::Method,
    pub(crate) path: String,
    pub(crate) body: Bytes,
    pub(crate) idempotency: Idempotency,
}

#[derive(Deserialize)]
struct RequestBody {
    model: Name,
    #[serde(default)]
    prompt: Option<Prompt>,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(flatten)]
    options: Map<String, Value>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    text: String,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Reads a request; the settings bound its body.
pub(crate) async fn read_raw(
    cx: &Context,
    request: Request<Incoming>,
) -> Result<RawRequest, Refusal> {
    let (parts, body) = request.into_parts();
    let max_bytes = cx.traffic.shared.settings.max_body;
    let content = match read(body, max_bytes).await {
        Ok(content) => content,
        Err(BodyError::TooLarge) => {
            let message = format!("the body is larger than {max_bytes} bytes");
            return Err(Refusal::not_run(RefusalKind::TooLarge, message));
        }
        Err(e) => return Err(malformed(e.to_string())),
    };
    let idempotency = idempotency(&parts.headers)?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    Ok(RawRequest {
        headers: parts.headers,
        method: parts.method,
        path,
        body: content,
        idempotency,
    })
}

/// Reads a model request.
pub(crate) async fn model(
    cx: &Context,
    endpoint: Endpoint,
    request: Request<Incoming>,
) -> Result<(RawRequest, ModelRequest), Refusal> {
    let raw = read_raw(cx, request).await?;
    let text = std::str::from_utf8(&raw.body).map_err(|_| malformed("the body is not UTF-8"))?;
    let body: RequestBody = serde_json::from_str(text).map_err(|e| malformed(e.to_string()))?;
    let max_tokens = body.max_completion_tokens.or(body.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS);
    match body.n {
        Some(n) if n != 1 => return Err(malformed("only n = 1 is supported")),
        _ if max_tokens == 0 || max_tokens > MAX_MAX_TOKENS => {
            return Err(malformed(format!("max_tokens is outside 1 to {MAX_MAX_TOKENS}")));
        }
        _ => {}
    }
    let prompt = match (endpoint, body.prompt, body.messages) {
        (Endpoint::Completion, Some(Prompt::One(p)), _) => p,
        (Endpoint::Completion, Some(Prompt::Many(mut p)), _) if p.len() == 1 => p.remove(0),
        (Endpoint::Completion, Some(_), _) => return Err(malformed("only one prompt is allowed")),
        (Endpoint::Completion, None, _) => return Err(malformed("prompt is missing")),
        (Endpoint::Chat, _, Some(m)) if !m.is_empty() => chat_prompt(&m),
        (Endpoint::Chat, ..) => return Err(malformed("messages are missing")),
    };
    let request = ModelRequest {
        endpoint,
        model: body.model,
        prompt,
        max_tokens,
        stream: body.stream.unwrap_or(false),
        include_usage: body.stream_options.is_some_and(|o| o.include_usage),
        options: Value::Object(body.options),
        priority: priority(&raw.headers)?,
        deadline: deadline(&raw.headers)?,
    };
    Ok((raw, request))
}

/// Header value as text.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(|v| v.to_str());
    value.transpose().map_err(|_| malformed(format!("header {name} is not visible ASCII")))
}

/// Deadline set by the caller.
pub(crate) fn deadline(headers: &HeaderMap) -> Result<Option<Millis>, Refusal> {
    let Some(text) = header(headers, DEADLINE)? else { return Ok(None) };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Some(ms)),
        _ => Err(malformed(format!("header {DEADLINE} is not a positive integer"))),
    }
}

/// Priority set by the caller.
pub(crate) fn priority(headers: &HeaderMap) -> Result<Priority, Refusal> {
    match header(headers, PRIORITY)? {
        Some(text) => {
            text.parse().map_err(|e: heathpitch_core::UnknownPriority| malformed(e.to_string()))
        }
        None => Ok(Priority::default()),
    }
}

fn idempotency(headers: &HeaderMap) -> Result<Idempotency, Refusal> {
    let key = match header(headers, KEY)? {
        Some(text) => Some(text.parse().map_err(|e| malformed(format!("{KEY}: {e}")))?),
        None => None,
    };
    let never_retry = match header(headers, REPEAT)? {
        None | Some("allowed") => false,
        Some("never") => true,
        Some(_) => return Err(malformed(format!("header {REPEAT} must be allowed or never"))),
    };
    Ok(Idempotency { key, never_retry, forwarded: headers.contains_key(FORWARDED) })
}

fn chat_prompt(messages: &[Message]) -> String {
    let mut prompt = String::new();
    for m in messages {
        prompt.push_str(&m.role);
        prompt.push_str(": ");
        match &m.content {
            Content::Text(text) => prompt.push_str(text),
            Content::Parts(parts) => parts.iter().for_each(|p| prompt.push_str(&p.text)),
        }
        prompt.push('\n');
    }
    prompt.push_str("assistant:");
    prompt
}

pub(crate) fn malformed(message: impl Into<String>) -> Refusal {
    Refusal::new(Outcome::NotRun, RefusalKind::Malformed, message)
}
