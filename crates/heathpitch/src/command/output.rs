//! What commands print.

use serde::Serialize;

use super::arguments::Arguments;
use super::error::CommandError;

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Form that the arguments ask for.
pub(crate) fn form(arguments: &Arguments) -> Result<Form, CommandError> {
    match arguments.output.as_deref() {
        None | Some("text") => Ok(Form::Text),
        Some("json") => Ok(Form::Json),
        Some(other) => {
            let message = format!("--output: {other:?} is neither text nor json");
            Err(CommandError::Usage { message, tip: String::new() })
        }
    }
}

/// Prints a value as JSON, or as the text that `text` makes of it.
pub(crate) fn print<T: Serialize>(
    arguments: &Arguments,
    value: &T,
    text: impl FnOnce(&T) -> String,
) -> Result<(), CommandError> {
    match form(arguments)? {
        Form::Text => println!("{}", text(value)),
        Form::Json => println!("{}", serde_json::to_string(value).unwrap_or_default()),
    }
    Ok(())
}
