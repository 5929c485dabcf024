//! Body of a stream's answer: relays complete events as they arrive, from one engine after another
//! if attempts fail.

use bytes::Bytes;
use futures::stream;
use heathpitch_core::Millis;
use heathpitch_net::{Body, BodyError, Framing};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;

use super::flow::Flow;
use super::record::record_answered;
use super::refusal::RefusalKind;
use super::send::{Answer, SLOW_ANSWER_MS, until_way_lost};
use crate::gateway::content_budget::HeldBytes;
use crate::gateway::event::GatewayEvent;

/// Time between two attempts to move a stream.
const MOVE_INTERVAL_MS: Millis = 250;

/// Turns a stream whose head was received into the answer to its caller.
pub(crate) fn relay(flow: Flow, answer: Answer) -> Response<Body> {
    let now = flow.traffic.shared.now();
    let first_ms = now.saturating_sub(flow.call.received);
    flow.traffic.shared.metrics.first.observe(first_ms as f64 / 1e3);
    let head = answer.parts.clone();
    let relay = Relay {
        flow,
        source: Some(answer),
        first_ms,
        last_event: now,
        max_pause: 0,
        held: HeldBytes::default(),
        next_move: 0,
        ended: false,
    };
    let events = stream::unfold(Some(relay), |relay| async {
        let mut relay = relay?;
        match relay.next().await {
            Some(Ok(events)) => Some((Ok(Frame::data(events)), Some(relay))),
            Some(Err(e)) => Some((Err(e), None)),
            None => None,
        }
    });
    Response::from_parts(head, StreamBody::new(events).boxed_unsync())
}

/// A stream that is being relayed.
struct Relay {
    flow: Flow,
    /// The engine's answer that is being read.
    source: Option<Answer>,
    first_ms: Millis,
    last_event: Millis,
    max_pause: Millis,
    /// Memory taken for an incomplete event.
    held: HeldBytes,
    /// Time before which the stream is not moved again.
    next_move: Millis,
    ended: bool,
}

/// Outcome of a read.
enum ReadOutcome {
    Events(Bytes),
    Nothing,
    End,
    Failed(String),
    Abandoned,
    Expired,
}

impl Relay {
    /// The next complete events; none at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.read().await {
                ReadOutcome::Events(events) => return Some(Ok(events)),
                ReadOutcome::Nothing => {}
                ReadOutcome::End => {
                    self.finish(true);
                    return None;
                }
                ReadOutcome::Expired => {
                    let shared = &self.flow.traffic.shared;
                    if self.flow.call.expiry(shared) == RefusalKind::Stopping {
                        shared.stop.record_cut();
                    }
                    self.finish(false);
                    return Some(Err(BodyError::Truncated));
                }
                ReadOutcome::Abandoned => self.replace().await,
                ReadOutcome::Failed(why) => {
                    self.source = None;
                    self.flow.fail(&why);
                    if !self.resume().await {
                        self.finish(false);
                        return Some(Err(BodyError::Truncated));
                    }
                }
            }
        }
    }

    async fn read(&mut self) -> ReadOutcome {
        let (shared, deadline) = (self.flow.traffic.shared.clone(), self.flow.call.deadline);
        let Some(source) = &mut self.source else {
            return ReadOutcome::Failed("no answer to read".to_owned());
        };
        let (live, hop) = (self.flow.live.clone(), self.flow.hop.as_ref());
        let abandoned = async {
            match &live {
                Some(live) => live.abandoned().await,
                None => std::future::pending().await,
            }
        };
        let service = &self.flow.call.service.name;
        let slow_at = self.last_event + SLOW_ANSWER_MS.max(2 * self.max_pause);
        let way_lost = async {
            match hop {
                Some(hop) => hop.until_lost(self.last_event.max(self.next_move)).await,
                // A connection from before the cut may still work.
                None => until_way_lost(&shared, service, slow_at.max(self.next_move)).await,
            }
        };
        let frame = tokio::select! {
            biased;
            frame = source.body.frame() => frame,
            () = abandoned => return ReadOutcome::Abandoned,
            () = way_lost => return ReadOutcome::Abandoned,
            () = shared.sleep_until_due(deadline) => return ReadOutcome::Expired,
        };
        match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => self.take(&bytes),
                Err(_) => ReadOutcome::Nothing,
            },
            Some(Err(e)) => ReadOutcome::Failed(e.to_string()),
            None if self.flow.events.has_partial() => {
                ReadOutcome::Failed("the answer ended in the middle of an event".to_owned())
            }
            None if self.flow.events.last().is_none()
                && source.hop.framing == Framing::UntilClose =>
            {
                ReadOutcome::Failed("the connection ended before the first event".to_owned())
            }
            None => ReadOutcome::End,
        }
    }

    fn take(&mut self, bytes: &[u8]) -> ReadOutcome {
        let before = self.flow.events.count();
        let pushed = self.flow.events.push(bytes);
        let contents = &self.flow.traffic.shared.contents;
        match self.flow.events.partial_len() {
            0 => self.held = HeldBytes::default(),
            length if contents.try_grow_answer(&mut self.held, length) => {}
            _ => return ReadOutcome::Failed("no memory for an incomplete event".to_owned()),
        }
        match pushed {
            Ok(events) if events.is_empty() => ReadOutcome::Nothing,
            Ok(events) => {
                self.record_events(self.flow.events.count() - before);
                ReadOutcome::Events(events)
            }
            Err(e) => ReadOutcome::Failed(e.to_string()),
        }
    }

    fn record_events(&mut self, count: u64) {
        let now = self.flow.traffic.shared.now();
        self.max_pause = self.max_pause.max(now.saturating_sub(self.last_event));
        self.last_event = now;
        self.flow.traffic.shared.metrics.events.inc_by(count);
        if let Some(live) = &self.flow.live {
            live.record_events(count, now);
        }
        self.flow.record_progress();
    }

    /// Continues at another engine if one takes the stream, else waits for the silent one.
    async fn replace(&mut self) {
        let why = match self.flow.hop {
            Some(_) => "the node that it was forwarded to does not respond",
            None => "the first engine of the path does not respond",
        };
        let live = self.flow.live.clone();
        let retryable = self.flow.call.route.kind.retryable();
        let (shared, deadline) = (self.flow.traffic.shared.clone(), self.flow.call.deadline);
        let replaced = match retryable {
            true => shared.run_until(deadline, self.flow.replace(why)).await.flatten(),
            false => None,
        };
        match replaced {
            Some(answer) => self.source = Some(answer),
            None => {
                self.next_move = self.flow.traffic.shared.now() + MOVE_INTERVAL_MS;
                if let Some(live) = live {
                    live.cancel_abandon();
                }
            }
        }
    }

    /// Resumes the stream at another engine.
    async fn resume(&mut self) -> bool {
        if !self.flow.call.route.kind.retryable() {
            return false;
        }
        let (shared, deadline) = (self.flow.traffic.shared.clone(), self.flow.call.deadline);
        match shared.run_until(deadline, self.flow.dispatch()).await {
            Some(Ok(answer)) => {
                self.source = Some(answer);
                true
            }
            Some(Err(_)) | None => false,
        }
    }

    fn finish(&mut self, complete: bool) {
        if let (true, Some(source)) = (complete, self.source.take()) {
            source.release(&self.flow.traffic.pool);
            record_answered(&self.flow.traffic, &self.flow.call);
            // An answer without a length also ends where its engine exits.
            if self.flow.events.count() > 0 {
                self.flow.record_complete();
                let (traffic, call) = (&self.flow.traffic, &self.flow.call);
                let taken = traffic.shared.now().saturating_sub(call.received);
                traffic.usual_durations.record(&call.route.name, taken);
            }
        }
        self.log(complete);
    }

    fn log(&mut self, complete: bool) {
        self.ended = true;
        let shared = &self.flow.traffic.shared;
        shared.metrics.pause.observe(self.max_pause as f64 / 1e3);
        GatewayEvent::CallEnded {
            request: self.flow.call.head.id.to_string(),
            status: 200,
            complete,
            attempts: self.flow.attempts,
            events: self.flow.events.count(),
            first_ms: self.first_ms,
            ms: shared.now().saturating_sub(self.flow.call.received),
            pause_ms: self.max_pause,
        }
        .log();
    }
}

impl Drop for Relay {
    /// Logs the end of a stream whose caller disconnected.
    fn drop(&mut self) {
        if !self.ended {
            self.log(false);
        }
    }
}
