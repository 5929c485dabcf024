//! Answers in the form of the API: whole JSON and server-sent events.

use bytes::Bytes;
use heathpitch_policy::EndReason;
use serde_json::{Value, json};

use super::{Ask, AskKind};

/// Media type of server-sent events.
pub(crate) const EVENTS: &str = "text/event-stream";
/// Last event of a whole stream.
const DONE: &str = "data: [DONE]\n\n";

/// Renders the answer to one request.
pub(crate) struct Renderer {
    id: String,
    created: u64,
    model: String,
    kind: AskKind,
    usage: bool,
    prompt_tokens: u32,
}

impl Renderer {
    /// A renderer for the answer to `ask`.
    pub(crate) fn new(id: &str, ask: &Ask, prompt_tokens: u32) -> Self {
        Self {
            id: id.to_owned(),
            created: crate::clock::wall() / 1_000,
            model: ask.model.to_string(),
            kind: ask.kind,
            usage: ask.usage,
            prompt_tokens,
        }
    }

    /// The event for one token.
    pub(crate) fn token(&self, text: &str, first: bool) -> Bytes {
        let choice = match self.kind {
            AskKind::Completion => json!({ "index": 0, "text": text, "finish_reason": null }),
            AskKind::Chat if first => json!({ "index": 0, "finish_reason": null,
                "delta": { "role": "assistant", "content": text } }),
            AskKind::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
            }
        };
        event(&self.chunk(json!([choice]), Value::Null))
    }

    /// The events that end a whole stream.
    pub(crate) fn end(&self, reason: EndReason, tokens: u32) -> Bytes {
        let reason = word(reason);
        let choice = match self.kind {
            AskKind::Completion => json!({ "index": 0, "text": "", "finish_reason": reason }),
            AskKind::Chat => json!({ "index": 0, "delta": {}, "finish_reason": reason }),
        };
        let mut text = event(&self.chunk(json!([choice]), Value::Null)).to_vec();
        if self.usage {
            text.extend(event(&self.chunk(json!([]), self.usage(tokens))));
        }
        text.extend(DONE.as_bytes());
        text.into()
    }

    /// The whole answer.
    pub(crate) fn whole(&self, text: &str, reason: EndReason, tokens: u32) -> Vec<u8> {
        let reason = word(reason);
        let (object, choice) = match self.kind {
            AskKind::Completion => {
                ("text_completion", json!({ "index": 0, "text": text, "finish_reason": reason }))
            }
            AskKind::Chat => (
                "chat.completion",
                json!({ "index": 0, "finish_reason": reason,
                    "message": { "role": "assistant", "content": text } }),
            ),
        };
        let answer = json!({ "id": self.id, "object": object, "created": self.created,
            "model": self.model, "choices": [choice], "usage": self.usage(tokens) });
        answer.to_string().into_bytes()
    }

    fn chunk(&self, choices: Value, usage: Value) -> Value {
        let object = match self.kind {
            AskKind::Completion => "text_completion",
            AskKind::Chat => "chat.completion.chunk",
        };
        let mut chunk = json!({ "id": self.id, "object": object, "created": self.created,
            "model": self.model, "choices": choices });
        if !usage.is_null() {
            chunk["usage"] = usage;
        }
        chunk
    }

    fn usage(&self, tokens: u32) -> Value {
        json!({ "prompt_tokens": self.prompt_tokens, "completion_tokens": tokens,
            "total_tokens": self.prompt_tokens + tokens })
    }
}

/// One server-sent event.
pub(crate) fn event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

/// A whole answer given again as a stream; none if it is not one.
pub(crate) fn replayed(kind: AskKind, whole: &[u8]) -> Option<Vec<u8>> {
    let mut answer: Value = serde_json::from_slice(whole).ok()?;
    let choice = answer["choices"].get(0)?.clone();
    let part = match kind {
        AskKind::Completion => {
            json!({ "index": 0, "text": choice["text"], "finish_reason": choice["finish_reason"] })
        }
        AskKind::Chat => {
            answer["object"] = json!("chat.completion.chunk");
            json!({ "index": 0, "delta": choice["message"],
                "finish_reason": choice["finish_reason"] })
        }
    };
    answer["choices"] = json!([part]);
    let mut text = event(&answer).to_vec();
    text.extend(DONE.as_bytes());
    Some(text)
}

fn word(reason: EndReason) -> &'static str {
    match reason {
        EndReason::Stop => "stop",
        EndReason::Length => "length",
    }
}
