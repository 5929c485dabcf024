//! Body of a stream's answer: whole events as they come, over as many engines as it takes.

use bytes::Bytes;
use futures::stream;
use heathpitch_core::Millis;
use heathpitch_net::{Body, BodyError};
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;

use super::flow::Flow;
use super::record::answered;
use super::send::Answer;
use crate::gateway::event::GatewayEvent;

/// Turns a stream whose head has come into the answer to its caller.
pub(crate) fn relay(flow: Flow, answer: Answer) -> Response<Body> {
    let now = flow.traffic.shared.now();
    let first = now.saturating_sub(flow.call.received);
    flow.traffic.shared.metrics.first.observe(first as f64 / 1e3);
    let mut head = answer.parts.clone();
    heathpitch_net::strip_hop_by_hop(&mut head.headers);
    head.headers.remove(hyper::header::CONTENT_LENGTH);
    let relay = Relay { flow, source: Some(answer), first, last: now, pause: 0, ended: false };
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

/// A stream that is being passed on.
struct Relay {
    flow: Flow,
    /// The answer that is being read.
    source: Option<Answer>,
    first: Millis,
    last: Millis,
    pause: Millis,
    ended: bool,
}

/// What was read next.
enum Piece {
    Events(Bytes),
    Nothing,
    End,
    Failed(String),
    Abandoned,
    Expired,
}

impl Relay {
    /// Whole events as soon as there are any; none at the end.
    async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        loop {
            match self.read().await {
                Piece::Events(events) => return Some(Ok(events)),
                Piece::Nothing => {}
                Piece::End => {
                    self.finish(true);
                    return None;
                }
                Piece::Expired => {
                    self.finish(false);
                    return Some(Err(BodyError::Truncated));
                }
                Piece::Abandoned => self.replace().await,
                Piece::Failed(why) => {
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

    async fn read(&mut self) -> Piece {
        let (shared, until) = (self.flow.traffic.shared.clone(), self.flow.call.until);
        let Some(source) = &mut self.source else {
            return Piece::Failed("there is no answer to read".to_owned());
        };
        let live = self.flow.live.clone();
        let abandoned = async {
            match &live {
                Some(live) => live.abandoned().await,
                None => std::future::pending().await,
            }
        };
        let frame = tokio::select! {
            biased;
            frame = source.body.frame() => frame,
            () = abandoned => return Piece::Abandoned,
            () = shared.sleep_until(until) => return Piece::Expired,
        };
        match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => self.take(&bytes),
                Err(_) => Piece::Nothing,
            },
            Some(Err(e)) => Piece::Failed(e.to_string()),
            None if self.flow.events.has_partial() => {
                Piece::Failed("the answer ended within an event".to_owned())
            }
            None => Piece::End,
        }
    }

    fn take(&mut self, bytes: &[u8]) -> Piece {
        let before = self.flow.events.count();
        match self.flow.events.push(bytes) {
            Ok(events) if events.is_empty() => Piece::Nothing,
            Ok(events) => {
                self.note(self.flow.events.count() - before);
                Piece::Events(events)
            }
            Err(e) => Piece::Failed(e.to_string()),
        }
    }

    fn note(&mut self, count: u64) {
        let now = self.flow.traffic.shared.now();
        self.pause = self.pause.max(now.saturating_sub(self.last));
        self.last = now;
        self.flow.traffic.shared.metrics.events.inc_by(count);
        if let Some(live) = &self.flow.live {
            live.record_events(count, now);
        }
    }

    /// Goes on at another engine if one takes the stream, else waits for the one that is silent.
    async fn replace(&mut self) {
        let why = "the first engine of the path does not answer";
        let live = self.flow.live.clone();
        let repeatable = self.flow.call.route.kind.retryable();
        let (shared, until) = (self.flow.traffic.shared.clone(), self.flow.call.until);
        let replaced = match repeatable {
            true => shared.run_until(until, self.flow.replace(why)).await.flatten(),
            false => None,
        };
        match replaced {
            Some(answer) => self.source = Some(answer),
            None => {
                if let Some(live) = live {
                    live.cancel_abandon();
                }
            }
        }
    }

    /// Takes the stream up at another engine.
    async fn resume(&mut self) -> bool {
        if !self.flow.call.route.kind.retryable() {
            return false;
        }
        let (shared, until) = (self.flow.traffic.shared.clone(), self.flow.call.until);
        match shared.run_until(until, self.flow.dispatch()).await {
            Some(Ok(answer)) => {
                self.source = Some(answer);
                true
            }
            Some(Err(_)) | None => false,
        }
    }

    fn finish(&mut self, whole: bool) {
        if let (true, Some(source)) = (whole, self.source.take()) {
            source.give_back(&self.flow.traffic.pool);
            answered(&self.flow.traffic, &self.flow.call);
        }
        self.log(whole);
    }

    fn log(&mut self, whole: bool) {
        self.ended = true;
        let shared = &self.flow.traffic.shared;
        shared.metrics.pause.observe(self.pause as f64 / 1e3);
        GatewayEvent::CallEnded {
            request: self.flow.call.head.id.to_string(),
            status: 200,
            whole,
            attempts: self.flow.sends,
            events: self.flow.events.count(),
            first_ms: self.first,
            ms: shared.now().saturating_sub(self.flow.call.received),
            pause_ms: self.pause,
        }
        .log();
    }
}

impl Drop for Relay {
    /// A caller that left.
    fn drop(&mut self) {
        if !self.ended {
            self.log(false);
        }
    }
}
