//! Exchange of promised retries with the planner of this failure domain.
//!
//! A poll of a node of the own domain carries the retries that this node has promised and the
//! streams it has admitted since its last poll. [`RetryBook`](heathpitch_policy::RetryBook) keeps
//! both; the planner's answer holds its sums. Nodes of other domains are told
//! nothing, and their sums are not used.

use heathpitch_core::{Millis, Name};
use heathpitch_net::{FeedDemand, FeedPromise, FeedPromiseRate, FeedRequest, FeedResponse};
use heathpitch_policy::{MAX_DEMAND_ENTRIES, PromiseSums, RetryPromise, SlotCapacity};

use super::state::Control;

/// # Polls of this node
impl Control {
    /// Adds to a poll of `source` what it has to know of promised retries.
    ///
    /// Admitted streams of a service are added only if the poll does not list its demand anyway.
    pub(super) fn send_promises(&self, request: &mut FeedRequest, source: &Name) {
        if !self.promises_retries() || !self.sources.borrow().is_local(source) {
            return;
        }
        let mut book = self.shared.retry_book.lock();
        let promises = book.send_promises(self.now()).into_iter();
        request.promises = promises.map(to_feed).collect();
        for (service, admitted) in book.send_admitted() {
            let listed = request.demand.iter().any(|d| d.service == service);
            if !listed && request.demand.len() < MAX_DEMAND_ENTRIES {
                request.demand.push(FeedDemand {
                    service,
                    rank: 0,
                    account: 0,
                    asked: admitted,
                    admitted,
                });
            }
        }
    }

    /// Keeps what the last poll would have told, for the next one.
    pub(super) fn promises_unanswered(&self) {
        self.shared.retry_book.lock().poll_failed();
    }

    /// Records the answer of `source` to a poll sent at `sent`.
    pub(super) fn receive_promises(&self, source: &Name, response: &FeedResponse, sent: Millis) {
        if !self.sources.borrow().is_local(source) {
            return;
        }
        if !self.is_domain_planner(source) {
            return self.shared.retry_book.lock().poll_recorded();
        }
        let known = |service: &Name| self.service(service).is_some();
        self.log_unknown(response.promises.iter().map(|p| &p.service), source);
        let promises = response.promises.iter().filter(|p| known(&p.service));
        let rates = response.promise_rates.iter().filter(|r| known(&r.service));
        let sums = PromiseSums {
            promises: promises.map(from_feed).collect(),
            capacities: rates
                .map(|r| SlotCapacity { service: r.service.clone(), per_slot: r.per_slot })
                .collect(),
        };
        let recorded = self.shared.retry_book.lock().poll_answered(&sums, sent, self.now());
        if let Err(e) = recorded {
            log::warn!("promised retries from node {source} dropped: {e}");
        }
    }

    /// Whether `node` is the planner of this failure domain, as far as this node knows.
    fn is_domain_planner(&self, node: &Name) -> bool {
        let own = self.domain();
        let sources = self.sources.borrow();
        sources.planners().any(|(domain, p)| *domain == own && &p.source.node == node)
    }
}

/// # Polls by other nodes
impl Control {
    /// Records the promised retries in a poll; returns those of the domain and the capacities of
    /// slots, if this node is the planner. The admitted streams in its demand count only if its
    /// demand does: repeated ones would overstate the capacity.
    pub(super) fn answer_promises(
        &self,
        request: &FeedRequest,
        demand_counts: bool,
    ) -> (Vec<FeedPromise>, Vec<FeedPromiseRate>) {
        if !self.promises_retries() || request.reports_only {
            return Default::default();
        }
        let (node, now) = (&request.node, self.now());
        let known = |service: &Name| self.service(service).is_some();
        self.log_unknown(request.promises.iter().map(|p| &p.service), node);
        let promises = request.promises.iter().filter(|p| known(&p.service));
        let promises: Vec<RetryPromise> = promises.map(from_feed).collect();
        let mut book = self.shared.retry_book.lock();
        let demand = request.demand.iter().filter(|d| demand_counts && known(&d.service));
        for demand in demand {
            book.record_admitted(&demand.service, demand.admitted, now);
        }
        let answer = book.answer_poll(node, &promises, now);
        // Calls wait for the book, so it is released before anything is logged.
        drop(book);
        let sums = answer.unwrap_or_else(|e| {
            log::warn!("promised retries from node {node} dropped: {e}");
            PromiseSums::default()
        });
        let rates = sums.capacities.into_iter().map(to_feed_rate).collect();
        (sums.promises.into_iter().map(to_feed).collect(), rates)
    }
}

/// # Checks
impl Control {
    /// Whether retries of rejected callers are promised by slot.
    fn promises_retries(&self) -> bool {
        self.shared.settings.load().load.returns.is_on()
    }

    /// Logs the first of `services` in a message of node `by` that is unknown here, so that its
    /// entries are dropped.
    fn log_unknown<'a>(&self, mut services: impl Iterator<Item = &'a Name>, by: &Name) {
        if let Some(service) = services.find(|s| self.service(s).is_none()) {
            log::info!("promised retries from node {by} dropped: unknown service {service}");
        }
    }
}

fn from_feed(p: &FeedPromise) -> RetryPromise {
    RetryPromise { service: p.service.clone(), in_ms: p.in_ms, count: p.count }
}

fn to_feed(p: RetryPromise) -> FeedPromise {
    FeedPromise { service: p.service, in_ms: p.in_ms, count: p.count }
}

fn to_feed_rate(c: SlotCapacity) -> FeedPromiseRate {
    FeedPromiseRate { service: c.service, per_slot: c.per_slot }
}
