//! The log: JSON lines on standard error.

use std::io;

use log::LevelFilter;

use crate::clock::wall;

/// The log cannot be set up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// It was set up before.
    #[error("the log was set up already")]
    Twice,
}

/// Writes JSON lines of at least `level` to standard error.
///
/// # Errors
///
/// [`LogError::Twice`] if it was called before.
pub fn init(level: LevelFilter) -> Result<(), LogError> {
    fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("heathpitch", level)
        .level_for("heathpitchd", level)
        .format(|out, message, record| {
            let text = message.to_string();
            let level = record.level().as_str().to_ascii_lowercase();
            let at = wall();
            match text.strip_prefix('{') {
                Some(rest) if record.target() == "heathpitch" => {
                    out.finish(format_args!("{{\"at\":{at},\"level\":\"{level}\",{rest}"));
                }
                _ => {
                    let text = serde_json::Value::from(text);
                    let message = "\"event\":\"message\",\"text\"";
                    out.finish(format_args!(
                        "{{\"at\":{at},\"level\":\"{level}\",{message}:{text}}}"
                    ));
                }
            }
        })
        .chain(io::stderr())
        .apply()
        .map_err(|_| LogError::Twice)
}
