//! Retry budgets and the time told to callers to come back.

use heathpitch_core::Millis;
use rand::Rng;

/// Retries earned by each request, in thousandths of a retry.
const EARN: u32 = 200;
/// Price of a retry, in the same unit.
const PRICE: u32 = 1_000;
/// Most that can be saved up: a hundred retries.
const MAX: u32 = 100 * PRICE;
/// Shortest time told, milliseconds.
const BACK_MIN: Millis = 1_000;
/// Longest time told, milliseconds.
const BACK_MAX: Millis = 30_000;

/// Bounds retries to a fifth of requests, so that they cannot amplify an overload.
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
    saved: u32,
}

impl RetryBudget {
    /// A budget with a hundred retries saved.
    pub fn new() -> Self {
        Self { saved: MAX }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARN).min(MAX);
    }

    /// Takes one retry, if one is saved.
    pub fn spend(&mut self) -> bool {
        match self.saved.checked_sub(PRICE) {
            Some(rest) => {
                self.saved = rest;
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

/// When a refused caller should come back: `least` or more, spread over as long again.
pub fn retry_after(least: Millis, rng: &mut impl Rng) -> Millis {
    let base = least.clamp(BACK_MIN, BACK_MAX);
    base + rng.random_range(0..=base)
}
