//! Retry times of rejected clients: spread over the capacity to come, and within the client's time.

use heathpitch_policy::RetrySchedule;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time that a client has left, milliseconds.
const LEFT_MS: u64 = 20_000;

/// A burst of 1.7 times the usual load of 20 a second, for three seconds, at a node with capacity
/// for 1.2 times that load.
#[test]
fn clients_rejected_in_a_burst_do_not_retry_together() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut schedule = RetrySchedule::default();
    (0..100).for_each(|i| schedule.admit(i * 50));
    let mut retries = Vec::new();
    for now in (5_000..8_000).step_by(50) {
        match now % 340 < 240 {
            true => schedule.admit(now),
            false => retries.push(now + schedule.refuse(LEFT_MS, now, &mut rng)),
        }
    }
    retries.sort_unstable();
    assert!(retries.len() > 12, "{}", retries.len());
    let most = retries.windows(8).map(|w| w[7] - w[0]).min().unwrap_or(0);
    assert!(most >= 1_000, "eight retry within {most} ms: {retries:?}");
    let early = retries.iter().filter(|at| **at < 7_500).count();
    assert!(early * 4 <= retries.len(), "{early} of {} retry into the burst", retries.len());
}

#[test]
fn retry_times_fit_into_the_time_left() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut schedule = RetrySchedule::default();
    let delays: Vec<u64> = (0..500).map(|i| schedule.refuse(LEFT_MS, i, &mut rng)).collect();
    assert!(delays.iter().all(|t| (2_000..=LEFT_MS * 3 / 10).contains(t)), "{delays:?}");
    let short = schedule.refuse(3_000, 600, &mut rng);
    assert!(short <= 900, "{short} of 3000 ms left");
}

#[test]
fn a_single_rejection_gets_the_shortest_retry_time() {
    let mut schedule = RetrySchedule::default();
    let delay = schedule.refuse(LEFT_MS, 90_000, &mut StdRng::seed_from_u64(3));
    assert_eq!(delay, 2_000);
}
