//! Shares of client accounts: the part of each account's requests that is within its share.
//!
//! A planner divides what its failure domain admits by max-min fairness with equal weights. A node
//! that gets no shares from a planner divides what it admits itself.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};

use crate::{DemandCount, RecentDemand, fair_level};

/// Time for which shares are used, milliseconds: several polls, and about the window that they are
/// computed from.
const TTL_MS: Millis = 2_500;
/// Capacity that is divided, relative to what was admitted. With a factor of 1, accounts would stay
/// limited after capacity has grown, since what was admitted doesn't show it.
const HEADROOM: f64 = 1.1;
/// Standard deviations by which a count differs by chance. Without them, accounts of equal demand
/// are limited in turn, which leaves less room for the order of ranks.
const CHANCE: f64 = 2.0;

/// An account that asks for more than its share.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountShare {
    /// Service.
    pub service: Name,
    /// Digest of the client account.
    pub account: u64,
    /// Part of its requests that is within its share, 0 to 1.
    pub fraction: f64,
}

/// Shares at one time.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{AccountShares, DemandCount, DemandKey, RecentDemand};
///
/// let service: heathpitch_core::Name = "chat".parse()?;
/// let mut recent = RecentDemand::default();
/// for (account, asked, admitted) in [(1, 100, 30), (2, 10, 10)] {
///     let key = DemandKey { service: service.clone(), rank: 0, account };
///     recent.record(key, DemandCount { asked, admitted }, 0);
/// }
/// let shares = AccountShares::divide(&[&recent], 64, 100);
/// assert!((0.3..0.5).contains(&shares.fraction(&service, 1, 200)));
/// assert_eq!(shares.fraction(&service, 2, 200), 1.0);
/// assert_eq!(shares.fraction(&service, 1, 9_000), 1.0, "too old to be used");
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountShares {
    fractions: HashMap<Name, HashMap<u64, f64>>,
    at: Millis,
}

/// # Construction
impl AccountShares {
    /// Divides what was admitted according to the sum of these counts. Only the `most` accounts
    /// that exceed their share by the largest numbers of requests are limited; accounts of equal
    /// demand are not.
    pub fn divide(counts: &[&RecentDemand], most: usize, now: Millis) -> Self {
        let mut sums = HashMap::new();
        counts.iter().for_each(|c| c.add_to(&mut sums, now));
        let mut excess: Vec<(f64, AccountShare)> = Vec::new();
        for (service, accounts) in &mut sums {
            // Calls without an account take no part.
            accounts.remove(&0);
            excess.extend(divide_service(service, accounts));
        }
        // Without a second key, the order of hash maps would choose among accounts of equal excess.
        excess.sort_unstable_by(|(a, x), (b, y)| {
            let by_name = || (&x.service, x.account).cmp(&(&y.service, y.account));
            b.total_cmp(a).then_with(by_name)
        });
        excess.truncate(most);
        Self::received(excess.into_iter().map(|(_, share)| share), now)
    }

    /// Shares that were computed at `at`; a fraction that limits nothing is left out.
    pub fn received(shares: impl IntoIterator<Item = AccountShare>, at: Millis) -> Self {
        let mut fractions: HashMap<Name, HashMap<u64, f64>> = HashMap::new();
        for share in shares.into_iter().filter(|s| (0.0..1.0).contains(&s.fraction)) {
            fractions.entry(share.service).or_default().insert(share.account, share.fraction);
        }
        Self { fractions, at }
    }
}

/// Accounts of a service that ask for more than their share, and by how many requests.
fn divide_service(
    service: &Name,
    accounts: &HashMap<u64, DemandCount>,
) -> Vec<(f64, AccountShare)> {
    let admitted: f64 = accounts.values().map(|c| f64::from(c.admitted)).sum();
    let mut demands: Vec<u32> = accounts.values().map(|c| c.asked).collect();
    let Some(level) = fair_level(&mut demands, admitted * HEADROOM) else { return Vec::new() };
    // If everybody asks for more, nobody asks for more than the others up to the smallest demand.
    let level = level.max(accounts.values().map(|c| f64::from(c.asked)).fold(f64::MAX, f64::min));
    let level = level + CHANCE * level.sqrt();
    let greedy = accounts.iter().filter(|(_, c)| f64::from(c.asked) > level);
    let share = |(account, count): (&u64, &DemandCount)| {
        let asked = f64::from(count.asked);
        let (service, account) = (service.clone(), *account);
        (asked - level, AccountShare { service, account, fraction: level / asked })
    };
    greedy.map(share).collect()
}

/// # Reading
impl AccountShares {
    /// Part of an account's requests that is within its share at `now`.
    pub fn fraction(&self, service: &Name, account: u64, now: Millis) -> f64 {
        match self.fractions.get(service) {
            Some(accounts) if self.is_current(now) => accounts.get(&account).map_or(1.0, |f| *f),
            _ => 1.0,
        }
    }

    /// Whether they may still be used.
    pub fn is_current(&self, now: Millis) -> bool {
        now < self.at + TTL_MS
    }

    /// Time since they were computed, milliseconds.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.at)
    }

    /// Accounts that they limit.
    pub fn limited(&self) -> impl Iterator<Item = AccountShare> {
        self.fractions.iter().flat_map(|(service, accounts)| {
            accounts.iter().map(|(account, fraction)| AccountShare {
                service: service.clone(),
                account: *account,
                fraction: *fraction,
            })
        })
    }
}
