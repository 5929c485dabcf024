//! Whether a node reaches the engines of a service at all.
//!
//! A single engine that does not answer may have ended, or be silent for a moment. A node whose new
//! connections all fail is more likely cut off itself, and has to be told apart from both by probes of
//! several engines. The state machine decides how many to probe and when; the caller probes.

use heathpitch_core::Millis;

/// Engines probed first when an attempt fails.
const FIRST_PROBES: usize = 2;
/// Engines probed next if none of the first answers: enough that all of them are down by chance only if
/// most engines are.
const WIDE_PROBES: usize = 24;
/// Shortest time between two checks that an engine answered.
const CHECK_INTERVAL_MS: Millis = 200;
/// The same if nothing failed but an answer is late, which is common under load.
const LATE_CHECK_INTERVAL_MS: Millis = 1_000;
/// Interval of probes while the service is cut off.
const PROBE_INTERVAL_MS: Millis = 250;
/// Answered probes in a row after which the service counts as reached again.
const RETURN_PROBES: u32 = 2;
/// The same if it was cut off again shortly after its last return.
const UNSTABLE_RETURN_PROBES: u32 = 4;
/// Time after a return within which a further cut shows that the way is unstable.
const UNSTABLE_MS: Millis = 10_000;

/// Why a way is suspected to be cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// A connection failed or takes long.
    Failed,
    /// An answer is late.
    Late,
}

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckResult {
    /// An engine answered.
    Connected,
    /// So many more engines are to be probed.
    Undecided(usize),
    /// No engine answered: the service is cut off from this node.
    CutOff,
}

/// Connectivity of a node to one service.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{CheckResult, Connectivity, Suspicion};
///
/// let mut way = Connectivity::default();
/// assert_eq!(way.suspect(Suspicion::Failed, 3, 0), Some(2));
/// assert_eq!(way.record_check(false, 2, 3, 60), CheckResult::Undecided(1));
/// assert_eq!(way.record_check(false, 3, 3, 120), CheckResult::CutOff);
/// assert!(way.is_probe_due(370));
/// assert!(!way.record_probe(true, 370));
/// assert!(way.record_probe(true, 380), "reached again");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Connectivity {
    is_cut: bool,
    is_checking: bool,
    /// When the last check was answered.
    checked_at: Option<Millis>,
    /// When the service was last reached again.
    returned_at: Option<Millis>,
    /// Time of the next probe while the service is cut off.
    probe_at: Millis,
    /// Answered probes in a row.
    answered: u32,
    /// Answered probes needed for the return.
    required: u32,
}

/// # Checks
impl Connectivity {
    /// Number of engines, of `listed`, to probe now because of a suspicion; none if there is nothing to
    /// check.
    pub fn suspect(&mut self, why: Suspicion, listed: usize, now: Millis) -> Option<usize> {
        let interval = match why {
            Suspicion::Failed => CHECK_INTERVAL_MS,
            Suspicion::Late => LATE_CHECK_INTERVAL_MS,
        };
        let is_recent = self.checked_at.is_some_and(|at| now < at + interval);
        if self.is_cut || self.is_checking || is_recent || listed == 0 {
            return None;
        }
        self.is_checking = true;
        Some(FIRST_PROBES.min(listed))
    }

    /// Records whether any of the `probed` engines of this check, of `listed` ones, answered.
    pub fn record_check(
        &mut self,
        answered: bool,
        probed: usize,
        listed: usize,
        now: Millis,
    ) -> CheckResult {
        let remaining = WIDE_PROBES.min(listed.saturating_sub(probed));
        match answered {
            true => {
                self.is_checking = false;
                self.checked_at = Some(now);
                CheckResult::Connected
            }
            false if probed <= FIRST_PROBES && remaining > 0 => CheckResult::Undecided(remaining),
            false => {
                self.is_checking = false;
                self.cut_off(now);
                CheckResult::CutOff
            }
        }
    }

    /// Whether a check is running.
    pub fn is_checking(&self) -> bool {
        self.is_checking
    }

    /// Gives a check up, whose probes tell nothing.
    pub fn cancel_check(&mut self) {
        self.is_checking = false;
    }

    fn cut_off(&mut self, now: Millis) {
        let unstable = self.returned_at.is_some_and(|at| now < at + UNSTABLE_MS);
        self.is_cut = true;
        self.answered = 0;
        self.required = if unstable { UNSTABLE_RETURN_PROBES } else { RETURN_PROBES };
        self.probe_at = now + PROBE_INTERVAL_MS;
    }
}

/// # Return
impl Connectivity {
    /// Whether the service is cut off.
    pub fn is_cut_off(&self) -> bool {
        self.is_cut
    }

    /// Whether an engine is to be probed now, to find whether the service is reached again.
    pub fn is_probe_due(&self, now: Millis) -> bool {
        self.is_cut && now >= self.probe_at
    }

    /// Has an engine probed at once, because another service is reached again.
    pub fn probe_now(&mut self, now: Millis) {
        self.probe_at = self.probe_at.min(now);
    }

    /// Records a probe, and returns whether the service is reached again.
    pub fn record_probe(&mut self, answered: bool, now: Millis) -> bool {
        self.answered = if answered { self.answered + 1 } else { 0 };
        // An answered probe is repeated at once, at another engine.
        self.probe_at = if answered { now } else { now + PROBE_INTERVAL_MS };
        let is_back = self.is_cut && self.answered >= self.required;
        if is_back {
            self.is_cut = false;
            self.returned_at = Some(now);
        }
        is_back
    }
}
