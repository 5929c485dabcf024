//! Sample configuration documents.

use heathpitch_core::{ConfigError, Document, parse_document};
use serde_json::json;

/// Document with two models, three accounts, a pool of engines and a pool of services.
///
/// # Errors
///
/// [`ConfigError`] if the document is invalid.
pub fn sample_document(layers: u32) -> Result<Document, ConfigError> {
    let document = json!({
        "models": [
            { "name": "tickets", "version": "v1", "layers": layers },
            { "name": "triage", "version": "v1", "layers": layers },
        ],
        "accounts": [
            { "name": "memphis-desk", "labels": { "user": "desk" }, "weight": 4 },
            { "name": "adviser-1", "labels": { "user": "desk" } },
            { "name": "isar-night", "labels": { "user": "isar" }, "weight": 2 },
        ],
        "pools": [
            { "name": "engines", "labels": { "use": "models" }, "members": { "kind": "engine" } },
            { "name": "lookups", "labels": { "use": "lookups" }, "members": { "kind": "service" } },
        ],
        "routes": [
            { "name": "all-models", "select": { "models": ["tickets"] }, "pools": { "labels": { "use": "models" } } },
            { "name": "accounts", "kind": "service", "pools": { "names": ["lookups"] },
                "settings": { "deadline_ms": 10_000 } },
        ],
    });
    parse_document(&document.to_string())
}
