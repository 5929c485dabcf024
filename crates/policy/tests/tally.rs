//! Tallies: how long an engine's own word is believed.

use heathpitch_policy::Tally;

#[test]
fn a_pace_is_believed_for_a_while() {
    let tally = Tally::default();
    tally.report(12.0, 1_000);
    assert!((tally.pace(2_000) - 12.0).abs() < 1e-9);
    assert!((tally.pace(9_000) - 1.0).abs() < 1e-9);
    tally.report(0.0, 9_000);
    assert!((tally.pace(9_000) - 1.0).abs() < 1e-9, "nothing is faster than its card");
}
