//! Retries, bounded per service so that all nodes together stay within the agreed limit.
//!
//! A node spends the part of the limit that its own calls earn. Anything else is issued by the planners of the
//! failure domains, since neither a node that has just started nor one that does not know the fleet can tell what
//! is left. While no planner answers, a node has a small reserve.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use heathpitch_core::{Millis, Name};
use heathpitch_net::RetryRequest;
use heathpitch_policy::{RetryReserve, RetryShare, RetryWindow};
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::oneshot;

use super::admit::Call;
use crate::gateway::event::GatewayEvent;
use crate::gateway::shared::{ControlMessage, RetryGrant, RetryWanted, Shared};

/// Time for which a call waits for a retry: requests to all issuers, one of which does not answer.
const ISSUE_TIMEOUT: Duration = Duration::from_millis(200);
/// Mean time without requests after none was issued.
const BACKOFF_MS: Millis = 400;

/// Retry budgets of one node, by service.
pub(crate) struct RetryBudgets {
    shared: Arc<Shared>,
    services: Mutex<HashMap<Name, ServiceBudget>>,
}

/// Retry budget of one service.
struct ServiceBudget {
    window: RetryWindow,
    reserve: RetryReserve,
    /// Time before which no retry is requested from issuers.
    request_at: Millis,
}

impl ServiceBudget {
    fn new(now: Millis) -> Self {
        Self { window: RetryWindow::default(), reserve: RetryReserve::new(now), request_at: 0 }
    }
}

/// Where a retry comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetrySource {
    /// The calls that this node received.
    Own,
    /// A planner.
    Issuer,
    /// The reserve for the time without a planner.
    Reserve,
}

/// # Counts
impl RetryBudgets {
    /// Budgets without any calls or retries.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared, services: Mutex::default() }
    }

    /// Counts a call, which adds to the budget.
    pub(crate) fn record_call(&self, service: &Name) {
        let (share, now) = (self.share(), self.shared.now());
        let mut services = self.services.lock();
        let budget = services.entry(service.clone()).or_insert_with(|| ServiceBudget::new(now));
        budget.window.call(&share, now);
    }

    fn share(&self) -> RetryShare {
        agreed_limit(&self.shared).of_node()
    }
}

/// # Retries
impl RetryBudgets {
    /// Takes a retry of a call; false if none is left.
    pub(crate) async fn spend(&self, call: &Call) -> bool {
        let service = &call.service.name;
        let source = self.acquire(service).await;
        let label = match source {
            Some(RetrySource::Own) => "own",
            Some(RetrySource::Issuer) => "issued",
            Some(RetrySource::Reserve) => "reserve",
            None => "denied",
        };
        self.shared.metrics.retries.with_label_values(&[label]).inc();
        if source.is_none() {
            let (request, service) = (call.head.id.to_string(), service.clone());
            let (calls, spent) = self.counts(&service);
            GatewayEvent::RetryDenied { request, service, spent, calls }.log();
        }
        source.is_some()
    }

    async fn acquire(&self, service: &Name) -> Option<RetrySource> {
        let (share, now) = (self.share(), self.shared.now());
        let calls = {
            let mut services = self.services.lock();
            let budget = services.entry(service.clone()).or_insert_with(|| ServiceBudget::new(now));
            match budget.window.spend(&share, now) {
                true => return Some(RetrySource::Own),
                false if now < budget.request_at => return None,
                false => budget.window.report(&share, now),
            }
        };
        let grant = self.request(service, calls).await;
        let now = self.shared.now();
        let mut services = self.services.lock();
        let budget = services.get_mut(service)?;
        let is_source = match grant {
            RetryGrant::Issued => return Some(RetrySource::Issuer),
            RetryGrant::Exhausted => false,
            RetryGrant::NoIssuer => {
                let nodes = self.shared.table.load().fleet_size;
                let agreed = agreed_limit(&self.shared);
                nodes.is_some_and(|nodes| budget.reserve.take(&agreed, nodes, now))
            }
        };
        if !is_source {
            budget.request_at = now + rand::rng().random_range(BACKOFF_MS / 2..=BACKOFF_MS * 3 / 2);
        }
        is_source.then_some(RetrySource::Reserve)
    }

    /// Requests a retry from issuers, and reports calls of this node to them.
    async fn request(&self, service: &Name, calls: u32) -> RetryGrant {
        let (reply, granted) = oneshot::channel();
        let request = RetryRequest { service: service.clone(), calls };
        let wanted = ControlMessage::RetryWanted(RetryWanted { request, reply });
        if !self.shared.notify_control(wanted) {
            return RetryGrant::Exhausted;
        }
        match tokio::time::timeout(ISSUE_TIMEOUT, granted).await {
            Ok(Ok(grant)) => grant,
            Ok(Err(_)) | Err(_) => RetryGrant::NoIssuer,
        }
    }

    fn counts(&self, service: &Name) -> (u32, u32) {
        self.services.lock().get(service).map_or((0, 0), |budget| budget.window.counts())
    }
}

/// Limit agreed for the fleet.
pub(crate) fn agreed_limit(shared: &Shared) -> RetryShare {
    let bounds = &shared.settings.load().bounds;
    RetryShare {
        ratio: bounds.retry_ratio,
        slack: bounds.retry_slack,
        window: (bounds.retry_window_s * 1e3) as Millis,
    }
}
