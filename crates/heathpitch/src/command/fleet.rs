//! Commands that speak to nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use heathpitch_net::{Client, RpcError};
use hyper::Method;
use serde::{Deserialize, Serialize};

use super::arguments::{Arguments, NoArguments, WaitArguments};
use super::error::CommandError;
use super::output::{Form, form, print};

/// Environment variable with a node's admin address.
const NODE: &str = "HEATHPITCH_NODE";
/// Time for a node to answer.
const LIMIT: Duration = Duration::from_secs(2);
/// Time between two looks at the fleet.
const LOOK: Duration = Duration::from_millis(250);

/// One node, as it or a peer says.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct NodeLine {
    node: String,
    domain: String,
    admin: String,
    config: u64,
    #[serde(default)]
    leaving: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct UpstreamLine {
    name: String,
    standing: String,
}

#[derive(Clone, Debug, Deserialize)]
struct NodeStatus {
    node: String,
    domain: String,
    config: u64,
    draining: bool,
    members: Vec<NodeLine>,
    upstreams: Vec<UpstreamLine>,
}

/// All reachable nodes.
#[derive(Debug, Serialize)]
struct FleetStatus {
    nodes: Vec<NodeLine>,
    upstreams: Vec<UpstreamLine>,
}

/// Shows the fleet.
pub(crate) async fn status(arguments: &Arguments, _: &NoArguments) -> Result<(), CommandError> {
    let fleet = look(arguments).await?;
    print(arguments, &fleet, |f| {
        let mut text = format!("{:<16} {:<12} {:<22} {:>8}", "NODE", "DOMAIN", "ADMIN", "CONFIG");
        for n in &f.nodes {
            let state = if n.leaving { " leaving" } else { "" };
            text += &format!(
                "\n{:<16} {:<12} {:<22} {:>8}{state}",
                n.node, n.domain, n.admin, n.config
            );
        }
        text += &format!("\n\n{:<32} STANDING", "UPSTREAM");
        for u in &f.upstreams {
            text += &format!("\n{:<32} {}", u.name, u.standing);
        }
        text
    })
}

/// A request that is sent nowhere because engines ended under it.
#[derive(Debug, Serialize, Deserialize)]
struct HeldLine {
    print: String,
    engines: Vec<String>,
    left_ms: u64,
}

/// Shows the requests that a gateway holds back.
pub(crate) async fn held(arguments: &Arguments, _: &NoArguments) -> Result<(), CommandError> {
    let uri = format!("http://{}/held", admin(arguments)?);
    let call = Client::new().call::<(), Vec<HeldLine>>(Method::GET, &uri, None, LIMIT).await;
    let held = call.map_err(|source| CommandError::Unreached { what: "the node", source })?;
    print(arguments, &held, |lines| {
        let mut text = format!("{:<16} {:>7}  ENGINES THAT ENDED", "REQUEST", "LEFT");
        for l in lines {
            text +=
                &format!("\n{:<16} {:>5} s  {}", l.print, l.left_ms / 1_000, l.engines.join(" "));
        }
        text
    })
}

/// Waits for a revision.
pub(crate) async fn wait(arguments: &Arguments, c: &WaitArguments) -> Result<(), CommandError> {
    in_force(arguments, c.revision, c.timeout).await
}

/// Waits until a revision is in force on every reachable node, and shows progress.
pub(crate) async fn in_force(
    arguments: &Arguments,
    revision: u64,
    seconds: u64,
) -> Result<(), CommandError> {
    let start = Instant::now();
    let mut shown = None;
    loop {
        let fleet = look(arguments).await?;
        let nodes = fleet.nodes.len();
        let current = fleet.nodes.iter().filter(|n| n.config >= revision).count();
        if shown != Some((current, nodes)) {
            shown = Some((current, nodes));
            progress(arguments, revision, current, nodes)?;
        }
        if current == nodes {
            return Ok(());
        }
        if start.elapsed() > Duration::from_secs(seconds) {
            return Err(CommandError::Late { revision, current, nodes, seconds });
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Drains one node.
pub(crate) async fn drain(arguments: &Arguments, _: &NoArguments) -> Result<(), CommandError> {
    let admin = admin(arguments)?;
    let uri = format!("http://{admin}/drain");
    let call = Client::new().call::<(), serde_json::Value>(Method::POST, &uri, None, LIMIT).await;
    let said = call.map_err(|source| CommandError::Unreached { what: "the node", source })?;
    print(arguments, &said, |_| format!("{admin} drains"))
}

fn progress(
    arguments: &Arguments,
    revision: u64,
    current: usize,
    nodes: usize,
) -> Result<(), CommandError> {
    match form(arguments)? {
        Form::Text => println!("revision {revision} is in force on {current} of {nodes} nodes"),
        Form::Json => {
            let line = serde_json::json!({
                "revision": revision, "in_force": current, "nodes": nodes });
            println!("{line}");
        }
    }
    Ok(())
}

/// Asks the given node, then one node of each other failure domain it knows.
async fn look(arguments: &Arguments) -> Result<FleetStatus, CommandError> {
    let first = admin(arguments)?.to_string();
    let client = Client::new();
    let mut nodes: BTreeMap<String, NodeLine> = BTreeMap::new();
    let mut asked: BTreeSet<String> = BTreeSet::new();
    let mut domains: BTreeSet<String> = BTreeSet::new();
    let mut queue = vec![first.clone()];
    let mut upstreams = Vec::new();
    while let Some(address) = queue.pop() {
        if !asked.insert(address.clone()) {
            continue;
        }
        let status = match ask(&client, &address).await {
            Ok(status) => status,
            Err(source) if address == first => {
                return Err(CommandError::Unreached { what: "the node", source });
            }
            Err(_) => continue,
        };
        if address == first {
            upstreams = status.upstreams;
        }
        domains.insert(status.domain.clone());
        let own = NodeLine {
            node: status.node,
            domain: status.domain,
            admin: address,
            config: status.config,
            leaving: status.draining,
        };
        nodes.insert(own.node.clone(), own);
        for line in status.members {
            if !domains.contains(&line.domain) {
                queue.push(line.admin.clone());
            }
            let known = nodes.entry(line.node.clone()).or_insert(line.clone());
            known.config = known.config.max(line.config);
        }
    }
    Ok(FleetStatus { nodes: nodes.into_values().collect(), upstreams })
}

async fn ask(client: &Client, address: &str) -> Result<NodeStatus, RpcError> {
    client.call(Method::GET, &format!("http://{address}/status"), None::<&()>, LIMIT).await
}

fn admin(arguments: &Arguments) -> Result<SocketAddr, CommandError> {
    let given = arguments.node.clone().or_else(|| std::env::var(NODE).ok());
    let text = given.ok_or(CommandError::Missing { option: "--node" })?;
    text.parse().map_err(|_| CommandError::Address { option: "--node", text })
}
