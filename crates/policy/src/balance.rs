//! Which fraction of a service's calls runs in other failure domains.
//!
//! A node decides from reports that are a second old, and load follows its decisions by the duration
//! of a stream. Fractions computed from the reported pressures alone would shrink as soon as they
//! work, since the difference that they follow from shrinks. A node therefore tracks how much of its
//! own fractions the reports already contain, and computes the pressures that the domains would have
//! without them. From these the same fractions follow again while demand is unchanged.
//!
//! The nodes of a domain read the same reports and arrive at about the same fractions without talking
//! to each other. Calls that come back late cost more than calls that stay away too long,
//! so fractions rise quickly and fall slowly. A domain that must not get calls loses them at once.

use heathpitch_core::{Millis, Name};

use crate::DomainLoad;
use crate::water_level::{FILL_LEVEL, Level, flows};

/// Largest fraction of the calls that runs in other domains.
///
/// The rest keeps the home domain's measurements of its own paths recent.
const MAX_AWAY: f64 = 0.6;
/// Difference of pressures from which another domain relieves the home domain: above the differences
/// that random arrivals cause between equal domains.
const START_GAP: f64 = 0.15;
/// Time in which the sum of the fractions rises from 0 to the largest, milliseconds: a shortage has
/// to be relieved before callers notice it.
const RISE_MS: f64 = 500.0;
/// Longest time that one update counts for a rise, milliseconds: the interval of updates.
const MAX_RISE_STEP_MS: Millis = 250;
/// Time constant of a fall, milliseconds: longer than reports take to show the calls that came back.
const FALL_MS: f64 = 2_000.0;
/// Time constant of a fall while the other domain is reported above the home domain or as nearly
/// full, milliseconds: the time of a rise.
const QUICK_FALL_MS: f64 = 500.0;
/// Difference to its target up to which a fraction does not rise: random arrivals cause such
/// differences, and since falls are slow, each of them would add to the fraction.
const DEAD_BAND: f64 = 0.05;
/// Time constant after which reports contain a fraction, milliseconds: the delay of a report and
/// the duration of a stream.
const EFFECT_MS: f64 = 2_000.0;
/// Highest pressure that is taken into account; waits grow without limit where memory doesn't.
const MAX_PRESSURE: f64 = 2.0;
/// Change of a fraction that is worth a log line.
const NOTABLE_CHANGE: f64 = 0.1;
/// Shortest time between such log lines, milliseconds.
const NOTABLE_INTERVAL_MS: Millis = 1_000;
/// Fraction below which nothing is sent.
const MIN_FRACTION: f64 = 1e-3;

/// Fractions of one service's calls that run in other failure domains than the node's own.
///
/// Soft state: without it, calls stay in the home domain until that is full.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{Balance, DomainLoad, Pressure};
///
/// let load = |domain: &str, memory| -> Result<DomainLoad, heathpitch_core::NameError> {
///     let pressure = Pressure { memory, start: 0.0 };
///     Ok(DomainLoad {
///         domain: domain.parse()?,
///         pressure,
///         capacity: 1e6,
///         age: 300,
///         is_late: false,
///     })
/// };
/// let mut balance = Balance::new("north".parse()?);
/// let loads = [load("north", 0.9)?, load("south", 0.4)?];
/// balance.update(&loads, 250);
/// balance.update(&loads, 500);
/// assert_eq!(balance.pick(0.1).map(|d| d.as_str()), Some("south"));
/// assert_eq!(balance.pick(0.9), None);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Balance {
    home: Name,
    shares: Vec<Share>,
    updated: Option<Millis>,
    noted: Option<Millis>,
}

/// Fraction of the calls that goes to one other domain.
#[derive(Clone, Debug, PartialEq)]
struct Share {
    domain: Name,
    fraction: f64,
    /// Part of the calls that the reports show to run there.
    effect: f64,
    /// Whether the domain is reported above the home domain, or as nearly full.
    is_too_full: bool,
    /// Whether the domain relieves the home domain.
    is_active: bool,
    /// Fraction that was noted last.
    noted: f64,
}

impl Share {
    fn new(domain: &Name) -> Self {
        let domain = domain.clone();
        Self {
            domain,
            fraction: 0.0,
            effect: 0.0,
            is_too_full: false,
            is_active: false,
            noted: 0.0,
        }
    }
}

/// # Construction
impl Balance {
    /// All calls in the home domain.
    pub fn new(home: Name) -> Self {
        Self { home, shares: Vec::new(), updated: None, noted: None }
    }
}

/// # Updates
impl Balance {
    /// Adjusts the fractions to the loads known at `now`. A domain that is missing gets nothing.
    pub fn update(&mut self, domains: &[DomainLoad], now: Millis) {
        let elapsed = self.updated.map_or(MAX_RISE_STEP_MS, |at| now.saturating_sub(at));
        self.updated = Some(now);
        self.follow_effect(elapsed);
        let known: Vec<&DomainLoad> = domains.iter().filter(|d| d.is_known()).collect();
        self.add_domains(&known);
        let home = known.iter().find(|d| d.domain == self.home);
        for share in &mut self.shares {
            let load = known.iter().find(|d| d.domain == share.domain);
            if !load.is_some_and(|d| d.takes_calls()) {
                (share.fraction, share.is_active) = (0.0, false);
            }
            share.is_too_full = load
                .zip(home)
                .is_some_and(|(d, h)| pressure_of(d) > pressure_of(h).min(FILL_LEVEL));
        }
        let targets = self.targets(&known);
        self.approach(&targets, elapsed);
        let is_used = |s: &Share| s.fraction > 0.0 || s.effect > MIN_FRACTION || s.noted > 0.0;
        self.shares.retain(|s| is_used(s) || known.iter().any(|d| d.domain == s.domain));
    }

    /// Whether a fraction has changed by 0.1 or more since this last returned true, at most once
    /// per second.
    pub fn note_change(&mut self, now: Millis) -> bool {
        let is_due = self.noted.is_none_or(|at| now >= at + NOTABLE_INTERVAL_MS);
        let change = |s: &Share| (s.fraction - s.noted).abs();
        let is_notable = self.shares.iter().any(|s| change(s) >= NOTABLE_CHANGE);
        if is_due && is_notable {
            self.noted = Some(now);
            self.shares.iter_mut().for_each(|s| s.noted = s.fraction);
        }
        is_due && is_notable
    }

    fn add_domains(&mut self, known: &[&DomainLoad]) {
        for d in known.iter().filter(|d| d.domain != self.home) {
            if let Err(at) = self.shares.binary_search_by(|s| s.domain.cmp(&d.domain)) {
                self.shares.insert(at, Share::new(&d.domain));
            }
        }
    }

    fn follow_effect(&mut self, elapsed: Millis) {
        let kept = (-(elapsed as f64) / EFFECT_MS).exp();
        for s in &mut self.shares {
            s.effect = s.fraction + (s.effect - s.fraction) * kept;
        }
    }

    /// Fractions that equalize the pressures that the domains would have without this domain's
    /// fractions, in the order of the shares.
    fn targets(&mut self, known: &[&DomainLoad]) -> Vec<f64> {
        let demand = self.demand(known);
        let levels: Vec<Level<'_>> = known.iter().map(|d| self.level(d, demand)).collect();
        let home = levels.iter().find(|l| *l.domain == self.home).map_or(0.0, |l| l.pressure);
        let flows = flows(&levels, &self.home);
        let mut targets = Vec::with_capacity(self.shares.len());
        for share in &mut self.shares {
            let at = levels.iter().position(|l| *l.domain == share.domain);
            let (gap, flow) = at.map_or((0.0, 0.0), |i| (home - levels[i].pressure, flows[i]));
            share.is_active = flow > 0.0 && (share.is_active || gap >= START_GAP);
            targets.push(if share.is_active { flow / demand } else { 0.0 });
        }
        let scale = MAX_AWAY / targets.iter().sum::<f64>().max(MAX_AWAY);
        targets.into_iter().map(|t| t * scale).collect()
    }

    /// Load of the home domain's own calls, wherever they run, tokens.
    fn demand(&self, known: &[&DomainLoad]) -> f64 {
        let away: f64 = self.shares.iter().map(|s| s.effect).sum();
        let home = known.iter().find(|d| d.domain == self.home);
        home.map_or(0.0, |d| pressure_of(d) * d.capacity / (1.0 - away.min(MAX_AWAY)))
    }

    /// What the pressure of a domain would be if all calls of the home domain ran there.
    fn level<'a>(&self, load: &'a DomainLoad, demand: f64) -> Level<'a> {
        let received = match self.shares.iter().find(|s| s.domain == load.domain) {
            Some(share) => share.effect * demand / load.capacity,
            None => 0.0,
        };
        let pressure = match load.domain == self.home {
            true => demand / load.capacity,
            false => (pressure_of(load) - received).max(0.0),
        };
        let (capacity, is_open) = (load.capacity, load.takes_calls());
        Level { domain: &load.domain, pressure, capacity, is_open }
    }

    /// Moves the fractions towards their targets: falls are exponential, rises share one rate.
    fn approach(&mut self, targets: &[f64], elapsed: Millis) {
        let pairs = || targets.iter().copied();
        for (share, target) in self.shares.iter_mut().zip(pairs()) {
            let fall_ms = if share.is_too_full { QUICK_FALL_MS } else { FALL_MS };
            let kept = (-(elapsed as f64) / fall_ms).exp();
            if share.fraction > target {
                share.fraction = target + (share.fraction - target) * kept;
            }
            if share.fraction < MIN_FRACTION {
                share.fraction = 0.0;
            }
        }
        let wanted: f64 = self.shares.iter().zip(pairs()).map(|(s, t)| missing(s, t)).sum();
        let step = elapsed.min(MAX_RISE_STEP_MS) as f64 / RISE_MS * MAX_AWAY;
        let left = (MAX_AWAY - self.fractions().map(|(_, f)| f).sum::<f64>()).max(0.0);
        let rise = step.min(left).min(wanted);
        for (share, target) in self.shares.iter_mut().zip(pairs()) {
            if wanted > 0.0 {
                share.fraction += missing(share, target) * (rise / wanted);
            }
        }
    }
}

/// # Reading
impl Balance {
    /// The domain that a call goes to, from a random `draw` in `0.0..1.0`; none: home.
    pub fn pick(&self, draw: f64) -> Option<&Name> {
        let mut left = draw;
        let taken = |s: &&Share| {
            left -= s.fraction;
            left < 0.0
        };
        self.shares.iter().find(taken).map(|s| &s.domain)
    }

    /// Other domains with the fraction of the calls that goes to each.
    pub fn fractions(&self) -> impl Iterator<Item = (&Name, f64)> {
        self.shares.iter().map(|s| (&s.domain, s.fraction))
    }
}

/// What a fraction lacks to its target.
fn missing(share: &Share, target: f64) -> f64 {
    match target - share.fraction {
        lacking if lacking >= DEAD_BAND => lacking,
        _ => 0.0,
    }
}

fn pressure_of(load: &DomainLoad) -> f64 {
    load.pressure.level().clamp(0.0, MAX_PRESSURE)
}
