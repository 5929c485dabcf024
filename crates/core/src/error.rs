//! Errors of settings and configuration, with the path of the wrong value and a tip.

use std::fmt;

/// What is wrong with a settings file or configuration document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorKind {
    /// The text is not JSON.
    Syntax,
    /// A key is not known.
    UnknownKey,
    /// A value has the wrong type or form.
    BadValue,
    /// A number is outside its bounds.
    OutOfRange,
    /// A name stands twice.
    Duplicate,
    /// A name refers to nothing.
    Dangling,
    /// A selector matches nothing.
    MatchesNothing,
    /// The document is larger than the store takes.
    TooLarge,
}

impl ErrorKind {
    /// Stable word for machines.
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

/// A wrong settings file or configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    kind: ErrorKind,
    path: String,
    message: String,
    tip: Option<String>,
}

/// # Construction
impl ConfigError {
    /// An error at `path`, such as `routes[2].settings.attempts`.
    pub fn new(kind: ErrorKind, path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { kind, path: path.into(), message: message.into(), tip: None }
    }

    /// Adds the nearest valid word, if there is one.
    #[must_use]
    pub fn with_tip(mut self, nearest: Option<&str>) -> Self {
        self.tip = nearest.map(str::to_owned);
        self
    }
}

/// # Reading
impl ConfigError {
    /// What is wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Where it is wrong.
    pub fn path(&self) -> &str {
        &self.path
    }

    /// The nearest valid word.
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
