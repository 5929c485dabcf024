//! Rights to send requests to rate-limited engines, issued by the planner of an engine's failure
//! domain.
//!
//! Each request needs one right, and rights are issued at the rate of the limit. So the sum over
//! all nodes stays within it, whatever their number and however clients are spread over them. A
//! node that becomes the issuer does not know the rights issued before, so it starts with a nearly
//! empty bucket. A node that gets no right learns when to ask again, such that all nodes together
//! ask at a bounded rate.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name, Rate};

use crate::{Bucket, EngineIncarnation};

/// Least rate, requests per second: an engine with a limit near 0 still gets a request now and
/// then, which shows whether the limit still applies.
const MIN_RATE: f64 = 0.25;
/// Burst of rights, as seconds of the rate plus a number. Together with the rights issued before
/// they are used, it stays within half of the rate plus five over four seconds.
const BURST_S: f64 = 0.3;
const BURST: f64 = 3.0;
/// Rights available to a new issuer, as seconds of the rate; at a high rate no request has to wait.
const INITIAL_S: f64 = 0.1;
/// Least interval between failing requests for rights, all nodes together, milliseconds: about a
/// percent of a small VM.
const REQUEST_INTERVAL_MS: Millis = 10;
/// Time for which a node counts as requesting rights, milliseconds.
const REQUESTER_TTL_MS: Millis = 1_500;
/// Largest random extension of a wait, as a fraction of it.
const JITTER: f64 = 0.3;
/// Time of excess demand after which a limit counts as binding, milliseconds: longer than a burst
/// of calls, shorter than a load of layers.
const BINDING_DELAY_MS: Millis = 1_000;
/// Time without a request after which excess demand is measured anew, milliseconds.
const SHORTAGE_GAP_MS: Millis = 2_000;
/// Time after which an engine without requests is removed, milliseconds.
const IDLE_TTL_MS: Millis = 30_000;

/// Total requests per second sent to an engine with this limit.
pub(crate) fn target_rate(limit: Rate) -> f64 {
    limit.as_f64().max(MIN_RATE)
}

/// Response to a request for rights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Rights issued.
    pub issued: u16,
    /// Time after which to ask again; 0 if any were issued.
    pub wait: Millis,
}

#[derive(Clone, Debug)]
struct Issued {
    bucket: Bucket,
    requesters: HashMap<Name, Millis>,
    at: Millis,
    /// Since when demand has exceeded the limit.
    shortage: Option<Millis>,
    /// Whether the excess demand has lasted.
    binding: bool,
}

/// Issuer of rights, by engine.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::{EngineIncarnation, Rights};
///
/// let incarnation = EngineIncarnation { engine: "i-1".parse()?, started_at: None };
/// let limit = Rate::from_thousandths(4_000);
/// let (a, b) = ("n1".parse()?, "n2".parse()?);
/// let mut rights = Rights::default();
/// assert_eq!(rights.issue(&incarnation, limit, &a, 1, 0.0, 0).issued, 0, "nearly empty at first");
/// assert_eq!(rights.issue(&incarnation, limit, &a, 1, 0.0, 250).issued, 1);
/// let none = rights.issue(&incarnation, limit, &b, 1, 0.0, 260);
/// assert_eq!((none.issued, none.wait), (0, 140));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Rights {
    engines: HashMap<EngineIncarnation, Issued>,
}

impl Rights {
    /// Issues up to `requested` rights for an engine to a node; `draw`, from 0 to 1, adds jitter to
    /// the wait.
    pub fn issue(
        &mut self,
        engine: &EngineIncarnation,
        limit: Rate,
        node: &Name,
        requested: u16,
        draw: f64,
        now: Millis,
    ) -> Grant {
        let rate = target_rate(limit);
        let burst = rate * BURST_S + BURST.min(1.0 + 2.0 * limit.as_f64());
        let issued = self.engines.entry(engine.clone()).or_insert_with(|| {
            let mut bucket = Bucket::new(rate, burst, now);
            bucket.spend((burst - rate * INITIAL_S).max(0.0));
            Issued { bucket, requesters: HashMap::new(), at: now, shortage: None, binding: false }
        });
        issued.bucket.set(rate, burst, now);
        if now >= issued.at + SHORTAGE_GAP_MS || issued.bucket.is_full(now) {
            issued.shortage = None;
        }
        issued.at = now;
        issued.requesters.insert(node.clone(), now);
        for count in 0..requested {
            if let Err(next) = issued.bucket.take(now) {
                let since = *issued.shortage.get_or_insert(now);
                issued.binding |= now >= since + BINDING_DELAY_MS;
                let wait = if count > 0 { 0 } else { issued.wait(next, draw, now) };
                return Grant { issued: count, wait };
            }
        }
        Grant { issued: requested, wait: 0 }
    }

    /// Removes all engines; called when this node becomes or stops being the issuer.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    /// Whether demand for an engine exceeded its limit for some time since the limit applies.
    pub fn is_binding(&self, engine: &EngineIncarnation) -> bool {
        self.engines.get(engine).is_some_and(|h| h.binding)
    }

    /// Removes an engine whose limit was lifted.
    pub fn remove(&mut self, engine: &EngineIncarnation) {
        self.engines.remove(engine);
    }

    /// Removes engines without recent requests.
    pub fn expire(&mut self, now: Millis) {
        self.engines.retain(|_, h| now < h.at + IDLE_TTL_MS);
    }
}

impl Issued {
    /// Time after which a node should ask again, if the next right is available after `next`.
    fn wait(&mut self, next: Millis, draw: f64, now: Millis) -> Millis {
        self.requesters.retain(|_, at| now < *at + REQUESTER_TTL_MS);
        let least = next.max(REQUEST_INTERVAL_MS * self.requesters.len() as Millis);
        least + (least as f64 * JITTER * draw.clamp(0.0, 1.0)) as Millis
    }
}
