//! Detection of a silent stage from the stream's own pace.

use heathpitch_core::Millis;

/// Weight of the newest gap in the running mean.
const GAIN: f64 = 0.2;
/// Deviations beyond the mean that count as a stall.
const SPREAD: f64 = 6.0;

/// Running mean and deviation of the time between tokens.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::StallDetector;
///
/// let mut pace = StallDetector::new(400, 5_000, 0);
/// assert_eq!(pace.stalls_at(), 5_000);
/// (1..=20).for_each(|i| pace.token(i * 30));
/// assert_eq!(pace.stalls_at(), 20 * 30 + 400);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct StallDetector {
    floor: Millis,
    first: Millis,
    soon: Millis,
    last: Millis,
    mean: f64,
    dev: f64,
    tokens: u64,
}

impl StallDetector {
    /// A stream dispatched at `now` that may take `first` to its first token; later silences
    /// shorter than `floor` never count as a stall.
    pub fn new(floor: Millis, first: Millis, now: Millis) -> Self {
        Self { floor, first, soon: first, last: now, mean: 0.0, dev: 0.0, tokens: 0 }
    }

    /// Expects the first token `soon` after the dispatch, so that a look is taken then.
    #[must_use]
    pub fn expecting(self, soon: Millis) -> Self {
        Self { soon: soon.max(self.floor / 2), ..self }
    }

    /// Records a token.
    pub fn token(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.last) as f64;
        match self.tokens {
            0 => {}
            1 => {
                self.mean = gap;
                self.dev = gap / 2.0;
            }
            _ => {
                self.dev += GAIN * ((gap - self.mean).abs() - self.dev);
                self.mean += GAIN * (gap - self.mean);
            }
        }
        self.tokens += 1;
        self.last = now;
    }

    /// When silence is worth a look at whether the engines live: half-way to a stall, and sooner
    /// for a first token that was predicted sooner.
    pub fn warns_at(&self) -> Millis {
        let span = self.stalls_at().saturating_sub(self.last);
        match self.tokens {
            0 => self.last + (span / 2).min(self.soon),
            _ => self.last + span / 2,
        }
    }

    /// When the last token arrived, or the attempt was dispatched.
    pub fn last(&self) -> Millis {
        self.last
    }

    /// When silence becomes a stall.
    pub fn stalls_at(&self) -> Millis {
        let expected = (self.mean + SPREAD * self.dev).ceil() as Millis;
        match self.tokens {
            0 => self.last + self.first,
            _ => self.last + expected.clamp(self.floor, self.first.max(self.floor)),
        }
    }
}
