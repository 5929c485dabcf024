//! What engines ask for in their answers, taken note of the same way whoever reads them.

use heathpitch_core::{EngineEntry, Millis};
use heathpitch_net::{AdvertisedLimit, BackpressureSignal};
use heathpitch_policy::Backpressure;
use rand::Rng;

use super::event::GatewayEvent;
use super::quarantine_snapshot::incarnation_of;
use super::shared::{Notice, Shared};

/// An engine's answer, as the log names it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseInfo<'a> {
    /// The engine.
    pub(crate) engine: &'a EngineEntry,
    /// Call that it answers, or what this node asked of its own.
    pub(crate) of: &'a str,
    /// Its status.
    pub(crate) status: u16,
    /// When the call, or the question, was sent.
    pub(crate) sent: Millis,
}

/// # Wishes
impl Shared {
    /// Takes note of what an engine asks for in an answer; gives whether it says for the first time that it leaves.
    ///
    /// From here on it binds all that goes to the engine from this node, before any other node or controller
    /// has heard of it.
    pub(crate) fn record_backpressure(
        &self,
        said: ResponseInfo<'_>,
        asked: BackpressureSignal,
        wish: &Backpressure,
    ) -> bool {
        let ResponseInfo { engine, of, status, sent } = said;
        let now = self.now();
        let limited = match asked.limit {
            AdvertisedLimit::Unknown => false,
            AdvertisedLimit::Unlimited => wish.limit().observe_none(sent, now),
            AdvertisedLimit::Limited(rate) => {
                self.metrics.wishes.with_label_values(&["limit"]).inc();
                wish.limit().observe(rate, sent, now)
            }
        };
        if let Some(time) = asked.pause {
            wish.pause(time, rand::rng().random_range(0.0..1.0), now);
            self.metrics.wishes.with_label_values(&["rest"]).inc();
        }
        let leaves = asked.draining && wish.start_drain();
        if asked.draining {
            self.metrics.wishes.with_label_values(&["leave"]).inc();
        }
        if leaves || limited || asked.pause.is_some() {
            GatewayEvent::EngineBackpressure {
                engine: engine.id.clone(),
                answer: of.to_owned(),
                status,
                rest_ms: asked.pause,
                leaves: asked.draining,
                limit: wish.limit().rate(),
            }
            .log();
        }
        if limited {
            self.notify(Notice::Limited(incarnation_of(engine)));
        }
        leaves
    }
}
