//! A small deployment: stand-ins in this process, nodes as processes of their own.

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

/// Clock ticks of a second in /proc.
const TICKS: f64 = 100.0;
/// Time for a node to start.
const START: Duration = Duration::from_secs(10);

/// Why a deployment could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum DeploymentError {
    /// What the system says.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A name is not one.
    #[error(transparent)]
    Name(#[from] NameError),
    /// A node did not start.
    #[error("the node did not start")]
    Start,
    /// The configuration was not stored.
    #[error(transparent)]
    Put(#[from] PutError),
}

/// A node as a process.
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

/// Stand-ins and nodes.
#[derive(Debug)]
pub struct Deployment {
    binary: PathBuf,
    folder: PathBuf,
    /// The platform.
    pub platform: FakePlatform,
    /// Engines.
    pub engines: Vec<(FakeEngine, Vm)>,
    /// Plain services.
    pub services: Vec<(FakeService, Vm)>,
    /// Nodes.
    pub nodes: Vec<NodeProcess>,
}

/// # Set-up
impl Deployment {
    /// A deployment with a platform and nothing else; nodes run `binary`.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] if the platform or the folder for settings cannot be made.
    pub fn new(binary: &Path) -> Result<Self, DeploymentError> {
        let platform = FakePlatform::spawn(PlatformConfig::default())?;
        let folder = std::env::temp_dir().join(format!(
            "heathpitch-{}-{}",
            std::process::id(),
            platform.address().port()
        ));
        fs::create_dir_all(&folder)?;
        Ok(Self {
            binary: binary.to_owned(),
            folder,
            platform,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
        })
    }

    /// Adds an engine in `domain`; its VM has the label `kind=engine`.
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

    /// Adds engines for whole paths: `replicas` of each of `stages` equal parts of the model.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] if one cannot be started.
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
                let name = format!("{domain}-{model}-{stage}{}", letter(replica)).parse()?;
                let config = EngineConfig::new(name, model.clone(), "v1".parse()?, range);
                self.add_engine(config, domain)?;
            }
        }
        Ok(())
    }

    /// Adds a plain service in `domain`; its VM has the label `kind=service`.
    ///
    /// # Errors
    ///
    /// [`DeploymentError`] if it cannot be started.
    pub fn add_service(&mut self, name: &str, domain: &str) -> Result<usize, DeploymentError> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let service = FakeService::spawn(name.parse()?, any, Duration::from_millis(5))?;
        let vm = vm(service.name().clone(), VmRole::Service, service.address(), domain)?;
        self.services.push((service, vm));
        Ok(self.services.len() - 1)
    }

    /// Publishes the list of VMs.
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
    /// [`DeploymentError::Put`] if the platform does not take it.
    pub async fn put_config(&self, document: &Document) -> Result<Revision, DeploymentError> {
        let platform = HttpPlatform::new(Client::new(), &[self.platform.address()]);
        let text = serde_json::to_string(document).map_err(io::Error::other)?;
        let stands = self.platform.stored("config").map_or(Revision(0), |s| s.revision);
        Ok(platform.put("config", stands, text).await?)
    }
}

/// # Nodes
impl Deployment {
    /// Starts a node with quick timing; `adjust` may change its settings.
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
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let node = NodeProcess::spawn(&self.binary, &path, name, domain)?;
        self.nodes.push(node);
        Ok(self.nodes.len() - 1)
    }

    /// Waits until every node serves `revision` and sees `upstreams` upstreams; false if it does
    /// not come to that within `limit`.
    pub async fn wait_ready(&self, revision: Revision, upstreams: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        loop {
            let mut good = 0;
            for node in &self.nodes {
                let status = node.status().await;
                let up = status["upstreams"]
                    .as_array()
                    .map_or(0, |l| l.iter().filter(|u| u["standing"] == "up").count());
                let current = status["config"].as_u64().unwrap_or(0) >= revision.0;
                good += usize::from(current && up >= upstreams);
            }
            if good == self.nodes.len() {
                return true;
            }
            if Instant::now() > end {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.clear();
        // A folder that is left behind in the place for such things does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// # Life
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
        let (told, started) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                let value: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
                if value["event"] == "started" {
                    let _ = told.send(value);
                }
                lines.lock().push(line);
            }
        });
        let Ok(value) = started.recv_timeout(START) else {
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

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Processor time it has used, seconds.
    ///
    /// # Errors
    ///
    /// What the system says, or that /proc does not have the figure.
    pub fn cpu_seconds(&self) -> io::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid()))?;
        let fields = stat.rsplit_once(')').map_or("", |(_, rest)| rest).split_whitespace();
        let ticks: Vec<f64> = fields.skip(11).take(2).filter_map(|f| f.parse().ok()).collect();
        match ticks[..] {
            [user, system] => Ok((user + system) / TICKS),
            _ => Err(io::Error::other("no processor time in /proc")),
        }
    }

    /// Its resident memory, kilobytes.
    ///
    /// # Errors
    ///
    /// What the system says, or that /proc does not have the figure.
    pub fn resident_kb(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()))?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        let figure = line.and_then(|l| l.split_whitespace().next()).and_then(|f| f.parse().ok());
        figure.ok_or_else(|| io::Error::other("no resident memory in /proc"))
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        // A process that has ended already needs no more ending.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        Command::new("kill").arg(format!("-{signal}")).arg(pid).status().map(drop)
    }

    /// Waits for its end and gives its exit code.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn wait_exit(&mut self) -> io::Result<Option<i32>> {
        self.child.wait().map(|s| s.code())
    }

    /// Lines of its log so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().clone()
    }

    /// Its status, null if it does not answer.
    pub async fn status(&self) -> Value {
        let uri = format!("http://{}/status", self.admin);
        let limit = Duration::from_secs(2);
        let answer = Client::new().call(hyper::Method::GET, &uri, None::<&()>, limit).await;
        answer.unwrap_or(Value::Null)
    }

    /// Marks its VM as leaving in the next list.
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

/// The node's binary, where it was built beside the example that runs.
///
/// # Errors
///
/// What the system says of the path of the running program.
pub fn node_binary() -> io::Result<PathBuf> {
    let me = std::env::current_exe()?;
    let folder = me.parent().and_then(Path::parent);
    folder.map(|f| f.join("heathpitchd")).ok_or_else(|| io::Error::other("no folder above"))
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

fn letter(i: u32) -> char {
    char::from_u32('a' as u32 + i).unwrap_or('z')
}
