//! When refused callers come back: spread over what room there will be, and within their time.

use heathpitch_policy::RetrySchedule;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time that the users' callers have, milliseconds.
const LEFT: u64 = 20_000;

/// A burst of 1.7 times the usual load over three seconds at a node with room for 1.2 times 20 a second.
#[test]
fn callers_refused_in_a_burst_do_not_come_back_as_one() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut schedule = RetrySchedule::default();
    (0..100).for_each(|i| schedule.admit(i * 50));
    let mut back = Vec::new();
    for now in (5_000..8_000).step_by(50) {
        match now % 340 < 240 {
            true => schedule.admit(now),
            false => back.push(now + schedule.refuse(LEFT, now, &mut rng)),
        }
    }
    back.sort_unstable();
    assert!(back.len() > 12, "{}", back.len());
    let most = back.windows(8).map(|w| w[7] - w[0]).min().unwrap_or(0);
    assert!(most >= 1_000, "eight come back within {most} ms: {back:?}");
    let early = back.iter().filter(|at| **at < 7_500).count();
    assert!(early * 4 <= back.len(), "{early} of {} come back into the burst", back.len());
}

#[test]
fn a_caller_is_told_no_more_than_it_waits_for() {
    let mut rng = StdRng::seed_from_u64(2);
    let mut schedule = RetrySchedule::default();
    let told: Vec<u64> = (0..500).map(|i| schedule.refuse(LEFT, i, &mut rng)).collect();
    assert!(told.iter().all(|t| (2_000..=LEFT * 3 / 10).contains(t)), "{told:?}");
    let short = schedule.refuse(3_000, 600, &mut rng);
    assert!(short <= 900, "{short} of 3000 ms left");
}

#[test]
fn a_single_refusal_is_put_off_no_longer_than_needed() {
    let mut schedule = RetrySchedule::default();
    let told = schedule.refuse(LEFT, 90_000, &mut StdRng::seed_from_u64(3));
    assert_eq!(told, 2_000);
}
