//! Faults that a stand-in engine or service shows on request.

use serde::{Deserialize, Serialize};

/// A fault of an engine or service.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// End at once, as SIGKILL would.
    Die,
    /// Answer nothing more until thawed.
    Freeze,
    /// Go on after a freeze.
    Thaw,
    /// Compute this many times slower.
    Slow(f64),
    /// End each answer after this many tokens without saying so.
    CutShort(u32),
    /// Swap two tokens of each answer.
    Reorder,
    /// Put a frame of another request into each answer.
    Cross,
    /// Refuse every new request with a statement of no start.
    Refuse,
    /// Close new connections for requests before any answer.
    Reset,
    /// Run each request but lose its answer.
    LoseAnswer,
    /// Forget cache events.
    LoseEvents,
    /// Say that the engine will stop.
    Leave,
    /// Show no fault any more.
    Heal,
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
            Fault::CutShort(n) => self.cut = Some(n),
            Fault::Reorder => self.reorder = true,
            Fault::Cross => self.cross = true,
            Fault::Refuse => self.refuse = true,
            Fault::Reset => self.reset = true,
            Fault::LoseAnswer => self.lose = true,
            Fault::Leave => self.leaving = true,
            Fault::Heal => *self = Self::default(),
            Fault::Die | Fault::LoseEvents => {}
        }
    }
}
