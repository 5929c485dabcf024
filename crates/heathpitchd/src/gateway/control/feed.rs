//! Controller that polls other nodes instead of reading the store.
//!
//! A few nodes of a failure domain read the store; the others poll them for changes of engines, the
//! configuration and the age of its proof. [`Sources`](heathpitch_policy::Sources) decides which node to poll
//! and when this node reads the store itself.
//!
//! The age of an answer counts from the time at which its request was sent, so that neither a slow link nor a
//! stalled source makes it look newer than it is.

use std::rc::Rc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use heathpitch_core::{Millis, Name};
use heathpitch_net::{
    FeedClient, FeedCursor, FeedNotices, FeedRequest, FeedResponse, NoticeCursor, RpcError,
};
use heathpitch_policy::{PollOutcome, REPOLL_AGE_MS, Source};
use rand::seq::IndexedRandom;

use super::feed_answers::{apply, record_nodes};
use super::nodes;
use super::state::Control;
use crate::gateway::event::GatewayEvent;

/// Time between polls: a small part of the time for which a draining engine may still be sent work, and
/// 175 polls a second for a planner with 70 followers.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Time between polls while no source answers, and when the last answer is about to become too old.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Time between polls once the next proof of the configuration is due.
const REPOLL_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which the next source is polled beside one that has not answered, many times the delay inside a failure
/// domain.
const NEXT_SOURCE_DELAY: Duration = Duration::from_millis(100);
/// Time without fresh data after which the feed counts as lost.
const FEED_TIMEOUT_MS: Millis = 300;
/// Timeout of a connection and of an answer, many times the delay inside a failure domain.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of an answer that may hold all engines and the configuration: 100 kB take 40 ms on a link of
/// 20 Mbit/s, and sixty nodes may poll at once.
const FULL_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum age of a proof of the configuration served to followers: about one and a half proof intervals of a
/// planner, and below the maximum age of a proof on which calls may be denied.
pub(super) const MAX_PROOF_AGE_MS: Millis = 1_600;
/// Maximum age of a list of engines served to followers: two watches, with a change at the end of the first and
/// the batch time between them. With the timeout of a poll and a read of the list (1.9 s) it stays below the
/// shortest time for which a draining engine may be sent work. A proof of the configuration does not by itself
/// cover the list.
pub(super) const MAX_LIST_AGE_MS: Millis = 1_500;

/// Positions in the exchange of notices between this node and one that it polls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NoticeCursors {
    /// Position in this node's notices up to which the other node has received them.
    sent: NoticeCursor,
    /// Position in the other node's notices up to which this node has received them.
    received: NoticeCursor,
}

impl NoticeCursors {
    /// Advances both positions after the answer to a request that sent notices up to `sent`.
    pub(super) fn advance(&mut self, sent: NoticeCursor, answer: &FeedResponse) {
        *self = Self { sent, received: answer.notice_cursor };
    }
}

/// State of the exchange with a source.
#[derive(Default)]
pub(super) struct FeedState {
    node: Option<Name>,
    client: Option<FeedClient>,
    pub(super) cursor: FeedCursor,
    notices: NoticeCursors,
    /// Time at which the last received list of engines becomes too old.
    pub(super) fresh_until: Millis,
}

impl FeedState {
    /// State of the exchange with `node`: this one if it is its, a new one otherwise.
    fn take_for(&mut self, node: &Name) -> Self {
        match &self.node {
            Some(known) if known == node => std::mem::take(self),
            _ => Self { node: Some(node.clone()), ..Self::default() },
        }
    }

    /// Time to the next poll, which comes before the list becomes too old, and as soon as the next proof of the
    /// configuration is expected: data received near its maximum age must not be kept for another full interval.
    fn pause(&self, control: &Control) -> Duration {
        let now = control.now();
        let left = Duration::from_millis(self.fresh_until.saturating_sub(now));
        let proof = control.newest_freshness().age(now).unwrap_or_default();
        let next = match REPOLL_AGE_MS.saturating_sub(proof) {
            0 => REPOLL_INTERVAL,
            wait => Duration::from_millis(wait),
        };
        match () {
            () if control.has_feed() => left.min(next).clamp(MIN_POLL_INTERVAL, POLL_INTERVAL),
            () if control.is_planner() => POLL_INTERVAL,
            () => MIN_POLL_INTERVAL,
        }
    }
}

/// A poll that has ended.
struct EndedPoll {
    source: Source,
    state: FeedState,
    start: Millis,
    /// Time at which the request was sent, and its answer.
    answer: Result<(Millis, FeedResponse), RpcError>,
}

/// Periodically polls sources until one answers with fresh data.
pub(super) async fn follow(control: Rc<Control>) {
    let mut state = FeedState::default();
    loop {
        tokio::select! {
            () = tokio::time::sleep(state.pause(&control)) => {}
            () = control.forwarders_wanted.notified() => {}
        }
        poll_round(&control, &mut state).await;
        control.update_role();
    }
}

/// Polls sources until one sends fresh data or none is left.
///
/// A source that does not answer at once is polled beside the next one. After [`FEED_TIMEOUT_MS`] without fresh data
/// the feed counts as lost, whatever polls are still pending.
async fn poll_round(control: &Rc<Control>, state: &mut FeedState) {
    if control.sources.borrow().knows_no_planner() {
        poll_seed(control).await;
    }
    let start = control.now();
    let mut polls = FuturesUnordered::new();
    let mut pending: Vec<(Name, Millis)> = Vec::new();
    let mut lost = false;
    loop {
        let names: Vec<Name> = pending.iter().map(|(node, _)| node.clone()).collect();
        match control.next_source(&names) {
            Some(source) => {
                if !pending.is_empty() {
                    // Promised retries are part of one poll at a time.
                    control.promises_unanswered();
                }
                pending.push((source.node.clone(), control.now()));
                polls.push(poll_source(control, state.take_for(&source.node), source));
            }
            None if pending.is_empty() => return control.sources_exhausted(start),
            None => {}
        }
        let ended = tokio::time::timeout(NEXT_SOURCE_DELAY, polls.next()).await.ok().flatten();
        if let Some(ended) = ended {
            let is_latest = pending.last().is_some_and(|(node, _)| *node == ended.source.node);
            pending.retain(|(node, _)| *node != ended.source.node);
            if finish_poll(control, state, ended, is_latest) == PollOutcome::Fresh {
                if !is_latest {
                    control.promises_unanswered();
                }
                return supersede(control, &pending);
            }
        }
        if !lost && control.now() >= start + FEED_TIMEOUT_MS {
            control.sources_exhausted(start);
            lost = true;
        }
        control.update_role();
    }
}

/// Ends the polls that were pending when another source answered; those that are late are not repeated at once.
fn supersede(control: &Control, pending: &[(Name, Millis)]) {
    let error = RpcError::Lost("another node answered first".to_owned());
    let delay = NEXT_SOURCE_DELAY.as_millis() as Millis;
    for (node, start) in pending.iter().filter(|(_, start)| control.now() >= start + delay) {
        control.poll_failed(node, *start, &error);
        control.record_poll(node, PollOutcome::NoAnswer);
    }
}

/// Polls a seed for the current planners only; planners serve the list and the configuration.
async fn poll_seed(control: &Control) {
    let Some(seed) = control.seeds.choose(&mut rand::rng()) else { return };
    let (request, _) = control.feed_request(FeedCursor::default(), &NoticeCursors::default(), true);
    let sent = control.now();
    let answer = async {
        FeedClient::open(seed.address, POLL_TIMEOUT).await?.poll(&request, POLL_TIMEOUT).await
    };
    match answer.await {
        Ok(response) => {
            record_nodes(control, seed, &response);
            control.record_notices(&response.notices, sent, &seed.node);
        }
        Err(e) => log::info!("poll of seed {} failed: {e}", seed.address),
    }
}

/// Applies the answer of a poll, or records its failure. `is_latest` tells whether promised retries were part of it.
fn finish_poll(
    control: &Rc<Control>,
    state: &mut FeedState,
    ended: EndedPoll,
    is_latest: bool,
) -> PollOutcome {
    let EndedPoll { source, state: mut polled, start, answer } = ended;
    let label = if answer.is_ok() { "ok" } else { "failed" };
    control.shared.metrics.feed.with_label_values(&[label]).inc();
    let outcome = match answer {
        Ok((sent, response)) => {
            control.last_answer.set(control.now());
            if is_latest {
                control.receive_promises(&source.node, &response, sent);
            }
            let outcome = apply(control, &mut polled, &source, sent, response);
            *state = polled;
            outcome
        }
        Err(e) => {
            if is_latest {
                control.promises_unanswered();
            }
            control.poll_failed(&source.node, start, &e);
            // A VM that refuses connections is starting or restarting, and will answer soon.
            match control.now().saturating_sub(start) {
                took if took < POLL_TIMEOUT.as_millis() as Millis => PollOutcome::Declined,
                _ => PollOutcome::NoAnswer,
            }
        }
    };
    control.record_poll(&source.node, outcome);
    outcome
}

async fn poll_source(control: &Control, mut state: FeedState, source: Source) -> EndedPoll {
    let start = control.now();
    let answer = poll(control, &mut state, &source).await;
    EndedPoll { source, state, start, answer }
}

/// Polls on the kept connection, or on a new one; also returns the time at which the request was sent.
async fn poll(
    control: &Control,
    state: &mut FeedState,
    source: &Source,
) -> Result<(Millis, FeedResponse), RpcError> {
    let (mut request, sent_to) = control.feed_request(state.cursor, &state.notices, false);
    let (demand, counted) = control.demand_for(&source.node);
    request.demand = demand;
    request.to = Some(source.node.clone());
    control.send_promises(&mut request, &source.node);
    if let Some(client) = &state.client {
        let sent = control.now();
        match client.poll(&request, POLL_TIMEOUT).await {
            Ok(response) => {
                state.notices.advance(sent_to, &response);
                control.demand_answered(&source.node, counted);
                return Ok((sent, response));
            }
            Err(e) => log::info!("the connection to node {} was lost: {e}", source.node),
        }
    }
    state.client = None;
    let client = FeedClient::open(source.address, POLL_TIMEOUT).await?;
    let sent = control.now();
    let limit = if state.cursor.serial == 0 { FULL_POLL_TIMEOUT } else { POLL_TIMEOUT };
    let response = client.poll(&request, limit).await?;
    state.notices.advance(sent_to, &response);
    control.demand_answered(&source.node, counted);
    state.client = Some(client);
    Ok((sent, response))
}

/// # Feed
impl Control {
    /// Logs that a node did not answer a poll begun at `start`.
    fn poll_failed(&self, node: &Name, start: Millis, error: &RpcError) {
        let now = self.now();
        GatewayEvent::PollFailed {
            node: node.clone(),
            ms: now.saturating_sub(start),
            proof_ms: self.shared.config_freshness.load().age(now),
            list_ms: self.shared.list_freshness.load().age(now),
            error: error.to_string(),
        }
        .log();
    }

    /// Builds a request to another node, and returns also the position up to which it sends notices.
    pub(super) fn feed_request(
        &self,
        known: FeedCursor,
        cursors: &NoticeCursors,
        reports_only: bool,
    ) -> (FeedRequest, NoticeCursor) {
        let settings = self.shared.settings.load();
        let (notices, end) = self.notices_since(cursors.sent);
        let request = FeedRequest {
            to: None,
            node: settings.node.clone(),
            address: self.shared.peer.unwrap_or(settings.listen),
            can_plan: nodes::can_plan(&settings),
            revision: self.received_revision(),
            version: self.version(),
            digest: self.mirror.borrow().digest(),
            cursor: known,
            reports_only,
            notices,
            notice_cursor: cursors.received,
            demand: Vec::new(),
            promises: Vec::new(),
            forwarder: self.own_forwarder(),
            wants_forwarders: self.wants_forwarders(),
        };
        (request, end)
    }

    /// Notices after the position `known`, and the position that follows them.
    pub(super) fn notices_since(&self, known: NoticeCursor) -> (FeedNotices, NoticeCursor) {
        let known =
            if known.incarnation == self.incarnation { known } else { NoticeCursor::default() };
        let (exits, exits_cursor) = self.exits_since(known.exits);
        let (drains, drains_cursor) = self.drains_since(known.drains);
        let (limits, limits_cursor) = self.limits_since(known.limits);
        let (part_exits, parts_cursor) = self.part_exits_since(known.part_exits);
        let (part_answers, answers_cursor) = self.part_answers_since(known.part_answers);
        let cursor = NoticeCursor {
            incarnation: self.incarnation,
            exits: exits_cursor,
            drains: drains_cursor,
            limits: limits_cursor,
            part_exits: parts_cursor,
            part_answers: answers_cursor,
        };
        (FeedNotices { exits, drains, limits, part_exits, part_answers }, cursor)
    }

    /// Records notices of another node from a message sent at `sent` or later.
    pub(super) fn record_notices(&self, notices: &FeedNotices, sent: Millis, by: &Name) {
        // Parts first: they may explain exits that would otherwise blame requests.
        self.receive_part_notices(&notices.part_exits, &notices.part_answers, sent);
        self.receive_exits(&notices.exits, sent, by);
        self.receive_drains(&notices.drains, sent);
        self.receive_limits(&notices.limits, sent);
    }
}
