//! Streams that callers asked for within the last two seconds, by service, rank and account.
//!
//! Counts are kept in short intervals. An interval can be closed early, so that a message carries
//! whole intervals and the next one starts after them. State is bounded in entries and in time;
//! what doesn't fit shortens the window.

use std::collections::{HashMap, VecDeque};

use heathpitch_core::{Millis, Name};

/// Time for which counts are kept, milliseconds: lent capacity is reclaimed within it.
pub(crate) const WINDOW_MS: Millis = 2_000;
/// Length of an interval, milliseconds.
const INTERVAL_MS: Millis = 250;
/// Entries kept, about 80 bytes each; 2 s of demand in a domain with a thousand streams per second
/// and as many accounts take 2 000.
const MAX_ENTRIES: usize = 8_192;

/// What a count is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DemandKey {
    /// Service.
    pub service: Name,
    /// Priority rank; 0 comes first.
    pub rank: u8,
    /// Digest of the client account; 0 for none.
    pub account: u64,
}

/// Number of streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct DemandCount {
    /// Asked for.
    pub asked: u32,
    /// Admitted.
    pub admitted: u32,
}

impl DemandCount {
    /// One stream.
    pub fn one(admitted: bool) -> Self {
        Self { asked: 1, admitted: u32::from(admitted) }
    }

    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.asked = self.asked.saturating_add(other.asked);
        self.admitted = self.admitted.saturating_add(other.admitted);
    }
}

/// Counts of one interval.
#[derive(Clone, Debug)]
struct Interval {
    serial: u64,
    at: Millis,
    counts: HashMap<DemandKey, DemandCount>,
}

/// Counts of the last two seconds.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{DemandCount, DemandKey, RecentDemand};
///
/// let key = DemandKey { service: "chat".parse()?, rank: 0, account: 7 };
/// let mut recent = RecentDemand::default();
/// recent.record(key.clone(), DemandCount::one(true), 0);
/// let sent = recent.close_interval();
/// recent.record(key.clone(), DemandCount::one(false), 100);
/// assert_eq!(recent.since(sent, 64, 100), [(key, DemandCount::one(false))]);
/// assert!(recent.since(0, 64, 3_000).is_empty());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct RecentDemand {
    intervals: VecDeque<Interval>,
    serial: u64,
    closed: bool,
}

/// # Counting
impl RecentDemand {
    /// Adds a count at `now`.
    pub fn record(&mut self, key: DemandKey, count: DemandCount, now: Millis) {
        self.expire(now);
        self.open_interval(now);
        while self.entries() >= MAX_ENTRIES && self.intervals.len() > 1 {
            self.intervals.pop_front();
        }
        let has_room = self.entries() < MAX_ENTRIES;
        let Some(last) = self.intervals.back_mut() else { return };
        match last.counts.get_mut(&key) {
            Some(known) => known.add(count),
            None if has_room => {
                last.counts.insert(key, count);
            }
            None => {}
        }
    }

    /// Closes the current interval and returns its serial: what is recorded from now on has a
    /// larger one.
    pub fn close_interval(&mut self) -> u64 {
        self.closed = true;
        self.serial
    }

    /// Drops all counts.
    pub fn clear(&mut self) {
        self.intervals.clear();
    }

    fn open_interval(&mut self, now: Millis) {
        let is_open = |i: &Interval| now < i.at + INTERVAL_MS;
        if self.closed || !self.intervals.back().is_some_and(is_open) {
            self.closed = false;
            self.serial += 1;
            let interval = Interval { serial: self.serial, at: now, counts: HashMap::new() };
            self.intervals.push_back(interval);
        }
    }

    fn expire(&mut self, now: Millis) {
        while self.intervals.front().is_some_and(|i| now >= i.at + WINDOW_MS) {
            self.intervals.pop_front();
        }
    }
}

/// # Reading
impl RecentDemand {
    /// Counts recorded after the interval `serial`, at most `most`, the largest first.
    pub fn since(&self, serial: u64, most: usize, now: Millis) -> Vec<(DemandKey, DemandCount)> {
        let mut sums: HashMap<&DemandKey, DemandCount> = HashMap::new();
        for interval in self.current(now).filter(|i| i.serial > serial) {
            for (key, count) in &interval.counts {
                sums.entry(key).or_default().add(*count);
            }
        }
        let mut sums: Vec<_> = sums.into_iter().collect();
        sums.sort_unstable_by(|a, b| b.1.asked.cmp(&a.1.asked).then_with(|| a.0.cmp(b.0)));
        sums.truncate(most);
        sums.into_iter().map(|(key, count)| (key.clone(), count)).collect()
    }

    /// Adds the counts at `now` to sums by service and account.
    pub fn add_to(&self, sums: &mut HashMap<Name, HashMap<u64, DemandCount>>, now: Millis) {
        for (key, count) in self.current(now).flat_map(|i| &i.counts) {
            if !sums.contains_key(&key.service) {
                sums.insert(key.service.clone(), HashMap::new());
            }
            if let Some(accounts) = sums.get_mut(&key.service) {
                accounts.entry(key.account).or_default().add(*count);
            }
        }
    }

    /// Whether nothing was asked for within the window.
    pub fn is_empty(&self, now: Millis) -> bool {
        self.current(now).next().is_none()
    }

    /// Number of entries kept.
    pub fn entries(&self) -> usize {
        self.intervals.iter().map(|i| i.counts.len()).sum()
    }

    fn current(&self, now: Millis) -> impl Iterator<Item = &Interval> {
        self.intervals.iter().filter(move |i| now < i.at + WINDOW_MS)
    }
}
