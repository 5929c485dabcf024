//! Faults that can be injected into a fake engine or service.

use serde::{Deserialize, Serialize};

/// Fault of an engine or service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Exit at once, as on SIGKILL.
    #[serde(rename = "die")]
    Exit,
    /// Stop answering until [`Fault::Thaw`].
    Freeze,
    /// Resume after [`Fault::Freeze`].
    Thaw,
    /// Multiply the compute time by this factor.
    Slow(f64),
    /// Truncate each answer after this many tokens, without an error.
    #[serde(rename = "cut_short")]
    Truncate(u32),
    /// Swap two tokens of each answer.
    Reorder,
    /// Put a frame of another request into each answer.
    #[serde(rename = "cross")]
    WrongRequest,
    /// Refuse each new request, stating that it was not started.
    Refuse,
    /// Close the connection of each new request before any response.
    Reset,
    /// Run each request but drop its response.
    #[serde(rename = "lose_answer")]
    LoseResponse,
    /// Clear the log of cache events.
    #[serde(rename = "lose_events")]
    ClearEvents,
    /// Report that the engine is draining.
    #[serde(rename = "leave")]
    Drain,
    /// Clear all faults.
    #[serde(rename = "heal")]
    Clear,
}

/// Active faults.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) frozen: bool,
    pub(crate) slow: Option<f64>,
    pub(crate) truncate: Option<u32>,
    pub(crate) reorder: bool,
    pub(crate) wrong_request: bool,
    pub(crate) refuse: bool,
    pub(crate) reset: bool,
    pub(crate) lose_response: bool,
    pub(crate) draining: bool,
}

impl Faults {
    /// Activates a fault.
    pub(crate) fn set(&mut self, fault: Fault) {
        match fault {
            Fault::Freeze => self.frozen = true,
            Fault::Thaw => self.frozen = false,
            Fault::Slow(factor) => self.slow = Some(factor),
            Fault::Truncate(n) => self.truncate = Some(n),
            Fault::Reorder => self.reorder = true,
            Fault::WrongRequest => self.wrong_request = true,
            Fault::Refuse => self.refuse = true,
            Fault::Reset => self.reset = true,
            Fault::LoseResponse => self.lose_response = true,
            Fault::Drain => self.draining = true,
            Fault::Clear => *self = Self::default(),
            Fault::Exit | Fault::ClearEvents => {}
        }
    }
}
