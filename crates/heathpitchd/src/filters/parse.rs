//! Filter: reads a request and checks its form.

use heathpitch_core::{Millis, Name, Outcome, Priority};
use heathpitch_net::{BodyError, read};
use hyper::Request;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use serde::Deserialize;
use serde_json::{Map, Value};

use super::{Ask, AskKind, Context, Key, Refusal, RefusalKind};

/// Tokens generated if the caller names no number.
const WANTED: u32 = 256;
/// Most tokens of one answer.
const MAX_WANTED: u32 = 65_536;
/// Header with the priority.
const PRIORITY: &str = "x-heathpitch-priority";
/// Header with the deadline, milliseconds from arrival.
const DEADLINE: &str = "x-heathpitch-deadline-ms";
/// Header that says whether a request may be repeated: `allowed` or `never`.
const REPEAT: &str = "x-heathpitch-repeat";
/// Header with the caller's key.
const KEY: &str = "idempotency-key";
/// Header that another node sets when it passes a request on.
pub(crate) const FORWARDED: &str = "x-heathpitch-forwarded";

/// Headers and body of a request, as they came.
pub(crate) struct Head {
    pub(crate) headers: HeaderMap,
    pub(crate) method: hyper::Method,
    pub(crate) path: String,
    pub(crate) content: Bytes,
    pub(crate) key: Key,
}

#[derive(Deserialize)]
struct Wire {
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

/// Reads a request whose body is bounded by the settings.
pub(crate) async fn head(cx: &Context, request: Request<Incoming>) -> Result<Head, Refusal> {
    let (parts, body) = request.into_parts();
    let most = cx.traffic.shared.settings.max_body;
    let content = match read(body, most).await {
        Ok(content) => content,
        Err(BodyError::TooLarge) => {
            let message = format!("the body is larger than {most} bytes");
            return Err(Refusal::not_run(RefusalKind::TooLarge, message));
        }
        Err(e) => return Err(malformed(e.to_string())),
    };
    let key = key(&parts.headers)?;
    let path = parts.uri.path_and_query().map_or("/", |p| p.as_str()).to_owned();
    Ok(Head { headers: parts.headers, method: parts.method, path, content, key })
}

/// Reads a model request.
pub(crate) async fn model(
    cx: &Context,
    kind: AskKind,
    request: Request<Incoming>,
) -> Result<(Head, Ask), Refusal> {
    let head = head(cx, request).await?;
    let text =
        std::str::from_utf8(&head.content).map_err(|_| malformed("the body is not UTF-8"))?;
    let wire: Wire = serde_json::from_str(text).map_err(|e| malformed(e.to_string()))?;
    let wanted = wire.max_completion_tokens.or(wire.max_tokens).unwrap_or(WANTED);
    match wire.n {
        Some(n) if n != 1 => return Err(malformed("only n = 1 is served")),
        _ if wanted == 0 || wanted > MAX_WANTED => {
            return Err(malformed(format!("max_tokens is outside 1 to {MAX_WANTED}")));
        }
        _ => {}
    }
    let prompt = match (kind, wire.prompt, wire.messages) {
        (AskKind::Completion, Some(Prompt::One(p)), _) => p,
        (AskKind::Completion, Some(Prompt::Many(mut p)), _) if p.len() == 1 => p.remove(0),
        (AskKind::Completion, Some(_), _) => return Err(malformed("one prompt is served at once")),
        (AskKind::Completion, None, _) => return Err(malformed("prompt is missing")),
        (AskKind::Chat, _, Some(m)) if !m.is_empty() => chat(&m),
        (AskKind::Chat, ..) => return Err(malformed("messages are missing")),
    };
    let ask = Ask {
        kind,
        model: wire.model,
        prompt,
        wanted,
        stream: wire.stream.unwrap_or(false),
        usage: wire.stream_options.is_some_and(|o| o.include_usage),
        options: Value::Object(wire.options),
        priority: priority(&head.headers)?,
        deadline: deadline(&head.headers)?,
    };
    Ok((head, ask))
}

/// Value of a header as text.
pub(crate) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(|v| v.to_str());
    value.transpose().map_err(|_| malformed(format!("header {name} is not plain text")))
}

/// Deadline that the caller set.
pub(crate) fn deadline(headers: &HeaderMap) -> Result<Option<Millis>, Refusal> {
    let Some(text) = header(headers, DEADLINE)? else { return Ok(None) };
    match text.parse() {
        Ok(ms) if ms > 0 => Ok(Some(ms)),
        _ => Err(malformed(format!("header {DEADLINE} is not a number above 0"))),
    }
}

/// Priority that the caller set.
pub(crate) fn priority(headers: &HeaderMap) -> Result<Priority, Refusal> {
    match header(headers, PRIORITY)? {
        Some(text) => {
            text.parse().map_err(|e: heathpitch_core::UnknownPriority| malformed(e.to_string()))
        }
        None => Ok(Priority::default()),
    }
}

fn key(headers: &HeaderMap) -> Result<Key, Refusal> {
    let text = match header(headers, KEY)? {
        Some(text) => Some(text.parse().map_err(|e| malformed(format!("{KEY}: {e}")))?),
        None => None,
    };
    let never = match header(headers, REPEAT)? {
        None | Some("allowed") => false,
        Some("never") => true,
        Some(_) => return Err(malformed(format!("header {REPEAT} is neither allowed nor never"))),
    };
    Ok(Key { text, never, forwarded: headers.contains_key(FORWARDED) })
}

fn chat(messages: &[Message]) -> String {
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
    Refusal::of(Outcome::NotRun, RefusalKind::Malformed, message)
}
