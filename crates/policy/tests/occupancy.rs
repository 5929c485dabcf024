//! Estimates of engine memory: delayed reports, and overload spread unevenly over nodes.

mod common;

use std::collections::VecDeque;

use heathpitch_policy::Occupancy;

/// Tokens of a typical request.
const REQUEST_TOKENS: u64 = 900;
/// Tokens that fit into an engine in addition to its layers.
const CAPACITY_TOKENS: f64 = 150_000.0;
/// Fraction of the capacity up to which requests are admitted.
const ADMIT_SHARE: f64 = 0.95;
/// Duration of a request, milliseconds.
const DURATION_MS: u64 = 3_000;
/// Delay of a report, and the interval between reports to a node, milliseconds.
const REPORT_DELAY_MS: u64 = 200;
const REPORT_INTERVAL_MS: u64 = 650;

/// Peak occupancy, and mean occupancy over the last ten seconds, under a load of `times` the
/// capacity.
fn simulate(shares: &[f64], times: f64, reports: bool) -> (f64, f64) {
    let nodes: Vec<Occupancy> = shares.iter().map(|_| Occupancy::default()).collect();
    let node_count = nodes.len() as u32;
    let mut running: VecDeque<(u64, usize)> = VecDeque::new();
    let mut past: VecDeque<u64> = VecDeque::new();
    let mut credit: Vec<f64> = (0..nodes.len()).map(|n| n as f64 / nodes.len() as f64).collect();
    let (mut most, mut sum, mut count) = (0.0_f64, 0.0, 0.0);
    let rate = times * CAPACITY_TOKENS / REQUEST_TOKENS as f64 / DURATION_MS as f64;
    for now in 1..20_000_u64 {
        while running.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, node)) = running.pop_front() {
                nodes[node].sub(REQUEST_TOKENS, now);
            }
        }
        past.push_back(running.len() as u64 * REQUEST_TOKENS);
        if past.len() as u64 > REPORT_DELAY_MS {
            past.pop_front();
        }
        for (node, occupancy) in nodes.iter().enumerate() {
            if reports
                && now > REPORT_DELAY_MS
                && (now + node as u64 * 97).is_multiple_of(REPORT_INTERVAL_MS)
            {
                occupancy.report(past[0], now - REPORT_DELAY_MS);
            }
            credit[node] += rate * shares[node];
            while credit[node] >= 1.0 {
                credit[node] -= 1.0;
                let held = occupancy.held(node_count, now);
                if held + REQUEST_TOKENS as f64 <= CAPACITY_TOKENS * ADMIT_SHARE {
                    occupancy.add(REQUEST_TOKENS, now);
                    running.push_back((now + DURATION_MS, node));
                }
            }
        }
        let held = running.len() as f64 * REQUEST_TOKENS as f64;
        most = most.max(held);
        if now >= 10_000 {
            sum += held;
            count += 1.0;
        }
    }
    (most / CAPACITY_TOKENS, sum / count / CAPACITY_TOKENS)
}

#[test]
fn an_engine_is_filled_but_not_overfilled_however_load_is_spread() {
    for shares in [vec![0.5, 0.5], vec![0.68, 0.32], vec![0.9, 0.1], vec![0.05; 20]] {
        for times in [1.3, 2.0, 2.6] {
            let (most, mean) = simulate(&shares, times, true);
            assert!(most <= 1.1, "{shares:?} x {times}: {most:.2} of the capacity at most");
            assert!(mean >= 0.8, "{shares:?} x {times}: {mean:.2} of the capacity on average");
        }
    }
}

#[test]
fn without_reports_unevenly_spread_clients_leave_capacity_unused() {
    let (_, mean) = simulate(&[0.9, 0.1], 1.3, false);
    let (_, reported) = simulate(&[0.9, 0.1], 1.3, true);
    assert!(reported > mean + 0.15, "{reported:.2} with reports, {mean:.2} without");
}

#[test]
fn a_report_counts_from_the_time_it_describes() {
    let engine = Occupancy::default();
    engine.add(10_000, 1_000);
    engine.add(5_000, 1_900);
    // The second request started after the time that the report describes.
    engine.report(40_000, 1_700);
    assert_eq!(engine.held(1, 2_000), 45_000.0);
    assert_eq!(engine.age(2_000), Some(300));
    engine.sub(10_000, 2_100);
    assert_eq!(engine.held(1, 2_200), 35_000.0);
}

#[test]
fn an_old_report_is_ignored() {
    let engine = Occupancy::default();
    engine.report(90_000, 1_000);
    engine.add(2_000, 9_000);
    assert_eq!(engine.age(9_000), None);
    assert_eq!(engine.held(3, 9_000), 6_000.0);
}
