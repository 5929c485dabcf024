//! Ranks of calls whose account and route both state one.
//!
//! The rank of the account replaced that of the route. As the platform gives every account one, calls
//! of all routes had the same rank, and engines did not start urgent ones first.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails its test")]

use std::collections::HashMap;
use std::sync::Arc;

use heathpitch_core::{
    CallKind, CallRoute, CallerLimits, Catalog, KeyHolder, Name, Revision, Target,
};

fn route(name: &str, rank: u8, public: bool) -> CallRoute {
    CallRoute {
        name: name.parse().unwrap(),
        host: "host".into(),
        prefix: format!("/{name}/").into(),
        targets: vec![Target { service: "llm".parse().unwrap(), weight: 1 }],
        kind: CallKind::Stream { resumable: true },
        timeout_ms: 20_000,
        latency_target_ms: 500,
        max_pause_ms: Some(250),
        attempts: 2,
        rank,
        public,
    }
}

/// Ranks by account and route of a configuration with these ranks.
fn ranks(accounts: &[Option<u8>], routes: &[u8]) -> Vec<Vec<u8>> {
    let service: Name = "llm".parse().unwrap();
    let holder = |(i, rank): (usize, &Option<u8>)| {
        (
            Arc::from(format!("k{i}")),
            KeyHolder { account: format!("a{i}").parse().unwrap(), rank: *rank },
        )
    };
    let keys: HashMap<Arc<str>, KeyHolder> = accounts.iter().enumerate().map(holder).collect();
    let routes: Vec<CallRoute> =
        routes.iter().enumerate().map(|(i, r)| route(&format!("r{i}"), *r, false)).collect();
    let limits = CallerLimits::default();
    let catalog = Catalog::new(Revision(1), 1, limits, vec![], routes.clone(), Some(keys.clone()));
    let of_account = |i: usize| {
        let holder = keys.get(&*format!("k{i}"));
        routes.iter().map(|r| catalog.rank(&service, r, holder)).collect()
    };
    (0..accounts.len()).map(of_account).collect()
}

#[test]
fn routes_decide_among_accounts_of_one_rank() {
    assert_eq!(ranks(&[Some(1), Some(1)], &[0, 1, 2]), [[0, 1, 2], [0, 1, 2]]);
}

#[test]
fn accounts_are_compared_first() {
    assert_eq!(ranks(&[Some(3), Some(0)], &[0, 2]), [[2, 3], [0, 1]]);
}

#[test]
fn a_single_rank_stays_as_it_is() {
    assert_eq!(ranks(&[Some(1), Some(1)], &[2, 2]), [[1, 1], [1, 1]]);
    assert_eq!(ranks(&[None], &[2]), [[2]]);
}

#[test]
fn a_call_without_an_account_has_the_rank_of_its_route() {
    let routes = vec![route("a", 0, true), route("b", 2, true)];
    let limits = CallerLimits::default();
    let catalog = Catalog::new(Revision(1), 1, limits, vec![], routes.clone(), None);
    let service: Name = "llm".parse().unwrap();
    assert_eq!(routes.iter().map(|r| catalog.rank(&service, r, None)).collect::<Vec<_>>(), [0, 1]);
}
