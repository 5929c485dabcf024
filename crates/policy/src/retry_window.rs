//! Retry limit over a sliding window.

use std::collections::VecDeque;

use heathpitch_core::Millis;

/// Buckets that a window is divided into.
const BUCKETS: u64 = 40;
/// Parts of a window for which a call earns retries. A process that starts earns again what an earlier one has
/// spent of calls from before a window, but of no more than such a part.
const EARNING_PARTS: u64 = 10;
/// Fraction of the agreed ratio that is used, because calls and retries reach an engine later than
/// they are counted here.
const RATIO_PART: f64 = 0.88;

/// Retry limit agreed for a fleet, or a share of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryShare {
    /// Retries allowed per call.
    pub ratio: f64,
    /// Retries allowed beyond that, in any window.
    pub slack: f64,
    /// Length of a window.
    pub window: Millis,
}

impl RetryShare {
    /// Share of one of `domains` failure domains, without what calls earn.
    ///
    /// The number of domains is configured, while the number of nodes is known only after a start, and a node that
    /// assumes too few takes more than its share.
    pub fn of_domain(&self, domains: usize) -> Self {
        Self { slack: self.slack / domains.max(1) as f64, ..*self }
    }

    /// Share of one node that needs no other node: what the calls that it receives itself earn.
    pub fn of_node(&self) -> Self {
        let window = self.window / EARNING_PARTS;
        Self { ratio: self.ratio * RATIO_PART, slack: 0.0, window }
    }

    /// Share that calls earn which nodes reported when they were half as old as they may be.
    pub(crate) fn of_reported_calls(&self) -> Self {
        let node = self.of_node();
        Self { window: node.window / 2, ..node }
    }

    /// Length of a bucket.
    pub(crate) fn bucket(&self) -> Millis {
        (self.window / BUCKETS).max(1)
    }
}

/// Limits retries to a share in every window.
///
/// Calls are counted over one bucket less than a window, and retries over one bucket more, so that
/// no window of the agreed length contains more retries, wherever it starts.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{RetryShare, RetryWindow};
///
/// let share = RetryShare { ratio: 0.5, slack: 1.0, window: 1_000 };
/// let mut window = RetryWindow::default();
/// (0..4).for_each(|_| window.call(&share, 0));
/// let sent = (0..9).filter(|_| window.spend(&share, 10)).count();
/// assert_eq!(sent, 3);
/// assert!(window.spend(&share, 2_000));
/// assert!(!window.spend(&share, 2_000));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RetryWindow {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Bucket {
    number: u64,
    calls: u32,
    spent: u32,
}

/// # Limit
impl RetryWindow {
    /// Counts a call.
    pub fn call(&mut self, share: &RetryShare, now: Millis) {
        self.add_calls(share, 1, now);
    }

    /// Takes a retry, if the share has one left.
    pub fn spend(&mut self, share: &RetryShare, now: Millis) -> bool {
        let number = self.bucket(share, now).number;
        let calls = self.calls_since((number + 2).saturating_sub(BUCKETS));
        let most = share.slack + share.ratio * f64::from(calls);
        let left = f64::from(self.spent() + 1) <= most;
        if left {
            self.bucket(share, now).spent += 1;
        }
        left
    }

    pub(crate) fn add_calls(&mut self, share: &RetryShare, calls: u32, now: Millis) {
        let bucket = self.bucket(share, now);
        bucket.calls = bucket.calls.saturating_add(calls);
    }

    /// Calls of the buckets from `number` on.
    fn calls_since(&self, number: u64) -> u32 {
        let young = self.buckets.iter().filter(|p| p.number >= number);
        young.map(|p| p.calls).fold(0, u32::saturating_add)
    }

    fn spent(&self) -> u32 {
        self.buckets.iter().map(|p| p.spent).sum()
    }

    /// Current bucket; drops buckets older than a window and one bucket.
    fn bucket(&mut self, share: &RetryShare, now: Millis) -> &mut Bucket {
        let number = now / share.bucket();
        self.buckets.retain(|p| p.number + BUCKETS >= number);
        if self.buckets.back().is_none_or(|p| p.number < number) {
            self.buckets.push_back(Bucket { number, calls: 0, spent: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

/// # Report
impl RetryWindow {
    /// Calls and retries counted lately.
    pub fn counts(&self) -> (u32, u32) {
        (self.calls_since(0), self.spent())
    }

    /// Takes out recent calls whose retries were not spent here, so that an issuer can count them: a node with few
    /// calls never has enough for a retry of its own.
    pub fn report(&mut self, share: &RetryShare, now: Millis) -> u32 {
        let number = self.bucket(share, now).number;
        let used = (f64::from(self.spent()) / share.ratio).ceil();
        let unused = (f64::from(self.calls_since(0)) - used).max(0.0) as u32;
        let first = (number + 1).saturating_sub(BUCKETS / 2);
        let mut left = unused;
        for bucket in self.buckets.iter_mut().filter(|p| p.number >= first) {
            let taken = bucket.calls.min(left);
            bucket.calls -= taken;
            left -= taken;
        }
        unused - left
    }
}
