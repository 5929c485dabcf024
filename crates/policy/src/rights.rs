//! Rights to send requests to engines that name a limit, as the one node hands them out that plans an engine's
//! failure domain.
//!
//! One right a request, at the rate of the limit: so the sum over all nodes is kept however many there are and whoever has the
//! callers. Rights that were handed out before a node begins are not known to it, so it begins with next to none
//! in hand. Who is told that there is none asks again when there may be one, all together at a bounded rate.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name, Rate};

use crate::{Bucket, EngineIncarnation};

/// Least rate, requests a second: one that takes next to nothing is asked now and then whether it still does.
const RATE_LEAST: f64 = 0.25;
/// Rights saved up for requests that come together, as seconds of the rate, and as a number; with what is
/// handed out before they are used they stay within half of the rate and five, over four seconds.
const SAVED_S: f64 = 0.3;
const SAVED: f64 = 3.0;
/// Rights in hand of a node that begins to hand them out, as seconds of the rate: of a high one nobody waits.
const FIRST_S: f64 = 0.1;
/// Time between two questions of all nodes together that find no right, milliseconds: a percent of a small VM.
const QUESTION: Millis = 10;
/// Time for which a node counts that asked, milliseconds.
const ASKER: Millis = 1_500;
/// Share by which waits are drawn apart.
const SPREAD: f64 = 0.3;
/// Time for which more is asked for than there is until a limit counts as one that binds, milliseconds: a burst of
/// calls is over, and loads of layers take longer.
const BINDS_AFTER: Millis = 1_000;
/// Time without a question after which that begins anew, milliseconds.
const SHORT_GAP: Millis = 2_000;
/// Time for which nothing is kept of an engine that nobody asks for, milliseconds.
const KEPT: Millis = 30_000;

/// Requests a second that are sent in all to an engine which names this limit.
pub(crate) fn used(limit: Rate) -> f64 {
    limit.as_f64().max(RATE_LEAST)
}

/// What a node is handed out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Rights.
    pub given: u16,
    /// Time after which asking again is worth it; 0 if all were given that were wanted.
    pub wait: Millis,
}

#[derive(Clone, Debug)]
struct Handed {
    bucket: Bucket,
    askers: HashMap<Name, Millis>,
    at: Millis,
    /// Since when more is asked for than there is.
    short: Option<Millis>,
    /// Whether that lasted.
    binds: bool,
}

/// Rights that one node hands out, by engine.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::{EngineIncarnation, Rights};
///
/// let life = EngineIncarnation { engine: "i-1".parse()?, born: None };
/// let limit = Rate::from_thousandths(4_000);
/// let (a, b) = ("n1".parse()?, "n2".parse()?);
/// let mut rights = Rights::default();
/// assert_eq!(rights.hand_out(&life, limit, &a, 1, 0.0, 0).given, 0, "next to none in hand at first");
/// assert_eq!(rights.hand_out(&life, limit, &a, 1, 0.0, 250).given, 1);
/// let none = rights.hand_out(&life, limit, &b, 1, 0.0, 260);
/// assert_eq!((none.given, none.wait), (0, 140));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Rights {
    engines: HashMap<EngineIncarnation, Handed>,
}

impl Rights {
    /// Hands out up to `wanted` rights for an engine to a node; `draw`, from 0 to 1, spreads the time told to it.
    pub fn hand_out(
        &mut self,
        engine: &EngineIncarnation,
        limit: Rate,
        node: &Name,
        wanted: u16,
        draw: f64,
        now: Millis,
    ) -> Grant {
        let rate = used(limit);
        let saved = rate * SAVED_S + SAVED.min(1.0 + 2.0 * limit.as_f64());
        let handed = self.engines.entry(engine.clone()).or_insert_with(|| {
            let mut bucket = Bucket::new(rate, saved, now);
            bucket.spend((saved - rate * FIRST_S).max(0.0));
            Handed { bucket, askers: HashMap::new(), at: now, short: None, binds: false }
        });
        handed.bucket.set(rate, saved, now);
        if now >= handed.at + SHORT_GAP || handed.bucket.is_full(now) {
            handed.short = None;
        }
        handed.at = now;
        handed.askers.insert(node.clone(), now);
        for given in 0..wanted {
            if let Err(next) = handed.bucket.take(now) {
                let since = *handed.short.get_or_insert(now);
                handed.binds |= now >= since + BINDS_AFTER;
                let wait = if given > 0 { 0 } else { handed.wait(next, draw, now) };
                return Grant { given, wait };
            }
        }
        Grant { given: wanted, wait: 0 }
    }

    /// Forgets all, when this node begins or ceases to hand out rights.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    /// Whether more was asked for than an engine takes, for some time since it names its limit.
    pub fn binds(&self, engine: &EngineIncarnation) -> bool {
        self.engines.get(engine).is_some_and(|h| h.binds)
    }

    /// Forgets an engine whose limit is over.
    pub fn remove(&mut self, engine: &EngineIncarnation) {
        self.engines.remove(engine);
    }

    /// Forgets engines that nobody asks for.
    pub fn expire(&mut self, now: Millis) {
        self.engines.retain(|_, h| now < h.at + KEPT);
    }
}

impl Handed {
    /// Time after which a node asks again that finds no right before `next` from now.
    fn wait(&mut self, next: Millis, draw: f64, now: Millis) -> Millis {
        self.askers.retain(|_, at| now < *at + ASKER);
        let least = next.max(QUESTION * self.askers.len() as Millis);
        least + (least as f64 * SPREAD * draw.clamp(0.0, 1.0)) as Millis
    }
}
