//! Renders answers in the format of the API: JSON documents and server-sent events.

use bytes::Bytes;
use heathpitch_policy::EndReason;
use serde_json::{Value, json};

use super::{Endpoint, ModelRequest};

/// Media type of server-sent events.
pub(crate) const EVENT_STREAM: &str = "text/event-stream";
/// Event that ends a complete stream.
const STREAM_END: &str = "data: [DONE]\n\n";

/// Renders the answer to one request.
pub(crate) struct Renderer {
    id: String,
    created: u64,
    model: String,
    endpoint: Endpoint,
    include_usage: bool,
    prompt_tokens: u32,
}

impl Renderer {
    /// A renderer for the answer to `request`.
    pub(crate) fn new(id: &str, request: &ModelRequest, prompt_tokens: u32) -> Self {
        Self {
            id: id.to_owned(),
            created: crate::clock::wall() / 1_000,
            model: request.model.to_string(),
            endpoint: request.endpoint,
            include_usage: request.include_usage,
            prompt_tokens,
        }
    }

    /// Event for one token.
    pub(crate) fn token(&self, text: &str, first: bool) -> Bytes {
        let choice = match self.endpoint {
            Endpoint::Completion => json!({ "index": 0, "text": text, "finish_reason": null }),
            Endpoint::Chat if first => json!({ "index": 0, "finish_reason": null,
                "delta": { "role": "assistant", "content": text } }),
            Endpoint::Chat => {
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null })
            }
        };
        sse_event(&self.chunk(json!([choice]), Value::Null))
    }

    /// Events that end a complete stream.
    pub(crate) fn end(&self, reason: EndReason, tokens: u32) -> Bytes {
        let reason = finish_reason(reason);
        let choice = match self.endpoint {
            Endpoint::Completion => json!({ "index": 0, "text": "", "finish_reason": reason }),
            Endpoint::Chat => json!({ "index": 0, "delta": {}, "finish_reason": reason }),
        };
        let mut text = sse_event(&self.chunk(json!([choice]), Value::Null)).to_vec();
        if self.include_usage {
            text.extend(sse_event(&self.chunk(json!([]), self.usage(tokens))));
        }
        text.extend(STREAM_END.as_bytes());
        text.into()
    }

    /// Complete answer as JSON.
    pub(crate) fn answer(&self, text: &str, reason: EndReason, tokens: u32) -> Vec<u8> {
        let reason = finish_reason(reason);
        let (object, choice) = match self.endpoint {
            Endpoint::Completion => {
                ("text_completion", json!({ "index": 0, "text": text, "finish_reason": reason }))
            }
            Endpoint::Chat => (
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
        let object = match self.endpoint {
            Endpoint::Completion => "text_completion",
            Endpoint::Chat => "chat.completion.chunk",
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
pub(crate) fn sse_event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

/// Converts a stored answer into a stream; `None` if it is not a model answer.
pub(crate) fn replay_as_stream(endpoint: Endpoint, stored: &[u8]) -> Option<Vec<u8>> {
    let mut answer: Value = serde_json::from_slice(stored).ok()?;
    let choice = answer["choices"].get(0)?.clone();
    let part = match endpoint {
        Endpoint::Completion => {
            json!({ "index": 0, "text": choice["text"], "finish_reason": choice["finish_reason"] })
        }
        Endpoint::Chat => {
            answer["object"] = json!("chat.completion.chunk");
            json!({ "index": 0, "delta": choice["message"],
                "finish_reason": choice["finish_reason"] })
        }
    };
    answer["choices"] = json!([part]);
    let mut text = sse_event(&answer).to_vec();
    text.extend(STREAM_END.as_bytes());
    Some(text)
}

fn finish_reason(reason: EndReason) -> &'static str {
    match reason {
        EndReason::Stop => "stop",
        EndReason::Length => "length",
    }
}
