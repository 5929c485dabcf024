//! Fake platform: key-value store, leases and the list of VMs.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heathpitch_core::{Epoch, Millis, Name, Revision, Vm};
use heathpitch_net::{Lease, Stored, VmList};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::host::Host;
use crate::platform_http;

/// Properties of a fake platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Listen address; port 0 picks a free port.
    pub address: SocketAddr,
    /// Allowed writes per second.
    pub write_rate: f64,
    /// Allowed reads per second.
    pub read_rate: f64,
    /// Duration of each call.
    pub call_delay: Duration,
    /// Delay until a published list of VMs becomes visible.
    pub list_lag: Duration,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            write_rate: 100.0,
            read_rate: 2_000.0,
            call_delay: Duration::from_millis(2),
            list_lag: Duration::from_millis(200),
        }
    }
}

/// Fault of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFault {
    /// Answer each call with 503.
    #[serde(rename = "down")]
    Unavailable,
    /// Delay each call by this many milliseconds more.
    Slow(Millis),
    /// Execute this many writes but drop their responses.
    #[serde(rename = "lose_writes")]
    LoseWriteResponses(u32),
    /// Answer reads with the value before the latest write.
    #[serde(rename = "stale")]
    StaleReads(bool),
    /// Clear all faults.
    #[serde(rename = "heal")]
    Clear,
}

/// Number of calls received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads; a long poll counts as one.
    pub reads: u64,
    /// Writes, including lease calls.
    pub writes: u64,
    /// Calls refused because of their rate.
    pub refused: u64,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) values: BTreeMap<String, Stored>,
    pub(crate) previous: BTreeMap<String, Option<Stored>>,
    pub(crate) revision: u64,
    leases: BTreeMap<String, (Lease, Instant)>,
    vm_lists: Vec<(Instant, VmList)>,
    pub(crate) calls: CallCounts,
    pub(crate) unavailable: bool,
    pub(crate) extra_delay: Millis,
    /// Number of write responses still to drop.
    pub(crate) lost_responses: u32,
    pub(crate) stale_reads: bool,
}

#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) config: PlatformConfig,
    pub(crate) state: Mutex<State>,
    pub(crate) changed: watch::Sender<u64>,
    /// Rate limits of reads and of writes.
    pub(crate) rates: Mutex<(heathpitch_policy::Bucket, heathpitch_policy::Bucket)>,
    pub(crate) start: Instant,
}

/// Running fake platform.
#[derive(Debug)]
pub struct FakePlatform {
    host: Host,
    platform: Arc<Platform>,
}

impl FakePlatform {
    /// Starts a platform with an empty store.
    ///
    /// # Errors
    ///
    /// I/O error if the address cannot be bound.
    pub fn spawn(config: PlatformConfig) -> io::Result<Self> {
        let bucket = |rate: f64| heathpitch_policy::Bucket::new(rate, rate, 0);
        let platform = Arc::new(Platform {
            rates: Mutex::new((bucket(config.read_rate), bucket(config.write_rate))),
            config,
            state: Mutex::default(),
            changed: watch::Sender::new(0),
            start: Instant::now(),
        });
        let shared = platform.clone();
        let host = Host::spawn(platform.config.address, move |request| {
            platform_http::handle(shared.clone(), request)
        })?;
        Ok(Self { host, platform })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Replaces the list of VMs.
    pub fn publish_vms(&self, vms: Vec<Vm>) {
        self.platform.publish_vms(vms);
    }

    /// Injects a fault.
    pub fn inject(&self, fault: PlatformFault) {
        self.platform.inject(fault);
    }

    /// Number of calls so far.
    pub fn calls(&self) -> CallCounts {
        self.platform.state.lock().calls
    }

    /// Stored value of a key.
    pub fn stored(&self, key: &str) -> Option<Stored> {
        self.platform.state.lock().values.get(key).cloned()
    }

    /// Stops the platform at once, as on SIGKILL.
    pub fn kill(&self) {
        self.host.kill();
    }
}

impl Platform {
    /// Replaces the list of VMs.
    pub(crate) fn publish_vms(&self, vms: Vec<Vm>) {
        let mut state = self.state.lock();
        state.revision += 1;
        let number = Revision(state.revision);
        state.vm_lists.push((Instant::now(), VmList { number, vms }));
    }

    /// Latest list that is visible after `list_lag`.
    pub(crate) fn visible_vms(&self) -> Option<VmList> {
        let state = self.state.lock();
        let visible = |l: &&(Instant, VmList)| l.0.elapsed() >= self.config.list_lag;
        state.vm_lists.iter().rev().find(visible).map(|l| l.1.clone())
    }

    /// Activates a fault.
    pub(crate) fn inject(&self, fault: PlatformFault) {
        let mut state = self.state.lock();
        match fault {
            PlatformFault::Unavailable => state.unavailable = true,
            PlatformFault::Slow(time) => state.extra_delay = time,
            PlatformFault::LoseWriteResponses(n) => state.lost_responses = n,
            PlatformFault::StaleReads(on) => state.stale_reads = on,
            PlatformFault::Clear => {
                state.unavailable = false;
                state.extra_delay = 0;
                state.lost_responses = 0;
                state.stale_reads = false;
            }
        }
    }

    /// Compare-and-swap by revision; returns the current revision on a mismatch.
    pub(crate) fn put(
        &self,
        key: &str,
        expect: Revision,
        value: String,
    ) -> Result<Revision, Revision> {
        let mut state = self.state.lock();
        let current = state.values.get(key).map_or(Revision(0), |s| s.revision);
        if current != expect {
            return Err(current);
        }
        state.revision += 1;
        let revision = Revision(state.revision);
        let previous = state.values.insert(key.to_owned(), Stored { revision, value });
        state.previous.insert(key.to_owned(), previous);
        self.changed.send_replace(revision.0);
        Ok(revision)
    }

    /// Acquires or renews a lease; true if the caller now holds it.
    pub(crate) fn acquire_lease(&self, name: &str, holder: Name, ttl: Millis) -> (bool, Lease) {
        let mut state = self.state.lock();
        let expiry = Instant::now() + Duration::from_millis(ttl);
        let remaining =
            |at: Instant| at.saturating_duration_since(Instant::now()).as_millis() as Millis;
        match state.leases.get(name).cloned() {
            Some((lease, end)) if lease.holder != holder && end > Instant::now() => {
                (false, Lease { left: remaining(end), ..lease })
            }
            existing => {
                let epoch = match existing {
                    Some((lease, _)) if lease.holder == holder => lease.epoch,
                    Some((lease, _)) => Epoch(lease.epoch.0 + 1),
                    None => Epoch(1),
                };
                let lease = Lease { holder, epoch, left: ttl };
                state.leases.insert(name.to_owned(), (lease.clone(), expiry));
                (true, lease)
            }
        }
    }
}
