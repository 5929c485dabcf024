//! JSON parsing with errors that carry the path of the invalid value.

use serde::de::DeserializeOwned;

use crate::{ConfigError, Document, ErrorKind, Settings, validate};

/// Largest document that the platform stores.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;
/// Lowest Jaro-Winkler similarity at which a word is suggested.
const MIN_SIMILARITY: f64 = 0.7;

/// Parses and validates a configuration document.
///
/// # Errors
///
/// The first error, with its path and, for a misspelt word, a suggestion.
pub fn parse_document(text: &str) -> Result<Document, ConfigError> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message =
            format!("document has {} bytes, at most {MAX_DOCUMENT_BYTES} are allowed", text.len());
        return Err(ConfigError::new(ErrorKind::TooLarge, ".", message));
    }
    let doc = parse(text)?;
    validate(&doc)?;
    Ok(doc)
}

/// Parses and checks a node's settings file.
///
/// # Errors
///
/// The first error, with its path and, for a misspelt word, a suggestion.
pub fn parse_settings(text: &str) -> Result<Settings, ConfigError> {
    let settings: Settings = parse(text)?;
    settings.check()?;
    Ok(settings)
}

/// The word of `words` most similar to `word`, if one is similar enough to suggest.
pub fn nearest<'a>(word: &str, words: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let scored = |w: &'a str| (strsim::jaro_winkler(word, w), w);
    let best = words.into_iter().map(scored).max_by(|a, b| a.0.total_cmp(&b.0));
    best.filter(|(score, _)| *score >= MIN_SIMILARITY).map(|(_, w)| w)
}

pub(crate) fn parse<T: DeserializeOwned>(text: &str) -> Result<T, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|e| config_error(&e))?;
    let end = json.end();
    end.map_err(|e| ConfigError::new(ErrorKind::Syntax, ".", e.to_string()))?;
    Ok(value)
}

fn config_error(e: &serde_path_to_error::Error<serde_json::Error>) -> ConfigError {
    let path = e.path().to_string();
    let message = e.inner().to_string();
    match quoted(&message) {
        _ if e.inner().is_syntax() || e.inner().is_eof() => {
            ConfigError::new(ErrorKind::Syntax, path, message)
        }
        words if message.starts_with("unknown field") && !words.is_empty() => {
            let tip = nearest(words[0], words[1..].iter().copied());
            ConfigError::new(ErrorKind::UnknownKey, path, &message).with_tip(tip)
        }
        words if message.starts_with("unknown variant") && !words.is_empty() => {
            let tip = nearest(words[0], words[1..].iter().copied());
            ConfigError::new(ErrorKind::BadValue, path, &message).with_tip(tip)
        }
        _ => ConfigError::new(ErrorKind::BadValue, path, message),
    }
}

/// Words in backquotes; serde puts the unknown word first and the expected ones after it.
fn quoted(message: &str) -> Vec<&str> {
    message.split('`').skip(1).step_by(2).collect()
}
