//! Counts that nodes send to a planner, and shares computed from them: old, repeated, oversized and
//! inconsistent ones, and bounds on state.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails its test")]

use std::collections::BTreeSet;
use std::time::Instant;

use heathpitch_core::Name;
use heathpitch_policy::{
    AccountShare, AccountShares, AnsweredPolls, DemandCount, DemandError, DemandKey, DomainDemand,
    MAX_DEMAND_ENTRIES, Pressure, RecentDemand, SharingQuery,
};
use proptest::prelude::*;

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn key(account: u64) -> DemandKey {
    DemandKey { service: name("chat"), rank: 0, account }
}

fn count(asked: u32, admitted: u32) -> DemandCount {
    DemandCount { asked, admitted }
}

/// Guards against counts of a long outage that reach the planner as if they were recent.
#[test]
fn old_counts_are_neither_sent_nor_used() {
    let mut recent = RecentDemand::default();
    recent.record(key(1), count(100, 10), 0);
    recent.record(key(2), count(5, 5), 1_900);
    assert_eq!(recent.since(0, 64, 2_100), [(key(2), count(5, 5))]);
    let shares = AccountShares::divide(&[&recent], 64, 2_100);
    assert_eq!(shares.limited().count(), 0);
}

/// Guards against shares of a lost planner that go on limiting accounts.
#[test]
fn old_shares_limit_nobody() {
    let share = AccountShare { service: name("chat"), account: 1, fraction: 0.2 };
    let shares = AccountShares::received([share], 1_000);
    assert_eq!(shares.fraction(&name("chat"), 1, 3_400), 0.2);
    assert_eq!(shares.fraction(&name("chat"), 1, 3_500), 1.0);
}

/// Guards against accounts that are limited in turn, without a change of demand, since more accounts
/// exceed their share by the same number than are limited at a time.
#[test]
fn the_same_counts_limit_the_same_accounts() {
    let mut recent = RecentDemand::default();
    recent.record(key(100), count(1, 1), 0);
    (1..=40).for_each(|account| recent.record(key(account), count(50, 10), 0));
    let limited = || {
        let shares = AccountShares::divide(&[&recent], 16, 100);
        shares.limited().map(|s| s.account).collect::<BTreeSet<_>>()
    };
    let first = limited();
    assert_eq!(first.len(), 16);
    assert!((0..8).all(|_| limited() == first));
}

/// Guards against shares that are no numbers, or that would raise a limit.
#[test]
fn invalid_shares_limit_nobody() {
    for fraction in [f64::NAN, -0.5, 1.0, 7.0, f64::INFINITY] {
        let share = AccountShare { service: name("chat"), account: 1, fraction };
        assert_eq!(AccountShares::received([share], 0).limited().count(), 0, "{fraction}");
    }
}

/// Guards against doubled or invented demand, which would take capacity from the other accounts.
#[test]
fn repeated_oversized_and_foreign_counts_are_dropped() {
    let (mut demand, node) = (DomainDemand::default(), name("n2"));
    let one = vec![(key(1), count(4, 2))];
    let unknown = demand.receive(&node, false, one.clone(), 0);
    assert_eq!(unknown, Err(DemandError::UnknownNode));
    assert_eq!(demand.receive(&node, true, one.clone(), 400), Ok(()));
    assert_eq!(demand.receive(&node, true, one.clone(), 700), Err(DemandError::Repeated));
    assert_eq!(demand.receive(&name("n3"), true, one.clone(), 710), Ok(()), "another node");
    assert_eq!(demand.receive(&node, true, one, 800), Ok(()), "the next poll");
    let many: Vec<_> = (0..=MAX_DEMAND_ENTRIES as u64).map(|a| (key(a), count(1, 1))).collect();
    assert_eq!(demand.receive(&node, true, many, 1_200), Err(DemandError::TooManyEntries(65)));
    let huge = vec![(key(1), count(u32::MAX, 0)), (key(2), count(u32::MAX, 0))];
    let error = DemandError::TooManyStreams(2 * u64::from(u32::MAX));
    assert_eq!(demand.receive(&node, true, huge, 1_600), Err(error));
    let wrong = vec![(key(1), count(1, 2))];
    assert_eq!(demand.receive(&node, true, wrong, 2_000), Err(DemandError::Inconsistent));
    assert_eq!(demand.recent().since(0, 64, 2_000), [(key(1), count(12, 6))]);
}

/// Guards against counts that a node sends twice, or never, although its polls are answered.
#[test]
fn every_count_is_sent_once() {
    let (mut own, mut sent, mut answered) = (RecentDemand::default(), 0, 0);
    for now in (0..4_000).step_by(10) {
        own.record(key(now % 7), count(1, 1), now);
        if now % 400 == 0 {
            let counts = own.since(answered, MAX_DEMAND_ENTRIES, now);
            sent += counts.iter().map(|(_, c)| c.asked).sum::<u32>();
            answered = own.close_interval();
        }
    }
    let rest: u32 = own.since(answered, 64, 4_000).iter().map(|(_, c)| c.asked).sum();
    assert_eq!(sent + rest, 400);
}

/// Guards against counts that are sent again and again to nodes that are polled in turn, as a planner
/// and a standby are while neither has fresh data. Each of them would count every stream several
/// times.
#[test]
fn two_nodes_that_are_polled_in_turn_get_every_count_once() {
    let (mut own, mut answered) = (RecentDemand::default(), AnsweredPolls::default());
    let nodes = [name("n1"), name("n2")];
    let mut sent = [0, 0];
    for now in (0..4_000).step_by(10) {
        own.record(key(1), count(1, 1), now);
        if now % 100 == 0 {
            let turn = (now / 100 % 2) as usize;
            let counts = own.since(answered.position(&nodes[turn]), MAX_DEMAND_ENTRIES, now);
            sent[turn] += counts.iter().map(|(_, c)| c.asked).sum::<u32>();
            answered.record(&nodes[turn], own.close_interval(), now);
        }
    }
    assert_eq!(sent, [381, 391], "streams up to each node's last poll");
}

/// Guards against state that grows with the number of accounts: 5 500 ask at 100 000 a second.
#[test]
fn entries_are_bounded() {
    let mut recent = RecentDemand::default();
    for n in 0..200_000_u64 {
        recent.record(key(n % 5_500 + 1), count(1, 1), n / 100);
        assert!(recent.entries() <= 8_192);
    }
    assert!(!recent.since(0, 64, 2_000).is_empty());
}

/// Prints the time of a decision with shares of 5 500 accounts and of their computation.
#[test]
#[ignore = "a measurement, to be run with --release"]
fn decision_time() {
    const ROUNDS: u32 = 1_000_000;
    let mut recent = RecentDemand::default();
    (1..=5_500).for_each(|a| recent.record(key(a), count(1 + a as u32 % 50, 1), 0));
    let start = Instant::now();
    let shares = AccountShares::divide(&[&recent], 5_500, 0);
    let (elapsed, limited) = (start.elapsed(), shares.limited().count());
    println!("division: {elapsed:?}, {limited} accounts limited");
    let (service, start, mut admitted) = (name("chat"), Instant::now(), 0);
    for n in 0..ROUNDS {
        let fraction = shares.fraction(&service, u64::from(n) % 5_500 + 1, 100);
        let level = f64::from(n % 128) / 100.0;
        let pressure = Pressure { memory: level, start: 0.2 };
        let query =
            SharingQuery { pressure, urgent_share: 0.5, fraction, ..SharingQuery::default() };
        admitted += u32::from(query.admit(f64::from(n % 1_000) / 1e3).is_ok());
    }
    println!("decision: {:?} ({admitted} of {ROUNDS} admitted)", start.elapsed() / ROUNDS);
}

prop_compose! {
    fn query()(
        memory in 0.0..2.0_f64,
        start in 0.0..2.0_f64,
        urgent_share in 0.0..=1.0_f64,
        fraction in 0.0..=1.0_f64,
        age_ms in 0..4_000_u64,
        due in 0.0..0.5_f64,
    ) -> SharingQuery {
        let pressure = Pressure { memory, start };
        SharingQuery { pressure, urgent_share, fraction, age_ms, started: false, due }
    }
}

proptest! {
    #[test]
    fn nobody_is_starved_and_nothing_is_admitted_beyond_its_limit(q in query(), draw in 0.0..1.0_f64) {
        let urgent = SharingQuery { urgent_share: 0.0, fraction: 1.0, ..q }.probability();
        let p = q.probability();
        prop_assert!(p >= urgent / 4.0 - 1e-9 && p <= urgent + 1e-9, "{p} of {urgent}");
        prop_assert_eq!(q.admit(draw).is_ok(), draw < p);
        let started = SharingQuery { started: true, ..q };
        prop_assert_eq!(started.admit(draw), Ok(()));
        let Pressure { memory, start } = q.pressure;
        let headroom = q.headroom();
        if headroom > 0.0 && (memory > 1.1 - headroom / 3.0 || start > 1.5 - headroom) {
            prop_assert!(p <= 0.25_f64.max(0.1 / urgent) * urgent + 1e-9, "{p} of {urgent}");
        }
        if memory > 1.1 || start > 1.5 {
            prop_assert!(p <= 0.1 + 1e-9, "{p}");
        }
        if memory + 0.45 <= 1.0 - headroom && start + 0.45 <= 0.7 - headroom {
            prop_assert!(p == 1.0, "{p} below the limits");
        }
        let fuller = Pressure { memory: q.pressure.memory + 0.1, ..q.pressure };
        let fuller = SharingQuery { pressure: fuller, ..q }.probability();
        prop_assert!(fuller <= p + 1e-9, "{fuller} after {p}");
    }

    #[test]
    fn shares_add_up_to_what_is_admitted(
        nodes in prop::sample::select(vec![26_usize, 87, 410]),
        counts in prop::collection::vec((1..200_u64, 1..40_u32, 0.0..=1.0_f64), 1..400),
    ) {
        let mut demand = DomainDemand::default();
        let (mut asked, mut admitted) = (std::collections::HashMap::new(), 0.0);
        for (n, (account, many, part)) in counts.iter().enumerate() {
            let few = (f64::from(*many) * part) as u32;
            let node = name(&format!("n{}", n % nodes));
            let now = (n / nodes) as u64 * 400;
            demand.receive(&node, true, vec![(key(*account), count(*many, few))], now).unwrap();
        }
        for (key, count) in demand.recent().since(0, usize::MAX, 1_500) {
            *asked.entry(key.account).or_insert(0.0) += f64::from(count.asked);
            admitted += f64::from(count.admitted);
        }
        prop_assert!(demand.recent().entries() <= 8_192);
        let shares = AccountShares::divide(&[demand.recent()], usize::MAX, 1_500);
        let fitting = |level: f64| asked.values().map(|n: &f64| n.min(level)).sum::<f64>();
        let (mut fair, most) = (asked.values().copied().fold(0.0, f64::max), admitted * 1.1);
        if fitting(fair) > most {
            let mut low = 0.0;
            for _ in 0..60 {
                let level = (low + fair) / 2.0;
                if fitting(level) > most { fair = level } else { low = level }
            }
        }
        let level = fair.max(asked.values().copied().fold(f64::MAX, f64::min));
        for (account, n) in &asked {
            let share = n * shares.fraction(&name("chat"), *account, 1_500);
            let expected = n.min(level + 2.0 * level.sqrt());
            prop_assert!((share - expected).abs() < 1e-6, "{account}: {share} of {n}, {expected}");
        }
        prop_assert!(AccountShares::divide(&[demand.recent()], 64, 1_500).limited().count() <= 64);
    }
}
