//! Detection of a stalled stage from the token intervals of its stream.

use heathpitch_core::Millis;

/// Weight of the newest interval in the moving averages.
const GAIN: f64 = 0.2;
/// Deviations above the mean after which silence counts as a stall.
const STALL_DEVIATIONS: f64 = 6.0;

/// Moving average and deviation of the time between tokens.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::StallDetector;
///
/// let mut detector = StallDetector::new(400, 5_000, 0);
/// assert_eq!(detector.stalls_at(), 5_000);
/// (1..=20).for_each(|i| detector.token(i * 30));
/// assert_eq!(detector.stalls_at(), 20 * 30 + 400);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct StallDetector {
    floor: Millis,
    first: Millis,
    expected: Millis,
    last: Millis,
    mean: f64,
    dev: f64,
    tokens: u64,
}

impl StallDetector {
    /// Creates a detector for a stream dispatched at `now`. The first token may take `first`; after
    /// it, silence shorter than `floor` never counts as a stall.
    pub fn new(floor: Millis, first: Millis, now: Millis) -> Self {
        Self { floor, first, expected: first, last: now, mean: 0.0, dev: 0.0, tokens: 0 }
    }

    /// Expects the first token `expected` after the dispatch, so that a probe is due then.
    #[must_use]
    pub fn expecting(self, expected: Millis) -> Self {
        Self { expected: expected.max(self.floor / 2), ..self }
    }

    /// Records a token.
    pub fn token(&mut self, now: Millis) {
        let interval = now.saturating_sub(self.last) as f64;
        match self.tokens {
            0 => {}
            1 => {
                self.mean = interval;
                self.dev = interval / 2.0;
            }
            _ => {
                self.dev += GAIN * ((interval - self.mean).abs() - self.dev);
                self.mean += GAIN * (interval - self.mean);
            }
        }
        self.tokens += 1;
        self.last = now;
    }

    /// Time at which to probe the engines if the stream stays silent: half-way to a stall, or
    /// earlier if the first token was predicted earlier.
    pub fn warns_at(&self) -> Millis {
        let span = self.stalls_at().saturating_sub(self.last);
        match self.tokens {
            0 => self.last + (span / 2).min(self.expected),
            _ => self.last + span / 2,
        }
    }

    /// Time of the last token, or of the dispatch.
    pub fn last(&self) -> Millis {
        self.last
    }

    /// Time at which silence counts as a stall.
    pub fn stalls_at(&self) -> Millis {
        let expected = (self.mean + STALL_DEVIATIONS * self.dev).ceil() as Millis;
        match self.tokens {
            0 => self.last + self.first,
            _ => self.last + expected.clamp(self.floor, self.first.max(self.floor)),
        }
    }
}
