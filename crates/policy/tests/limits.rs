//! Limits of accounts and of a node, retry budgets and retry times.

#![allow(clippy::unwrap_used, reason = "what fails here fails its test")]

mod common;

use std::collections::BTreeSet;

use common::name;
use heathpitch_core::{Account, Priority};
use heathpitch_policy::{
    AccountLimiter, AdmissionControl, LimitExceeded, RetryBudget, Shed, retry_after,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn account(text: &str, weight: u32) -> Account {
    Account { weight, ..Account::new(name(text)) }
}

#[test]
fn a_large_account_cannot_starve_a_small_one() {
    let (large, small) = (account("large", 1), account("small", 1));
    let mut admission = AdmissionControl::new();
    admission.admit(&small, Priority::Normal, 100).unwrap();
    while admission.admit(&large, Priority::Normal, 100).is_ok() {}
    let free = (0..).take_while(|_| admission.admit(&small, Priority::Normal, 100).is_ok()).count();
    assert!(free >= 30, "the small account got {free} slots");
}

#[test]
fn shares_follow_weights_under_load() {
    let (heavy, light) = (account("heavy", 3), account("light", 1));
    let mut admission = AdmissionControl::new();
    let (mut h, mut l) = (0, 0);
    for _ in 0..200 {
        h += u32::from(admission.admit(&heavy, Priority::High, 80).is_ok());
        l += u32::from(admission.admit(&light, Priority::High, 80).is_ok());
    }
    assert_eq!((h, l), (60, 20));
}

#[test]
fn lowest_priority_is_shed_first() {
    let desk = account("desk", 1);
    let mut admission = AdmissionControl::new();
    let mut fill = |at: Priority| {
        let mut n = 0;
        while admission.admit(&desk, at, 100).is_ok() {
            n += 1;
        }
        n
    };
    assert_eq!([fill(Priority::Low), fill(Priority::Normal), fill(Priority::High)], [70, 20, 10]);
    assert_eq!(admission.admit(&desk, Priority::High, 100), Err(Shed::Full));
}

#[test]
fn rate_limits_hold_and_give_a_retry_time() {
    let mut desk = account("desk", 1);
    desk.rate = Some(10.0);
    let mut limiter = AccountLimiter::new();
    let taken = (0..100).filter(|i| limiter.admit(&desk, 0.5, i * 10).is_ok()).count();
    assert_eq!(taken, 10 + 4);
    assert_eq!(limiter.admit(&desk, 0.5, 1_000), Ok(()));
    assert_eq!(limiter.admit(&desk, 0.5, 1_000), Err(LimitExceeded::Rate { retry_after: 200 }));
}

#[test]
fn retries_stay_within_their_budget_however_many_fail() {
    let mut budget = RetryBudget::new();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn();
        while budget.spend() {
            retries += 1;
        }
    }
    assert!((2_000..=100 + 10_000 / 5).contains(&retries), "{retries}");
}

#[test]
fn retry_times_are_spread_and_bounded() {
    let mut rng = SmallRng::seed_from_u64(7);
    let times: BTreeSet<u64> = (0..1_000).map(|_| retry_after(1_000, &mut rng)).collect();
    assert!(times.len() > 500);
    assert!(times.iter().all(|t| (1_000..=2_000).contains(t)));
    assert!(retry_after(10_000_000, &mut rng) <= 60_000);
}
