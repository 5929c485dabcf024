//! A token bucket.

use heathpitch_core::Millis;

/// Limits a rate while allowing a short burst.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::Bucket;
///
/// let mut bucket = Bucket::new(2.0, 2.0, 0);
/// assert!(bucket.take(0).is_ok());
/// assert!(bucket.take(0).is_ok());
/// assert_eq!(bucket.take(0), Err(500));
/// assert!(bucket.take(500).is_ok());
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Millis,
}

impl Bucket {
    /// Creates a full bucket that gains `rate` tokens per second up to `burst`.
    pub fn new(rate: f64, burst: f64, now: Millis) -> Self {
        Self { rate, burst, level: burst, at: now }
    }

    /// Changes the rate and burst, keeping the level.
    pub fn set(&mut self, rate: f64, burst: f64, now: Millis) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Milliseconds until a token is available.
    pub fn take(&mut self, now: Millis) -> Result<(), Millis> {
        self.refill(now);
        match self.level {
            l if l >= 1.0 => {
                self.level = l - 1.0;
                Ok(())
            }
            l => Err(((1.0 - l) / self.rate * 1_000.0).ceil() as Millis),
        }
    }

    /// Whether the bucket is full.
    pub fn is_full(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.level >= self.burst
    }

    /// Takes any amount; the level may become negative.
    pub fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns an unused token.
    pub fn refund(&mut self) {
        self.level = (self.level + 1.0).min(self.burst);
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.at);
        self.level = (self.level + self.rate * elapsed as f64 / 1_000.0).min(self.burst);
        self.at = self.at.max(now);
    }
}
