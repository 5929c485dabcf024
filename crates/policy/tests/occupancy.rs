//! What engines hold: reports that lag, and a load beyond the room that nodes share unevenly.

mod common;

use std::collections::VecDeque;

use heathpitch_policy::Occupancy;

/// Tokens of a request of the users' usual kind.
const REQUEST: u64 = 900;
/// Room of an engine beside its layers.
const ROOM: f64 = 150_000.0;
/// Share of the room up to which requests are let in.
const SHARE: f64 = 0.95;
/// Time for which a request stays, milliseconds.
const STAY: u64 = 3_000;
/// How late a report is, and the time between two that a node hears of.
const LATE: u64 = 200;
const HEAR: u64 = 650;

/// Most tokens held and the mean of the last ten seconds, under a load that asks for `times` the room.
fn play(shares: &[f64], times: f64, informed: bool) -> (f64, f64) {
    let nodes: Vec<Occupancy> = shares.iter().map(|_| Occupancy::default()).collect();
    let beside = nodes.len() as u32;
    let mut running: VecDeque<(u64, usize)> = VecDeque::new();
    let mut past: VecDeque<u64> = VecDeque::new();
    let mut credit: Vec<f64> = (0..nodes.len()).map(|n| n as f64 / nodes.len() as f64).collect();
    let (mut most, mut sum, mut count) = (0.0_f64, 0.0, 0.0);
    let rate = times * ROOM / REQUEST as f64 / STAY as f64;
    for now in 1..20_000_u64 {
        while running.front().is_some_and(|(until, _)| *until <= now) {
            if let Some((_, node)) = running.pop_front() {
                nodes[node].sub(REQUEST, now);
            }
        }
        past.push_back(running.len() as u64 * REQUEST);
        if past.len() as u64 > LATE {
            past.pop_front();
        }
        for (node, occupancy) in nodes.iter().enumerate() {
            if informed && now > LATE && (now + node as u64 * 97).is_multiple_of(HEAR) {
                occupancy.report(past[0], now - LATE);
            }
            credit[node] += rate * shares[node];
            while credit[node] >= 1.0 {
                credit[node] -= 1.0;
                let held = occupancy.held(beside, now);
                if held + REQUEST as f64 <= ROOM * SHARE {
                    occupancy.add(REQUEST, now);
                    running.push_back((now + STAY, node));
                }
            }
        }
        let held = running.len() as f64 * REQUEST as f64;
        most = most.max(held);
        if now >= 10_000 {
            sum += held;
            count += 1.0;
        }
    }
    (most / ROOM, sum / count / ROOM)
}

#[test]
fn a_full_engine_is_filled_and_not_overfilled_whoever_sends() {
    for shares in [vec![0.5, 0.5], vec![0.68, 0.32], vec![0.9, 0.1], vec![0.05; 20]] {
        for times in [1.3, 2.0, 2.6] {
            let (most, mean) = play(&shares, times, true);
            assert!(most <= 1.1, "{shares:?} x {times}: {most:.2} of the room at most");
            assert!(mean >= 0.8, "{shares:?} x {times}: {mean:.2} of the room on average");
        }
    }
}

#[test]
fn without_reports_unevenly_spread_callers_leave_room_unused() {
    let (_, mean) = play(&[0.9, 0.1], 1.3, false);
    let (_, told) = play(&[0.9, 0.1], 1.3, true);
    assert!(told > mean + 0.15, "{told:.2} with reports, {mean:.2} without");
}

#[test]
fn a_report_counts_from_when_it_was_true() {
    let engine = Occupancy::default();
    engine.add(10_000, 1_000);
    engine.add(5_000, 1_900);
    // The second request came after the moment that the report stands for.
    engine.report(40_000, 1_700);
    assert_eq!(engine.held(1, 2_000), 45_000.0);
    assert_eq!(engine.age(2_000), Some(300));
    engine.sub(10_000, 2_100);
    assert_eq!(engine.held(1, 2_200), 35_000.0);
}

#[test]
fn an_old_report_says_nothing() {
    let engine = Occupancy::default();
    engine.report(90_000, 1_000);
    engine.add(2_000, 9_000);
    assert_eq!(engine.age(9_000), None);
    assert_eq!(engine.held(3, 9_000), 6_000.0);
}
