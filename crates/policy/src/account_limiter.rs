//! Limits per client account on one node, as its share of the fleet-wide limits.

use std::collections::HashMap;

use heathpitch_core::{Account, Millis, Name};

use crate::Bucket;

/// Seconds of the rate that may arrive in a burst.
const BURST_S: f64 = 2.0;
/// Accounts tracked before idle ones are evicted.
const MAX_ACCOUNTS: usize = 20_000;
/// Retry time given to an account with too many open streams.
const RETRY_MS: Millis = 1_000;

/// An account exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitExceeded {
    /// Too many requests per second.
    #[error("the account exceeds its request rate")]
    Rate {
        /// Time until one more request is allowed, milliseconds.
        retry_after: Millis,
    },
    /// Too many concurrent requests.
    #[error("the account has too many open requests")]
    Streams {
        /// Time after which to retry, milliseconds.
        retry_after: Millis,
    },
}

#[derive(Clone, Debug)]
struct Usage {
    bucket: Option<Bucket>,
    open: u32,
    last_used: Millis,
}

/// Limits the request rate and the open requests of each account.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Account;
/// use heathpitch_policy::{AccountLimiter, LimitExceeded};
///
/// let mut account = Account::new("desk".parse()?);
/// account.streams = Some(2);
/// let mut limiter = AccountLimiter::new();
/// assert!(limiter.admit(&account, 0.5, 0).is_ok());
/// assert_eq!(limiter.admit(&account, 0.5, 0), Err(LimitExceeded::Streams { retry_after: 1_000 }));
/// limiter.release(&account.name);
/// assert!(limiter.admit(&account, 0.5, 0).is_ok());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct AccountLimiter {
    usage: HashMap<Name, Usage>,
}

impl AccountLimiter {
    /// Without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Admits a request within `share` (0 to 1) of the account's fleet-wide limits.
    ///
    /// # Errors
    ///
    /// [`LimitExceeded`] with the time after which to retry.
    pub fn admit(
        &mut self,
        account: &Account,
        share: f64,
        now: Millis,
    ) -> Result<(), LimitExceeded> {
        self.evict_idle(now);
        let u = self.usage.entry(account.name.clone()).or_insert(Usage {
            bucket: None,
            open: 0,
            last_used: now,
        });
        u.last_used = now;
        let streams = account.streams.map(|s| (f64::from(s) * share).ceil().max(1.0) as u32);
        match streams {
            Some(s) if u.open >= s => return Err(LimitExceeded::Streams { retry_after: RETRY_MS }),
            _ => {}
        }
        if let Some(rate) = account.rate.map(|r| r * share) {
            let burst = (rate * BURST_S).max(1.0);
            let bucket = u.bucket.get_or_insert_with(|| Bucket::new(rate, burst, now));
            bucket.set(rate, burst, now);
            bucket.take(now).map_err(|retry_after| LimitExceeded::Rate { retry_after })?;
        }
        u.open += 1;
        Ok(())
    }

    /// Releases an admitted request.
    pub fn release(&mut self, account: &Name) {
        if let Some(u) = self.usage.get_mut(account) {
            u.open = u.open.saturating_sub(1);
        }
    }

    fn evict_idle(&mut self, now: Millis) {
        if self.usage.len() >= MAX_ACCOUNTS {
            self.usage.retain(|_, u| u.open > 0 || now.saturating_sub(u.last_used) < 60_000);
        }
    }
}
