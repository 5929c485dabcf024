//! Retry budgets and retry times for rejected clients.

use heathpitch_core::Millis;
use rand::Rng;

/// Credit earned by each request, in thousandths of a retry.
const CREDIT: u32 = 200;
/// Cost of a retry, in the same unit.
const COST: u32 = 1_000;
/// Largest balance: a hundred retries.
const MAX_BALANCE: u32 = 100 * COST;
/// Shortest retry time before jitter, milliseconds.
const RETRY_MIN_MS: Millis = 1_000;
/// Longest retry time before jitter, milliseconds.
const RETRY_MAX_MS: Millis = 30_000;

/// Limits retries to a fifth of requests, so that they cannot amplify an overload.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::RetryBudget;
///
/// let mut budget = RetryBudget::new();
/// let spent = (0..200).filter(|_| budget.spend()).count();
/// assert_eq!(spent, 100);
/// (0..5).for_each(|_| budget.earn());
/// assert!(budget.spend());
/// assert!(!budget.spend());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    balance: u32,
}

impl RetryBudget {
    /// Creates a budget with a balance of a hundred retries.
    pub fn new() -> Self {
        Self { balance: MAX_BALANCE }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + CREDIT).min(MAX_BALANCE);
    }

    /// Takes one retry, if the balance covers it.
    pub fn spend(&mut self) -> bool {
        match self.balance.checked_sub(COST) {
            Some(rest) => {
                self.balance = rest;
                true
            }
            None => false,
        }
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Time after which a rejected client should retry: at least `least`, with jitter of up to the same
/// amount.
pub fn retry_after(least: Millis, rng: &mut impl Rng) -> Millis {
    let base = least.clamp(RETRY_MIN_MS, RETRY_MAX_MS);
    base + rng.random_range(0..=base)
}
