//! Whether the store answers a node, by the outcomes of the node's calls.
//!
//! A call that is lost says something about the way to the store, and about all connections on it. A refused one does
//! not: the store answered, and may serve the next call, as it does when calls exceed its rates. Only refusals in a row
//! show that it turns the node away.

use heathpitch_core::Millis;

/// Refusals in a row that show that the store turns a node away.
const MAX_REFUSALS: u32 = 3;
/// Shortest time from the first of them: calls that are made at one moment exceed the store's rates together.
const MIN_REFUSAL_MS: Millis = 400;

/// Outcome of a call on the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The store handled it.
    Answered,
    /// The store refused to handle it.
    Refused,
    /// No answer arrived.
    Lost,
}

/// Access of a node to the store.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{CallOutcome, StoreAccess};
///
/// let mut access = StoreAccess::default();
/// access.record(CallOutcome::Refused, 1_000, 1_004);
/// assert!(access.is_reachable());
/// access.record(CallOutcome::Lost, 1_100, 2_300);
/// assert!(!access.is_reachable());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreAccess {
    reachable: bool,
    reachable_since: Millis,
    /// Time of the last answer.
    answered: Millis,
    /// Refusals since the last answer.
    refusals: u32,
    /// Time of the first of them.
    refused_since: Millis,
    losses: u64,
}

impl Default for StoreAccess {
    /// Access of a node that has made no call yet.
    fn default() -> Self {
        Self {
            reachable: true,
            reachable_since: 0,
            answered: 0,
            refusals: 0,
            refused_since: 0,
            losses: 0,
        }
    }
}

impl StoreAccess {
    /// Records the outcome, known at `now`, of a call sent at `sent`; returns whether reachability changed.
    ///
    /// A call that was sent before the store became reachable again and is lost afterwards is ignored: counted as a
    /// second outage, it would delay the adoption of a configuration, by 0.17 s in one case. One that is lost although
    /// the store has answered another call since shows a dead connection, not a store that is away.
    pub fn record(&mut self, outcome: CallOutcome, sent: Millis, now: Millis) -> bool {
        let before = self.reachable;
        match outcome {
            CallOutcome::Answered => {
                self.refusals = 0;
                self.answered = now;
                self.reachable = true;
                if !before {
                    self.reachable_since = now;
                }
            }
            CallOutcome::Refused => {
                if self.refusals == 0 {
                    self.refused_since = now;
                }
                self.refusals += 1;
                let turned_away = self.refusals >= MAX_REFUSALS
                    && now.saturating_sub(self.refused_since) >= MIN_REFUSAL_MS;
                self.reachable &= !turned_away;
            }
            CallOutcome::Lost if sent < self.reachable_since => {}
            CallOutcome::Lost => {
                self.losses += 1;
                self.reachable &= sent < self.answered;
            }
        }
        self.reachable != before
    }

    /// Records that the store was restored from an older copy by `now`, which is like a return.
    pub fn restored(&mut self, now: Millis) {
        self.reachable_since = now;
    }

    /// Whether the store answers.
    pub fn is_reachable(&self) -> bool {
        self.reachable
    }

    /// Time of its last return.
    pub fn reachable_since(&self) -> Millis {
        self.reachable_since
    }

    /// Number of lost calls, each of which shows that other connections may be dead too.
    pub fn losses(&self) -> u64 {
        self.losses
    }
}
