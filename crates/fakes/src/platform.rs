//! A stand-in for the platform: key-value service, leases, list of VMs.

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

/// What a stand-in platform is like.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// `ip:port`; port 0 takes a free one.
    pub address: SocketAddr,
    /// Writes a second before calls are turned away.
    pub write_rate: f64,
    /// Reads a second before calls are turned away.
    pub read_rate: f64,
    /// Time each call takes.
    pub call_delay: Duration,
    /// Time by which the list of VMs lags.
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

/// A fault of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformFault {
    /// Answer every call with 503.
    #[serde(rename = "down")]
    Unavailable,
    /// Take this many milliseconds longer for each call.
    Slow(Millis),
    /// Carry out this many writes without answering.
    #[serde(rename = "lose_writes")]
    LoseWriteResponses(u32),
    /// Answer reads with what stood before the newest write.
    #[serde(rename = "stale")]
    StaleReads(bool),
    /// Show no fault any more.
    #[serde(rename = "heal")]
    Clear,
}

/// CallCounts counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads, a waiting watch as one.
    pub reads: u64,
    /// Writes and lease calls.
    pub writes: u64,
    /// CallCounts turned away for their rate.
    pub refused: u64,
}

#[derive(Debug, Default)]
pub(crate) struct State {
    pub(crate) values: BTreeMap<String, Stored>,
    pub(crate) before: BTreeMap<String, Option<Stored>>,
    pub(crate) revision: u64,
    leases: BTreeMap<String, (Lease, Instant)>,
    lists: Vec<(Instant, VmList)>,
    pub(crate) calls: CallCounts,
    pub(crate) down: bool,
    pub(crate) slow: Millis,
    pub(crate) lose: u32,
    pub(crate) stale: bool,
}

#[derive(Debug)]
pub(crate) struct Platform {
    pub(crate) config: PlatformConfig,
    pub(crate) state: Mutex<State>,
    pub(crate) changed: watch::Sender<u64>,
    pub(crate) rates: Mutex<(heathpitch_policy::Bucket, heathpitch_policy::Bucket)>,
    pub(crate) start: Instant,
}

/// A running stand-in platform.
#[derive(Debug)]
pub struct FakePlatform {
    host: Host,
    platform: Arc<Platform>,
}

impl FakePlatform {
    /// Starts a platform with nothing stored.
    ///
    /// # Errors
    ///
    /// What the system says if the address cannot be bound.
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

    /// Address bound.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Replaces the list of VMs.
    pub fn publish_vms(&self, vms: Vec<Vm>) {
        self.platform.publish_vms(vms);
    }

    /// Shows a fault.
    pub fn inject(&self, fault: PlatformFault) {
        self.platform.inject(fault);
    }

    /// CallCounts so far.
    pub fn calls(&self) -> CallCounts {
        self.platform.state.lock().calls
    }

    /// A stored value.
    pub fn stored(&self, key: &str) -> Option<Stored> {
        self.platform.state.lock().values.get(key).cloned()
    }

    /// Ends everything at once.
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
        state.lists.push((Instant::now(), VmList { number, vms }));
    }

    /// The list as it shows after its lag.
    pub(crate) fn listed(&self) -> Option<VmList> {
        let state = self.state.lock();
        let old = |l: &&(Instant, VmList)| l.0.elapsed() >= self.config.list_lag;
        state.lists.iter().rev().find(old).map(|l| l.1.clone())
    }

    /// Puts a fault in force.
    pub(crate) fn inject(&self, fault: PlatformFault) {
        let mut state = self.state.lock();
        match fault {
            PlatformFault::Unavailable => state.down = true,
            PlatformFault::Slow(time) => state.slow = time,
            PlatformFault::LoseWriteResponses(n) => state.lose = n,
            PlatformFault::StaleReads(on) => state.stale = on,
            PlatformFault::Clear => {
                state.down = false;
                state.slow = 0;
                state.lose = 0;
                state.stale = false;
            }
        }
    }

    /// Compare-and-swap; the revision that stands if it did not match.
    pub(crate) fn put(
        &self,
        key: &str,
        expect: Revision,
        value: String,
    ) -> Result<Revision, Revision> {
        let mut state = self.state.lock();
        let stands = state.values.get(key).map_or(Revision(0), |s| s.revision);
        if stands != expect {
            return Err(stands);
        }
        state.revision += 1;
        let revision = Revision(state.revision);
        let before = state.values.insert(key.to_owned(), Stored { revision, value });
        state.before.insert(key.to_owned(), before);
        self.changed.send_replace(revision.0);
        Ok(revision)
    }

    /// Takes or renews a lease; true if the caller holds it now.
    pub(crate) fn lease(&self, name: &str, holder: Name, ttl: Millis) -> (bool, Lease) {
        let mut state = self.state.lock();
        let until = Instant::now() + Duration::from_millis(ttl);
        let left = |at: Instant| at.saturating_duration_since(Instant::now()).as_millis() as Millis;
        match state.leases.get(name).cloned() {
            Some((lease, end)) if lease.holder != holder && end > Instant::now() => {
                (false, Lease { left: left(end), ..lease })
            }
            old => {
                let epoch = match old {
                    Some((lease, _)) if lease.holder == holder => lease.epoch,
                    Some((lease, _)) => Epoch(lease.epoch.0 + 1),
                    None => Epoch(1),
                };
                let lease = Lease { holder, epoch, left: ttl };
                state.leases.insert(name.to_owned(), (lease.clone(), until));
                (true, lease)
            }
        }
    }
}
