//! Limits per client account on one node: its share of the fleet's.

use std::collections::HashMap;

use heathpitch_core::{Account, Millis, Name};

use crate::Bucket;

/// Seconds of the rate that may come at once.
const BURST: f64 = 2.0;
/// Accounts remembered; idle ones are dropped beyond it.
const MAX_ACCOUNTS: usize = 20_000;
/// Time told to an account that has too many streams open, milliseconds.
const STREAM_BACK: Millis = 1_000;

/// The account is over a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LimitExceeded {
    /// Too many requests a second.
    #[error("the account's request rate is used up")]
    Rate {
        /// When one more is due, milliseconds.
        retry_after: Millis,
    },
    /// Too many requests at once.
    #[error("the account has too many requests open")]
    Streams {
        /// When to come back, milliseconds.
        retry_after: Millis,
    },
}

#[derive(Clone, Debug)]
struct Use {
    bucket: Option<Bucket>,
    open: u32,
    used: Millis,
}

/// Requests of each account, by rate and by number open.
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
    uses: HashMap<Name, Use>,
}

impl AccountLimiter {
    /// A limiter that has counted nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request in, holding the account to `share` (0 to 1) of its fleet-wide limits.
    ///
    /// # Errors
    ///
    /// [`LimitExceeded`] with the time to come back.
    pub fn admit(
        &mut self,
        account: &Account,
        share: f64,
        now: Millis,
    ) -> Result<(), LimitExceeded> {
        self.trim(now);
        let used = self.uses.entry(account.name.clone()).or_insert(Use {
            bucket: None,
            open: 0,
            used: now,
        });
        used.used = now;
        let streams = account.streams.map(|s| (f64::from(s) * share).ceil().max(1.0) as u32);
        match streams {
            Some(s) if used.open >= s => {
                return Err(LimitExceeded::Streams { retry_after: STREAM_BACK });
            }
            _ => {}
        }
        if let Some(rate) = account.rate.map(|r| r * share) {
            let burst = (rate * BURST).max(1.0);
            let bucket = used.bucket.get_or_insert_with(|| Bucket::new(rate, burst, now));
            bucket.set(rate, burst, now);
            bucket.take(now).map_err(|retry_after| LimitExceeded::Rate { retry_after })?;
        }
        used.open += 1;
        Ok(())
    }

    /// Counts a request out.
    pub fn release(&mut self, account: &Name) {
        if let Some(used) = self.uses.get_mut(account) {
            used.open = used.open.saturating_sub(1);
        }
    }

    fn trim(&mut self, now: Millis) {
        if self.uses.len() >= MAX_ACCOUNTS {
            self.uses.retain(|_, u| u.open > 0 || now.saturating_sub(u.used) < 60_000);
        }
    }
}
