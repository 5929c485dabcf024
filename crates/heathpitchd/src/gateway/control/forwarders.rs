//! Exchange of the nodes that take calls of others.
//!
//! Each node describes itself in its polls. A planner answers with a sample of its failure domain and of the samples
//! of other planners; nodes ask for one from time to time, and with each poll while a service is cut off from them.
//! A planner takes its own sample. A node thus knows some nodes before it needs them, and goes on with the last
//! sample if it loses its source as well.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use heathpitch_core::{Forwarder, Millis, Name};
use heathpitch_net::FeedRequest;
use heathpitch_policy::sample_forwarders;

use super::state::Control;

/// Age from which a sample is renewed.
const RENEWAL_MS: Millis = 2_000;
/// Interval at which a planner renews its own sample while a service is cut off from it.
const OWN_INTERVAL: Duration = Duration::from_millis(400);
/// Age beyond which the sample of another failure domain is not passed on.
const REMOTE_TTL_MS: Millis = 10_000;

/// Known nodes that take calls of others.
#[derive(Debug, Default)]
pub(super) struct KnownForwarders {
    /// Samples of other failure domains, with the time of each.
    remote: RefCell<HashMap<Name, (Millis, Vec<Forwarder>)>>,
    /// When this node last got a sample.
    renewed: Cell<Option<Millis>>,
}

/// # Requests
impl Control {
    /// How this node takes calls of others; none if it does not, or is stopping.
    pub(super) fn own_forwarder(&self) -> Option<Forwarder> {
        let access = self.shared.forward.filter(|_| !self.stopping())?;
        Some(Forwarder {
            node: self.node(),
            domain: self.domain(),
            address: access.address,
            token: access.token,
            open: self.shared.open_calls.load(Relaxed).min(u32::MAX as usize) as u32,
            unserved: self.shared.reach.unserved(self.now()),
        })
    }

    /// Whether to ask for a sample with the next poll.
    pub(super) fn wants_forwarders(&self) -> bool {
        let renewed = self.known_forwarders.renewed.get();
        self.is_cut_off() || renewed.is_none_or(|at| self.now() >= at + RENEWAL_MS)
    }

    /// Records a sample that this node asked for.
    pub(super) fn receive_forwarders(&self, sample: &[Forwarder]) {
        let own = self.node();
        let others: Vec<Forwarder> = sample.iter().filter(|f| f.node != own).cloned().collect();
        if !others.is_empty() {
            self.known_forwarders.renewed.set(Some(self.now()));
            self.shared.forwarders.lock().replace(others, self.now());
        }
    }

    /// Records the sample of another failure domain, which its planner sent.
    pub(super) fn receive_remote_forwarders(&self, domain: &Name, sample: &[Forwarder]) {
        if sample.is_empty() {
            return;
        }
        let own: Vec<Forwarder> = sample.iter().filter(|f| &f.domain == domain).cloned().collect();
        self.known_forwarders.remote.borrow_mut().insert(domain.clone(), (self.now(), own));
    }
}

/// # Answers
impl Control {
    /// Records how a polling node takes calls, and returns the sample that it asks for.
    pub(super) fn exchange_forwarders(&self, request: &FeedRequest) -> Vec<Forwarder> {
        if !request.reports_only {
            let forwarder = request.forwarder.clone();
            self.followers.borrow_mut().record_forwarder(&request.node, forwarder);
        }
        match request.wants_forwarders {
            true => {
                let domain = request.forwarder.as_ref().map(|f| f.domain.clone());
                self.sample_for(&request.node, &domain.unwrap_or_else(|| self.domain()))
            }
            false => Vec::new(),
        }
    }

    /// A sample for a node of the failure domain `home`.
    fn sample_for(&self, node: &Name, home: &Name) -> Vec<Forwarder> {
        let now = self.now();
        let own = self.own_forwarder();
        let followers = self.followers.borrow();
        let remote = self.known_forwarders.remote.borrow();
        let recent = remote.values().filter(|(at, _)| now < at + REMOTE_TTL_MS);
        let all = own.iter().chain(followers.forwarders(now)).chain(recent.flat_map(|(_, s)| s));
        sample_forwarders(all.filter(|f| &f.node != node), home, &mut rand::rng())
    }
}

/// Renews the sample of a node that is planner, or that polls no other node.
pub(super) async fn run(control: Rc<Control>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(OWN_INTERVAL) => {}
            () = control.forwarders_wanted.notified() => {}
        }
        if control.wants_forwarders() && !control.has_feed() {
            let sample = control.sample_for(&control.node(), &control.domain());
            control.receive_forwarders(&sample);
        }
    }
}
