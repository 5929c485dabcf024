//! Small deployment: fakes in this process, nodes as child processes.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use heathpitch_core::{
    Document, Labels, LayerRange, Name, NameError, Revision, Vm, VmRole, VmState,
};
use heathpitch_net::{Client, HttpPlatform, PlatformClient, PutError};
use parking_lot::Mutex;
use serde_json::{Value, json};

use crate::{EngineConfig, FakeEngine, FakePlatform, FakeService, PlatformConfig};

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Error of setting up a deployment.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// I/O error.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Invalid name.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A node did not start.
    #[error("the node did not start")]
    Start,
    /// The configuration was not stored.
    #[error(transparent)]
    Put(#[from] PutError),
}

/// Node as a child process.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    name: Name,
    domain: Name,
    state: VmState,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    log: Arc<Mutex<Vec<String>>>,
}

/// Fakes and nodes.
#[derive(Debug)]
pub struct Deployment {
    binary: PathBuf,
    settings_dir: PathBuf,
    /// Platform.
    pub platform: FakePlatform,
    /// Engines.
    pub engines: Vec<(FakeEngine, Vm)>,
    /// Plain services.
    pub services: Vec<(FakeService, Vm)>,
    /// Nodes.
    pub nodes: Vec<NodeProcess>,
}

/// # Setup
impl Deployment {
    /// Deployment with a platform only; its nodes run `binary`.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] if the platform cannot be started or the settings directory cannot be
    /// created.
    pub fn new(binary: &Path) -> Result<Self, DeploymentError> {
        let platform = FakePlatform::spawn(PlatformConfig::default())?;
        let settings_dir = std::env::temp_dir().join(format!(
            "heathpitch-{}-{}",
            std::process::id(),
            platform.address().port()
        ));
        fs::create_dir_all(&settings_dir)?;
        Ok(Self {
            binary: binary.to_owned(),
            settings_dir,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
        })
    }

    /// Starts an engine in `domain`, with label `kind=engine`, and returns its index.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] if it cannot be started.
    pub fn add_engine(
        &mut self,
        config: EngineConfig,
        domain: &str,
    ) -> Result<usize, DeploymentError> {
        let engine = FakeEngine::spawn(config)?;
        let vm = vm(engine.name().clone(), VmRole::Engine, engine.address(), domain)?;
        self.engines.push((engine, vm));
        Ok(self.engines.len() - 1)
    }

    /// Starts engines for complete chains: `replicas` of each of `stages` equal parts of the model.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] if an engine cannot be started.
    pub fn add_chains(
        &mut self,
        model: &Name,
        layers: u32,
        stages: u32,
        replicas: u32,
        domain: &str,
    ) -> Result<(), DeploymentError> {
        for replica in 0..replicas {
            for stage in 0..stages {
                let range = LayerRange::new(layers * stage / stages, layers * (stage + 1) / stages);
                let name =
                    format!("{domain}-{model}-{stage}{}", replica_letter(replica)).parse()?;
                let config = EngineConfig::new(name, model.clone(), "v1".parse()?, range);
                self.add_engine(config, domain)?;
            }
        }
        Ok(())
    }

    /// Starts a plain service in `domain`, with label `kind=service`, and returns its index.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] if it cannot be started.
    pub fn add_service(&mut self, name: &str, domain: &str) -> Result<usize, DeploymentError> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let service = FakeService::spawn(name.parse()?, address, Duration::from_millis(5))?;
        let vm = vm(service.name().clone(), VmRole::Service, service.address(), domain)?;
        self.services.push((service, vm));
        Ok(self.services.len() - 1)
    }

    /// Publishes the list of VMs on the platform.
    pub fn publish_vms(&self) {
        let engines = self.engines.iter().map(|(_, vm)| vm.clone());
        let services = self.services.iter().map(|(_, vm)| vm.clone());
        let nodes = self.nodes.iter().filter_map(NodeProcess::vm);
        self.platform.publish_vms(engines.chain(services).chain(nodes).collect());
    }

    /// Stores a configuration document.
    ///
    /// # Errors
    ///
    /// [`DeploymentError::Put`] if the platform rejects it.
    pub async fn put_config(&self, document: &Document) -> Result<Revision, DeploymentError> {
        let platform = HttpPlatform::new(Client::new(), &[self.platform.address()]);
        let text = serde_json::to_string(document).map_err(io::Error::other)?;
        let current = self.platform.stored("config").map_or(Revision(0), |s| s.revision);
        Ok(platform.put("config", current, text).await?)
    }
}

/// # Nodes
impl Deployment {
    /// Starts a node with short intervals and returns its index; `adjust` may change its settings.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] if it does not start in time.
    pub fn start_node(
        &mut self,
        name: &str,
        domain: &str,
        adjust: impl FnOnce(&mut Value),
    ) -> Result<usize, DeploymentError> {
        let seeds: Vec<String> = self.nodes.iter().map(|n| n.peer.to_string()).collect();
        let mut settings = json!({
            "node": name, "domain": domain,
            "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "peer": { "listen": "127.0.0.1:0", "seeds": seeds },
            "platform": [self.platform.address().to_string()],
            "threads": 2,
            "timing": { "platform_ms": 300, "engine_ms": 200, "peer_ms": 100, "lease_ms": 1_500,
                "notice_ms": 300, "drain_ms": 20_000 },
        });
        adjust(&mut settings);
        let path = self.settings_dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let node = NodeProcess::spawn(&self.binary, &path, name, domain)?;
        self.nodes.push(node);
        Ok(self.nodes.len() - 1)
    }

    /// Waits until every node serves `revision` and reports `upstreams` upstreams as up; false on
    /// time-out.
    pub async fn wait_ready(
        &self,
        revision: Revision,
        upstreams: usize,
        timeout: Duration,
    ) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            let mut ready = 0;
            for node in &self.nodes {
                let status = node.status().await;
                let up = status["upstreams"]
                    .as_array()
                    .map_or(0, |l| l.iter().filter(|u| u["standing"] == "up").count());
                let current = status["config"].as_u64().unwrap_or(0) >= revision.0;
                ready += usize::from(current && up >= upstreams);
            }
            if ready == self.nodes.len() {
                return true;
            }
            if Instant::now() > deadline {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        // A leftover directory in the temporary directory does no harm.
        let _ = fs::remove_dir_all(&self.settings_dir);
    }
}

impl NodeProcess {
    fn spawn(
        binary: &Path,
        settings: &Path,
        name: &str,
        domain: &str,
    ) -> Result<Self, DeploymentError> {
        let mut child = Command::new(binary)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or(DeploymentError::Start)?;
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = log.clone();
        let (sender, started) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let value: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
                if value["event"] == "started" {
                    let _ = sender.send(value);
                }
                lines.lock().push(line);
            }
        });
        let Ok(value) = started.recv_timeout(START_TIMEOUT) else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(DeploymentError::Start);
        };
        let address = |key: &str| {
            let text = value[key].as_str().unwrap_or_default();
            text.parse().map_err(|_| DeploymentError::Start)
        };
        Ok(Self {
            listen: address("listen")?,
            admin: address("admin")?,
            peer: address("peer")?,
            name: name.parse()?,
            domain: domain.parse()?,
            state: VmState::Live,
            child,
            log,
        })
    }

    /// Process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// CPU time used so far, seconds.
    ///
    /// # Errors
    ///
    /// I/O error, also if `/proc` lacks the value.
    pub fn cpu_seconds(&self) -> io::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid()))?;
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
        let ticks: Vec<f64> = fields.skip(11).take(2).filter_map(|f| f.parse().ok()).collect();
        match ticks[..] {
            [user, system] => Ok((user + system) / TICKS_PER_SECOND),
            _ => Err(io::Error::other("no CPU time in /proc")),
        }
    }

    /// Resident memory, kilobytes.
    ///
    /// # Errors
    ///
    /// I/O error, also if `/proc` lacks the value.
    pub fn resident_kb(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let value = line.and_then(|l| l.split_whitespace().next()).and_then(|f| f.parse().ok());
        value.ok_or_else(|| io::Error::other("no resident memory in /proc"))
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// I/O error of the system call.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        Command::new("kill").arg(format!("-{signal}")).arg(pid).status().map(drop)
    }

    /// Waits for the process to exit and returns its exit code.
    ///
    /// # Errors
    ///
    /// I/O error of the system call.
    pub fn wait_exit(&mut self) -> io::Result<Option<i32>> {
        self.child.wait().map(|s| s.code())
    }

    /// Log lines so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().clone()
    }

    /// Status from the admin interface; null if the node does not answer.
    pub async fn status(&self) -> Value {
        let uri = format!("http://{}/status", self.admin);
        let timeout = Duration::from_secs(2);
        let answer = Client::new().call(hyper::Method::GET, &uri, None::<&()>, timeout).await;
        answer.unwrap_or(Value::Null)
    }

    /// Marks the VM as leaving in the next published list.
    pub fn mark_leaving(&mut self) {
        self.state = VmState::Leaving;
    }

    fn vm(&self) -> Option<Vm> {
        let mut vm = vm(self.name.clone(), VmRole::Entry, self.peer, self.domain.as_str()).ok()?;
        vm.state = self.state;
        Some(vm)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of the node binary built next to the running example.
///
/// # Errors
///
/// I/O error if the path of the running program is unknown.
pub fn node_binary() -> io::Result<PathBuf> {
    let program = std::env::current_exe()?;
    let dir = program.parent().and_then(Path::parent);
    dir.map(|d| d.join("heathpitchd")).ok_or_else(|| io::Error::other("no parent directory"))
}

fn vm(name: Name, role: VmRole, address: SocketAddr, domain: &str) -> Result<Vm, NameError> {
    let kind = match role {
        VmRole::Entry => "entry",
        VmRole::Engine => "engine",
        VmRole::Service => "service",
    };
    Ok(Vm {
        name,
        role,
        address: address.into(),
        domain: domain.parse()?,
        accelerator: None,
        labels: Labels::try_from([("kind", kind), ("domain", domain)])?,
        state: VmState::Live,
    })
}

fn replica_letter(i: u32) -> char {
    char::from_u32('a' as u32 + i).unwrap_or('z')
}
