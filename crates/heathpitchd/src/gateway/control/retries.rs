//! Retries that planners issue to the nodes of their failure domains.
//!
//! A node that has no retry of its own left requests one from the planner of its failure domain, then from others.
//! The slack of the agreed limit is divided among failure domains, whose number is known from the settings, and a
//! domain's planner issues its part ([`RetryPool`]).

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use heathpitch_core::{Millis, Name};
use heathpitch_net::{FeedClient, RetryRequest, RetryResponse, RpcError};
use heathpitch_policy::RetryPool;
use rand::seq::SliceRandom;
use tokio::task::spawn_local;

use super::state::Control;
use crate::gateway::call::agreed_limit;
use crate::gateway::shared::{RetryGrant, RetryWanted};

/// Timeout of a request: many times the delay between failure domains.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
/// Time without requests to an issuer that did not answer or is not active.
const BACKOFF_MS: Millis = 300;
/// Most issuers asked for one retry.
const MAX_ISSUERS: usize = 3;

/// Retries issued by this node, and the issuers of other failure domains.
#[derive(Default)]
pub(super) struct Retries {
    /// Pools of this node as planner, by service.
    pools: RefCell<HashMap<Name, RetryPool>>,
    /// When this node last became planner, and when it ceased to be.
    since: Cell<Millis>,
    released: Cell<Option<Millis>>,
    /// Time before which no retry is requested from the planner of a failure domain.
    request_at: RefCell<HashMap<Name, Millis>>,
}

/// # Issuing
impl Control {
    /// Begins to issue retries as planner, without what this node issued before: another one may have issued some
    /// since. A node that is planner no more goes on for a while.
    pub(super) fn set_retry_issuer(&self, is_planner: bool) {
        match is_planner {
            true => {
                self.retries.pools.borrow_mut().clear();
                self.retries.since.set(self.now());
                self.retries.released.set(None);
            }
            false => self.retries.released.set(Some(self.now())),
        }
    }

    /// Time from which this node is not the only issuer of its failure domain any more; none if it issues nothing.
    fn issues_until(&self) -> Option<Millis> {
        match self.retries.released.get() {
            _ if self.is_planner() => Some(self.leased_until()),
            Some(released) if RetryPool::outlives(released, self.now()) => Some(released),
            Some(_) | None => None,
        }
    }

    /// Issues a retry to a node that requests one.
    pub(super) fn issue_retry(&self, request: &RetryRequest) -> RetryResponse {
        let Some(leased_until) = self.issues_until() else { return RetryResponse::default() };
        let share = agreed_limit(&self.shared).of_domain(self.domain_count());
        let mut pools = self.retries.pools.borrow_mut();
        let new = || RetryPool::new(self.retries.since.get());
        let pool = pools.entry(request.service.clone()).or_insert_with(new);
        let issued = pool.issue(&share, request.calls, leased_until, self.now());
        RetryResponse { active: true, issued }
    }

    /// Number of failure domains.
    fn domain_count(&self) -> usize {
        let settings = self.shared.settings.load();
        let sources = self.sources.borrow();
        let planned = sources.planners().map(|(domain, _)| domain);
        let known = settings.domains.iter().chain([&settings.domain]).chain(planned);
        known.collect::<HashSet<_>>().len()
    }
}

/// # Requests
impl Control {
    /// Requests a retry from up to [`MAX_ISSUERS`] planners, that of this failure domain first.
    async fn request_retry(&self, request: RetryRequest) -> RetryGrant {
        let (mut request, mut grant) = (request, RetryGrant::NoIssuer);
        for domain in self.issuers() {
            let response = self.request_from(&domain, &request).await;
            let active = matches!(response, Ok(RetryResponse { active: true, .. }));
            match response {
                Ok(RetryResponse { issued: true, .. }) => return RetryGrant::Issued,
                Ok(RetryResponse { active: false, .. }) => {}
                // The issuer has counted the calls, or may have.
                Ok(_) | Err(_) => request.calls = 0,
            }
            if active {
                grant = RetryGrant::Exhausted;
            } else {
                let until = self.now() + BACKOFF_MS;
                self.retries.request_at.borrow_mut().insert(domain, until);
            }
        }
        grant
    }

    /// Failure domains whose planners can be asked now, in order.
    fn issuers(&self) -> Vec<Name> {
        let (now, home) = (self.now(), self.domain());
        let request_at = self.retries.request_at.borrow();
        let sources = self.sources.borrow();
        let mut domains: Vec<Name> = sources.planners().map(|(d, _)| d.clone()).collect();
        if self.is_planner() && !domains.contains(&home) {
            domains.push(home.clone());
        }
        domains.retain(|d| request_at.get(d).is_none_or(|at| now >= *at));
        domains.shuffle(&mut rand::rng());
        domains.sort_by_key(|d| *d != home);
        domains.truncate(MAX_ISSUERS);
        domains
    }

    async fn request_from(
        &self,
        domain: &Name,
        request: &RetryRequest,
    ) -> Result<RetryResponse, RpcError> {
        let planner = self.planner_of(domain);
        if *domain == self.domain() && planner.as_ref().is_none_or(|p| p.node == self.node()) {
            return Ok(self.issue_retry(request));
        }
        let unknown = || RpcError::Connect("no planner is known".to_owned());
        let planner = planner.ok_or_else(unknown)?;
        // The first request may have arrived although its response was lost: its calls are not reported again.
        let calls = Cell::new(request.calls);
        let send = async |client: &FeedClient| {
            let request = RetryRequest { calls: calls.take(), ..request.clone() };
            client.request_retry(&request, REQUEST_TIMEOUT).await
        };
        self.ask_planner(domain, &planner, send).await
    }
}

/// Requests a retry for a call of this node.
pub(super) fn spawn_request(control: &Rc<Control>, wanted: RetryWanted) {
    let control = control.clone();
    spawn_local(async move {
        let grant = control.request_retry(wanted.request).await;
        // The call may have stopped waiting; the retry is then not made.
        let _ = wanted.reply.send(grant);
    });
}
