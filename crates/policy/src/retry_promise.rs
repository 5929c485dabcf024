//! Promised retries and capacities as nodes exchange them.

use heathpitch_core::{Millis, Name};

/// Retries promised in one slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryPromise {
    /// The service.
    pub service: Name,
    /// Time from the message to the start of the slot, milliseconds.
    pub in_ms: Millis,
    /// Number of retries.
    pub count: u32,
}

/// Retries that one slot of a service has capacity for.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotCapacity {
    /// The service.
    pub service: Name,
    /// Retries per slot.
    pub per_slot: f32,
}

/// Answer of a planner to a poll.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PromiseSums {
    /// Promises of the failure domain in near slots, and in slots with places for the polling node
    /// all places but those.
    pub promises: Vec<RetryPromise>,
    /// Capacities of the services that have promises.
    pub capacities: Vec<SlotCapacity>,
}

/// Why promises of another node are not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PromiseError {
    /// The message has more entries than are sent.
    #[error("expected at most {most} entries, got {got}")]
    TooLarge {
        /// Most entries of a message.
        most: usize,
        /// Entries of this one.
        got: usize,
    },
    /// The message was on its way for too long.
    #[error("expected an answer within {most} ms, got one after {got} ms")]
    Old {
        /// Longest time from a poll to its answer.
        most: Millis,
        /// Time from this poll to its answer.
        got: Millis,
    },
}
