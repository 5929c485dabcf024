//! Retries stay within the share in every window, wherever it starts.

use heathpitch_policy::{RetryShare, RetryWindow};
use proptest::prelude::*;

proptest! {
    #[test]
    fn no_window_holds_more_than_the_share(
        steps in prop::collection::vec((0_u64..400, any::<bool>()), 1..300),
        slack in 0_u32..20,
    ) {
        let share = RetryShare { ratio: 0.3, slack: f64::from(slack), window: 10_000 };
        let mut window = RetryWindow::default();
        let mut now = 0;
        let (mut calls, mut spent) = (Vec::new(), Vec::new());
        for (pause, call) in steps {
            now += pause;
            match call {
                true => {
                    window.call(&share, now);
                    calls.push(now);
                }
                false if window.spend(&share, now) => spent.push(now),
                false => {}
            }
        }
        let within = |times: &[u64], from: u64| {
            times.iter().filter(|t| (from..from + share.window).contains(t)).count() as f64
        };
        for end in &spent {
            // Windows that end with a retry are the fullest.
            let from = (end + 1).saturating_sub(share.window);
            let most = share.slack + share.ratio * within(&calls, from);
            prop_assert!(within(&spent, from) <= most + 1e-9);
        }
    }
}
