//! Backpressure signals in engines' responses, recorded the same way for every kind of request.

use heathpitch_core::{EngineEntry, Millis};
use heathpitch_net::{AdvertisedLimit, BackpressureSignal};
use heathpitch_policy::Backpressure;
use rand::Rng;

use super::event::GatewayEvent;
use super::quarantine_snapshot::incarnation_of;
use super::shared::{ControlMessage, Shared};

/// An engine's response, as the log identifies it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseInfo<'a> {
    pub(crate) engine: &'a EngineEntry,
    /// Id of the call that it answers, or the kind of a request of this node's own.
    pub(crate) of: &'a str,
    pub(crate) status: u16,
    /// When the request was sent.
    pub(crate) sent: Millis,
}

/// # Backpressure
impl Shared {
    /// Records the backpressure signal of a response; returns whether the engine announces for the
    /// first time that it drains.
    ///
    /// It applies at once to everything that this node sends to the engine, before other nodes or
    /// controllers have learned of it.
    pub(crate) fn record_backpressure(
        &self,
        response: ResponseInfo<'_>,
        signal: BackpressureSignal,
        backpressure: &Backpressure,
    ) -> bool {
        let ResponseInfo { engine, of, status, sent } = response;
        let now = self.now();
        let limit_changed = match signal.limit {
            AdvertisedLimit::Unknown => false,
            AdvertisedLimit::Unlimited => backpressure.limit().observe_none(sent, now),
            AdvertisedLimit::Limited(rate) => {
                self.metrics.backpressure.with_label_values(&["limit"]).inc();
                backpressure.limit().observe(rate, sent, now)
            }
        };
        if let Some(time) = signal.pause {
            backpressure.pause(time, rand::rng().random_range(0.0..1.0), now);
            self.metrics.backpressure.with_label_values(&["rest"]).inc();
        }
        let drain_started = signal.draining && backpressure.start_drain();
        if signal.draining {
            self.metrics.backpressure.with_label_values(&["leave"]).inc();
        }
        if drain_started || limit_changed || signal.pause.is_some() {
            GatewayEvent::EngineBackpressure {
                engine: engine.id.clone(),
                answer: of.to_owned(),
                status,
                pause_ms: signal.pause,
                draining: signal.draining,
                limit: backpressure.limit().rate(),
            }
            .log();
        }
        if limit_changed {
            self.notify_control(ControlMessage::Limited(incarnation_of(engine)));
        }
        drain_started
    }
}
