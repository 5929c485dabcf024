//! Commands that query or control nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use heathpitch_net::{Client, RpcError};
use hyper::Method;
use serde::{Deserialize, Serialize};

use super::arguments::{Arguments, NoArguments, WaitArguments};
use super::error::CommandError;
use super::output::{OutputFormat, output_format, print};

/// Environment variable with the admin address of a node.
const NODE_ENV: &str = "HEATHPITCH_NODE";
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two queries of the fleet.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A node as reported by itself or a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct NodeEntry {
    node: String,
    domain: String,
    admin: String,
    config: u64,
    #[serde(rename = "leaving", default)]
    draining: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct UpstreamEntry {
    name: String,
    #[serde(rename = "standing")]
    status: String,
}

#[derive(Clone, Debug, Deserialize)]
struct NodeStatus {
    node: String,
    domain: String,
    config: u64,
    draining: bool,
    members: Vec<NodeEntry>,
    upstreams: Vec<UpstreamEntry>,
}

/// Nodes known to the reachable nodes, and the upstreams of the first one.
#[derive(Debug, Serialize)]
struct FleetStatus {
    nodes: Vec<NodeEntry>,
    upstreams: Vec<UpstreamEntry>,
}

/// Shows the fleet.
pub(crate) async fn status(arguments: &Arguments, _: &NoArguments) -> Result<(), CommandError> {
    let fleet = query_fleet(arguments).await?;
    print(arguments, &fleet, |f| {
        let mut text = format!("{:<16} {:<12} {:<22} {:>8}", "NODE", "DOMAIN", "ADMIN", "CONFIG");
        for n in &f.nodes {
            let state = if n.draining { " leaving" } else { "" };
            text += &format!(
                "\n{:<16} {:<12} {:<22} {:>8}{state}",
                n.node, n.domain, n.admin, n.config
            );
        }
        text += &format!("\n\n{:<32} STANDING", "UPSTREAM");
        for u in &f.upstreams {
            text += &format!("\n{:<32} {}", u.name, u.status);
        }
        text
    })
}

/// A request, or a part of prompts, that is not dispatched because it crashed engines.
#[derive(Debug, Serialize, Deserialize)]
struct HeldRow {
    #[serde(rename = "print")]
    fingerprint: String,
    #[serde(default)]
    kind: HeldKind,
    engines: Vec<String>,
    #[serde(rename = "left_ms")]
    remaining_ms: u64,
}

#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum HeldKind {
    /// A request.
    #[default]
    Request,
    /// Requests of one client account with a part in their prompts.
    AccountPart,
    /// All requests with a part in their prompts.
    Part,
}

impl HeldKind {
    fn label(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::AccountPart => "part, one account",
            Self::Part => "part",
        }
    }
}

/// Shows the requests and parts of prompts that a gateway holds back.
pub(crate) async fn held(arguments: &Arguments, _: &NoArguments) -> Result<(), CommandError> {
    let uri = format!("http://{}/held", admin_address(arguments)?);
    let result =
        Client::new().call::<(), Vec<HeldRow>>(Method::GET, &uri, None, REQUEST_TIMEOUT).await;
    let held = result.map_err(|source| CommandError::Unreachable { what: "the node", source })?;
    print(arguments, &held, |lines| {
        let mut text = format!("{:<16} {:<17} {:>7}  ENGINES THAT ENDED", "PRINT", "KIND", "LEFT");
        for l in lines {
            text += &format!(
                "\n{:<16} {:<17} {:>5} s  {}",
                l.fingerprint,
                l.kind.label(),
                l.remaining_ms / 1_000,
                l.engines.join(" ")
            );
        }
        text
    })
}

/// Waits until a revision is in force.
pub(crate) async fn wait(arguments: &Arguments, c: &WaitArguments) -> Result<(), CommandError> {
    wait_in_force(arguments, c.revision, c.timeout).await
}

/// Waits until a revision is in force on every reachable node and prints progress.
pub(crate) async fn wait_in_force(
    arguments: &Arguments,
    revision: u64,
    seconds: u64,
) -> Result<(), CommandError> {
    let start = Instant::now();
    let mut printed = None;
    loop {
        let fleet = query_fleet(arguments).await?;
        let nodes = fleet.nodes.len();
        let current = fleet.nodes.iter().filter(|n| n.config >= revision).count();
        if printed != Some((current, nodes)) {
            printed = Some((current, nodes));
            print_progress(arguments, revision, current, nodes)?;
        }
        if current == nodes {
            return Ok(());
        }
        if start.elapsed() > Duration::from_secs(seconds) {
            return Err(CommandError::Timeout { revision, current, nodes, seconds });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Drains one node.
pub(crate) async fn drain(arguments: &Arguments, _: &NoArguments) -> Result<(), CommandError> {
    let admin = admin_address(arguments)?;
    let uri = format!("http://{admin}/drain");
    let result = Client::new()
        .call::<(), serde_json::Value>(Method::POST, &uri, None, REQUEST_TIMEOUT)
        .await;
    let response =
        result.map_err(|source| CommandError::Unreachable { what: "the node", source })?;
    print(arguments, &response, |_| format!("{admin} is draining"))
}

fn print_progress(
    arguments: &Arguments,
    revision: u64,
    current: usize,
    nodes: usize,
) -> Result<(), CommandError> {
    match output_format(arguments)? {
        OutputFormat::Text => {
            println!("revision {revision} is in force on {current} of {nodes} nodes")
        }
        OutputFormat::Json => {
            let json = serde_json::json!({
                "revision": revision, "in_force": current, "nodes": nodes });
            println!("{json}");
        }
    }
    Ok(())
}

/// Queries the given node, then a node of each other failure domain that it reports. A node that does not
/// answer is skipped, except for the first.
async fn query_fleet(arguments: &Arguments) -> Result<FleetStatus, CommandError> {
    let first = admin_address(arguments)?.to_string();
    let client = Client::new();
    let mut nodes: BTreeMap<String, NodeEntry> = BTreeMap::new();
    let mut queried: BTreeSet<String> = BTreeSet::new();
    let mut domains: BTreeSet<String> = BTreeSet::new();
    let mut queue = vec![first.clone()];
    let mut upstreams = Vec::new();
    while let Some(address) = queue.pop() {
        if !queried.insert(address.clone()) {
            continue;
        }
        let status = match query_node(&client, &address).await {
            Ok(status) => status,
            Err(source) if address == first => {
                return Err(CommandError::Unreachable { what: "the node", source });
            }
            Err(_) => continue,
        };
        if address == first {
            upstreams = status.upstreams;
        }
        domains.insert(status.domain.clone());
        let reporter = NodeEntry {
            node: status.node,
            domain: status.domain,
            admin: address,
            config: status.config,
            draining: status.draining,
        };
        nodes.insert(reporter.node.clone(), reporter);
        for member in status.members {
            if !domains.contains(&member.domain) {
                queue.push(member.admin.clone());
            }
            let known = nodes.entry(member.node.clone()).or_insert(member.clone());
            known.config = known.config.max(member.config);
        }
    }
    Ok(FleetStatus { nodes: nodes.into_values().collect(), upstreams })
}

async fn query_node(client: &Client, address: &str) -> Result<NodeStatus, RpcError> {
    client
        .call(Method::GET, &format!("http://{address}/status"), None::<&()>, REQUEST_TIMEOUT)
        .await
}

fn admin_address(arguments: &Arguments) -> Result<SocketAddr, CommandError> {
    let given = arguments.node.clone().or_else(|| std::env::var(NODE_ENV).ok());
    let text = given.ok_or(CommandError::MissingOption { option: "--node" })?;
    text.parse().map_err(|_| CommandError::InvalidAddress { option: "--node", text })
}
