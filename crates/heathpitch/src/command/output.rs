//! Output of commands.

use serde::Serialize;

use super::arguments::Arguments;
use super::error::CommandError;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    /// Text for people.
    Text,
    /// JSON for programs.
    Json,
}

/// Output format that the arguments select.
pub(crate) fn output_format(arguments: &Arguments) -> Result<OutputFormat, CommandError> {
    match arguments.output.as_deref() {
        None | Some("text") => Ok(OutputFormat::Text),
        Some("json") => Ok(OutputFormat::Json),
        Some(other) => {
            let message = format!("--output: {other:?} is neither `text` nor `json`");
            Err(CommandError::Usage { message, hint: String::new() })
        }
    }
}

/// Prints a value as JSON, or as text formatted by `text`.
pub(crate) fn print<T: Serialize>(
    arguments: &Arguments,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<(), CommandError> {
    match output_format(arguments)? {
        OutputFormat::Text => println!("{}", text(value)),
        OutputFormat::Json => println!("{}", serde_json::to_string(value).unwrap_or_default()),
    }
    Ok(())
}
