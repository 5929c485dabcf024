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
    /// A full bucket that gains `rate` a second up to `burst`.
    pub fn new(rate: f64, burst: f64, now: Millis) -> Self {
        Self { rate, burst, level: burst, at: now }
    }

    /// Changes the rate and burst, keeping what is in the bucket.
    pub fn set(&mut self, rate: f64, burst: f64, now: Millis) {
        self.refill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Takes one.
    ///
    /// # Errors
    ///
    /// Milliseconds until one is there.
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

    /// Whether nothing was taken for as long as it takes to fill.
    pub fn is_full(&mut self, now: Millis) -> bool {
        self.refill(now);
        self.level >= self.burst
    }

    /// Takes any amount; what is not there is owed.
    pub fn spend(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Puts one back that was not used.
    pub fn untake(&mut self) {
        self.level = (self.level + 1.0).min(self.burst);
    }

    fn refill(&mut self, now: Millis) {
        let gone = now.saturating_sub(self.at);
        self.level = (self.level + self.rate * gone as f64 / 1_000.0).min(self.burst);
        self.at = self.at.max(now);
    }
}
