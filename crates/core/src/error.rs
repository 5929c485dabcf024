//! Errors in settings files and configuration documents, with the path of the invalid value.

use std::fmt;

/// Kind of a [`ConfigError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The text is not valid JSON.
    Syntax,
    /// A key is unknown.
    UnknownKey,
    /// A value has the wrong type or format.
    BadValue,
    /// A number is out of range.
    OutOfRange,
    /// A name is defined more than once.
    Duplicate,
    /// A reference names something undefined.
    Dangling,
    /// A selector matches nothing.
    MatchesNothing,
    /// The document is larger than the store accepts.
    TooLarge,
}

impl ErrorKind {
    /// Stable machine-readable name.
    pub fn as_str(self) -> &'static str {
        match self {
            ErrorKind::Syntax => "syntax",
            ErrorKind::UnknownKey => "unknown_key",
            ErrorKind::BadValue => "bad_value",
            ErrorKind::OutOfRange => "out_of_range",
            ErrorKind::Duplicate => "duplicate",
            ErrorKind::Dangling => "dangling",
            ErrorKind::MatchesNothing => "matches_nothing",
            ErrorKind::TooLarge => "too_large",
        }
    }
}

/// An invalid settings file or configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    kind: ErrorKind,
    path: String,
    message: String,
    tip: Option<String>,
}

/// # Construction
impl ConfigError {
    /// Creates an error at `path`, such as `routes[2].settings.attempts`.
    pub fn new(kind: ErrorKind, path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { kind, path: path.into(), message: message.into(), tip: None }
    }

    /// Adds the most similar valid word, if there is one.
    #[must_use]
    pub fn with_tip(mut self, nearest: Option<&str>) -> Self {
        self.tip = nearest.map(str::to_owned);
        self
    }
}

/// # Accessors
impl ConfigError {
    /// Kind of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Path of the invalid value.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The most similar valid word.
    pub fn tip(&self) -> Option<&str> {
        self.tip.as_deref()
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)?;
        match &self.tip {
            Some(tip) => write!(f, "\n  tip: did you mean `{tip}`?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ConfigError {}
