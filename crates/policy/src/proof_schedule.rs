//! When a node has to confirm that the configuration it serves by is the newest.
//!
//! Once the store has accepted a configuration, nodes in touch with it have an agreed time to serve by that one or a
//! newer one. What a node serves by may be as old as its last proof, and that age is bounded by one sum:
//!
//! | part | time |
//! | --- | --- |
//! | a node that reads the store proves its configuration | each [`PROOF_INTERVAL_MS`] |
//! | a follower polls for a younger proof | from [`REPOLL_AGE_MS`] on |
//! | a follower that gets none proves its configuration by itself, standbys first | at [`ProofSchedule::own_proof_age`] |
//! | an attempt without a proof is repeated beside the first one | after [`FIRST_RETRY_MS`] |
//! | the store answers | within [`PROOF_ANSWER_MS`] |
//!
//! A follower's parts add up to less than [`MIN_APPLY_MS`], whichever other nodes are silent, late or cut off, and
//! although one attempt is refused or lost. Standbys prove theirs early enough for all followers to poll them before
//! their own turn, so that the loss of a planner costs the store a few calls.
//!
//! An answer may be slow because it holds a large configuration. An attempt is therefore repeated only once it takes
//! twice as long as the last answer did, and at most [`MAX_PENDING_PROOFS`] are pending.
//!
//! The sum holds as long as no more attempts fail. Calls that find an older proof therefore demand further attempts
//! ([`crate::ProofState`]), which do not wait for the schedule.
//!
//! Retries follow the time at which an attempt was sent, not that at which it failed: a lost one fails only after a
//! second and more.

use heathpitch_core::Millis;
use rand::Rng;

use crate::{EXCUSE_TTL_MS, STANDBYS, admission_age};

/// Shortest agreed time from the acceptance of a configuration until nodes in touch serve by it.
pub const MIN_APPLY_MS: Millis = 2_000;
/// Time between proofs of a node that reads the store.
pub const PROOF_INTERVAL_MS: Millis = 1_000;
/// Age of a proof from which a follower polls for the next one.
pub const REPOLL_AGE_MS: Millis = PROOF_INTERVAL_MS + 50;
/// Time within which the store answers a proof: fifty times its usual latency.
pub const PROOF_ANSWER_MS: Millis = 200;
/// Time after which an attempt without a proof is repeated.
pub const FIRST_RETRY_MS: Millis = 200;
/// Attempts without an answer at one time.
pub const MAX_PENDING_PROOFS: usize = 3;

/// Age at which a standby proves the configuration by itself, by rank.
const STANDBY_PROOF_AGE_MS: [Millis; STANDBYS] = [1_200, 1_300, 1_400];
/// The same for the other followers.
const FOLLOWER_PROOF_AGE_MS: Millis = 1_550;
/// Time between two proofs of a failure domain's followers that the store did not answer: two calls a second, up to
/// [`MAX_SPREAD_MS`].
const FAILED_PROOF_SLOT_MS: Millis = 500;
/// Shortest wait after such a proof.
const MIN_SPREAD_RETRY_MS: Millis = 300;
/// Longest random part of that wait. A node tries again before its last attempt ceases to excuse an old proof.
const MAX_SPREAD_MS: Millis = 2_000;
/// Time between two attempts that calls demand: many times the usual latency of the store.
const DEMAND_INTERVAL_MS: Millis = 60;
/// Longest time between two attempts of a node that reads the store while that answers other calls.
const MAX_RETRY_MS: Millis = 400;
/// The same while the store is away, a fraction of the shortest revocation time of a removed key.
const MAX_OUTAGE_RETRY_MS: Millis = 1_200;

const _: () = {
    assert!(REPOLL_AGE_MS < STANDBY_PROOF_AGE_MS[0]);
    assert!(STANDBY_PROOF_AGE_MS[STANDBYS - 1] < FOLLOWER_PROOF_AGE_MS);
    assert!(PROOF_INTERVAL_MS + FIRST_RETRY_MS + PROOF_ANSWER_MS < MIN_APPLY_MS);
    assert!(FOLLOWER_PROOF_AGE_MS + FIRST_RETRY_MS + PROOF_ANSWER_MS < MIN_APPLY_MS);
    assert!(FOLLOWER_PROOF_AGE_MS + FIRST_RETRY_MS < admission_age(MIN_APPLY_MS));
    assert!(MIN_SPREAD_RETRY_MS + MAX_SPREAD_MS < EXCUSE_TTL_MS);
    assert!(MAX_OUTAGE_RETRY_MS < EXCUSE_TTL_MS);
};

/// Schedule of a node's own proofs.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{PROOF_INTERVAL_MS, ProofRole, ProofSchedule};
///
/// let schedule = ProofSchedule::default();
/// let reader = ProofRole::Reader { reachable: true };
/// assert_eq!(schedule.due(Some(5_000), reader), 5_000 + PROOF_INTERVAL_MS);
/// let own_age = ProofSchedule::own_proof_age(None);
/// assert_eq!(schedule.due(Some(5_000), ProofRole::Follower { own_age }), 5_000 + own_age);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProofSchedule {
    /// Earliest time of the next proof after an answer.
    from: Millis,
    /// Attempts while the node reads the store.
    reader: Attempts,
    /// The same while it follows others, whose waits after a failure are longer.
    follower: Attempts,
    /// Time that the last answer took.
    latency: Millis,
}

/// Role in which a node proves its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofRole {
    /// It reads the store.
    Reader {
        /// Whether the store answers its calls.
        reachable: bool,
    },
    /// It follows other nodes.
    Follower {
        /// Age of the last proof at which it proves by itself, milliseconds.
        own_age: Millis,
    },
}

/// Attempts in one role since the last answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Attempts {
    /// Number of them.
    count: u32,
    /// Time of the last one.
    sent: Millis,
    /// A follower's wait after it.
    wait: Millis,
}

impl ProofSchedule {
    /// Age of the last proof at which a follower proves its configuration by itself; `rank` is its rank among the
    /// standbys.
    pub fn own_proof_age(rank: Option<usize>) -> Millis {
        let standby = rank.and_then(|rank| STANDBY_PROOF_AGE_MS.get(rank));
        standby.copied().unwrap_or(FOLLOWER_PROOF_AGE_MS)
    }

    /// Time of the next attempt after the proof of `proven`.
    pub fn due(&self, proven: Option<Millis>, role: ProofRole) -> Millis {
        let (age, attempts) = match role {
            ProofRole::Reader { .. } => (PROOF_INTERVAL_MS, self.reader),
            ProofRole::Follower { own_age } => (own_age, self.follower),
        };
        let retry = match role {
            _ if attempts.count == 0 => 0,
            ProofRole::Reader { reachable } => {
                let doubled = FIRST_RETRY_MS << (attempts.count - 1).min(8);
                let most = if reachable { MAX_RETRY_MS } else { MAX_OUTAGE_RETRY_MS };
                attempts.sent + doubled.min(most).max(self.first_retry())
            }
            ProofRole::Follower { .. } => attempts.sent + attempts.wait,
        };
        self.from.max(retry).max(proven.map_or(0, |proven| proven + age))
    }

    /// Time of the next attempt if calls wait for one, beside so many that are `pending`.
    pub fn demanded(&self, pending: usize) -> Millis {
        let interval = match pending {
            0 => DEMAND_INTERVAL_MS,
            _ => DEMAND_INTERVAL_MS.max((2 * self.latency).min(MAX_OUTAGE_RETRY_MS)),
        };
        self.reader.sent.max(self.follower.sent) + interval
    }

    /// Records that a node that reads the store sends an attempt at `sent`.
    pub fn reader_sent(&mut self, sent: Millis) {
        self.reader = Attempts { count: self.reader.count.saturating_add(1), sent, wait: 0 };
    }

    /// Records that a follower sends an attempt at `sent`; `contenders` nodes may do the same.
    pub fn follower_sent(&mut self, sent: Millis, contenders: u32, rng: &mut impl Rng) {
        let spread = (FAILED_PROOF_SLOT_MS * u64::from(contenders.max(1))).min(MAX_SPREAD_MS);
        let wait = match self.follower.count {
            0 => self.first_retry(),
            _ => MIN_SPREAD_RETRY_MS + rng.random_range(0..=spread),
        };
        self.follower = Attempts { count: self.follower.count.saturating_add(1), sent, wait };
    }

    /// Records an answer that arrived at `now` to an attempt sent at `sent`.
    pub fn answered(&mut self, sent: Millis, now: Millis) {
        let latency = now.saturating_sub(sent);
        *self = Self { from: sent + PROOF_INTERVAL_MS, latency, ..Self::default() };
    }

    /// Time after which the first attempt is repeated.
    fn first_retry(&self) -> Millis {
        (2 * self.latency).clamp(FIRST_RETRY_MS, MAX_OUTAGE_RETRY_MS)
    }
}
