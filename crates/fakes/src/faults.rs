//! Faults that a stand-in engine or service shows on request.

use serde::{Deserialize, Serialize};

/// A fault of an engine or service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// End at once, as SIGKILL would.
    #[serde(rename = "die")]
    Exit,
    /// Answer nothing more until thawed.
    Freeze,
    /// Go on after a freeze.
    Thaw,
    /// Compute this many times slower.
    Slow(f64),
    /// End each answer after this many tokens without saying so.
    #[serde(rename = "cut_short")]
    Truncate(u32),
    /// Swap two tokens of each answer.
    Reorder,
    /// Put a frame of another request into each answer.
    #[serde(rename = "cross")]
    WrongRequest,
    /// Refuse every new request with a statement of no start.
    Refuse,
    /// Close new connections for requests before any answer.
    Reset,
    /// Run each request but lose its answer.
    #[serde(rename = "lose_answer")]
    LoseResponse,
    /// Forget cache events.
    #[serde(rename = "lose_events")]
    ClearEvents,
    /// Say that the engine will stop.
    #[serde(rename = "leave")]
    Drain,
    /// Show no fault any more.
    #[serde(rename = "heal")]
    Clear,
}

/// Faults in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) frozen: bool,
    pub(crate) slow: Option<f64>,
    pub(crate) cut: Option<u32>,
    pub(crate) reorder: bool,
    pub(crate) cross: bool,
    pub(crate) refuse: bool,
    pub(crate) reset: bool,
    pub(crate) lose: bool,
    pub(crate) leaving: bool,
}

impl Faults {
    /// Puts a fault in force.
    pub(crate) fn set(&mut self, fault: Fault) {
        match fault {
            Fault::Freeze => self.frozen = true,
            Fault::Thaw => self.frozen = false,
            Fault::Slow(factor) => self.slow = Some(factor),
            Fault::Truncate(n) => self.cut = Some(n),
            Fault::Reorder => self.reorder = true,
            Fault::WrongRequest => self.cross = true,
            Fault::Refuse => self.refuse = true,
            Fault::Reset => self.reset = true,
            Fault::LoseResponse => self.lose = true,
            Fault::Drain => self.leaving = true,
            Fault::Clear => *self = Self::default(),
            Fault::Exit | Fault::ClearEvents => {}
        }
    }
}
