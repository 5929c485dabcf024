//! Case 1: a removed key works on without end, because nodes take a configuration that they rejected for proven.
//!
//! The operator takes a key away and adds a client account in one version. The name of the new account has a blank,
//! which the nodes do not accept, so they keep the version before; but they go on to count it as the newest one, and
//! run requests with the key that was taken away.

#[path = "../standin.rs"]
mod standin;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::{Gateway, Reader, Record, Store};

/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long requests are sent after the change.
const SENDING: Duration = Duration::from_secs(30);
/// Name of the added tenant, and the one that it has without the disruption.
const NAMES: [&str; 2] = ["Fehlerwacht Isar", "fehlerwacht-isar"];

fn config(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-book\",\"host\":\"desk.example\",\"pathPrefix\":\"/book/\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":1200,\"targetLatencyMs\":150,\"priority\":2,\"service\":\"tracker\",\
         \"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"tracker\",\"healthPath\":\"/health\",\"maxConns\":49,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{tenants}]}}"
    )
}

fn tenant(name: &str, keys: &str) -> String {
    format!("{{\"name\":\"{name}\",\"apiKeys\":[{keys}]}}")
}

/// Sends one request with a key and returns the status of the answer.
fn send(front: SocketAddr, id: &str, key: &str) -> u16 {
    let Ok(mut stream) = TcpStream::connect(front) else { return 0 };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(2_500)));
    let more = format!("Authorization: Bearer {key}\r\n");
    let _ = stream.write_all(&standin::request("POST", "/book/1", id, 2_500, &more, b"x"));
    Reader::new(stream).head().map_or(0, |h| h.status())
}

fn main() {
    let out = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let out = Path::new(&out);
    let (trouble, record, dir) = (standin::trouble(), Record::new(), standin::temp_dir("1"));
    let store = Store::start();
    store.put("op/config", &config(3, &tenant("desk", "\"k-removed\",\"k-kept\"")));
    // Ids of the requests that servers have run.
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    for (id, zone) in [("i-a1", "muc-a"), ("i-b1", "muc-b"), ("i-c1", "muc-c")] {
        let (log, runs) = (record.clone(), runs.clone());
        let address = standin::server(id, move |request, stream| {
            let call = request.header("x-request-id").unwrap_or("").to_owned();
            let tenant = request.header("x-tenant").unwrap_or("none").to_owned();
            log.add(format!("server {id} runs {call} for tenant {tenant}"));
            runs.lock().unwrap().push(call.clone());
            let head = standin::answer_head("200 OK", &call, 2);
            stream.write_all(format!("{head}\r\nok").as_bytes()).is_ok()
        });
        let entry = standin::server_entry("tracker", address, zone, 6, "ready", 1);
        store.put(&format!("servers/{id}"), &entry);
    }
    let zones = ["muc-a", "muc-b", "muc-c"];
    let controls = [(); 3].map(|()| standin::free_port());
    let start = |i: usize| {
        let name = format!("edge-{}-1", zones[i]);
        Gateway::start(&dir, &name, zones[i], &zones, store.address, controls[i], &controls)
    };
    let nodes = [start(0), start(1), start(2)];
    let fail = |why: &str| {
        record.add(why);
        record.write(&out.join("record.txt"));
    };
    if !nodes.iter().all(|n| n.wait_ready(Duration::from_secs(20))) {
        fail("a node did not become ready");
        drop(nodes);
        let _ = std::fs::remove_dir_all(&dir);
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(4));
    let before = nodes.iter().enumerate().all(|(i, n)| {
        let statuses = [
            send(n.front, &format!("b{i}"), "k-removed"),
            send(n.front, &format!("c{i}"), "k-kept"),
        ];
        record.add(format!("before the change {} answers {statuses:?} to both keys", n.name));
        statuses == [200, 200]
    });

    let name = NAMES[usize::from(!trouble)];
    let tenants = format!("{},{}", tenant("desk", "\"k-kept\""), tenant(name, "\"k-added\""));
    store.put("op/config", &config(7, &tenants));
    let acknowledged = Instant::now();
    record.add(format!("the store has taken version 7: without k-removed, with tenant {name}"));

    let mut late = Vec::new();
    let (mut denied, mut added) = (0, 0);
    for n in 0.. {
        if acknowledged.elapsed() >= SENDING {
            break;
        }
        let node = &nodes[n % 3];
        let (id, sent) = (format!("r{n}"), acknowledged.elapsed());
        let status = send(node.front, &id, "k-removed");
        record.add(format!(
            "{id} with k-removed at {}, {} ms after the confirmation: {status}",
            node.name,
            sent.as_millis()
        ));
        if sent > REVOKE {
            late.push(id);
        }
        if sent > Duration::from_millis(2_000) {
            added += 1;
            let status = send(node.front, &format!("a{n}"), "k-added");
            denied += usize::from(status == 401);
            record.add(format!("a{n} with k-added at {}: {status}", node.name));
        }
        thread::sleep(Duration::from_millis(200));
    }
    for node in &nodes {
        record.add(format!("{} calls itself ready: {}", node.name, node.is_ready()));
    }
    let runs = runs.lock().unwrap();
    let ran = late.iter().filter(|id| runs.contains(id)).count();
    record.add(format!(
        "{} requests with k-removed were sent more than revokeMs after the confirmation, {ran} of them ran; \
         {denied} of {added} with k-added got 401",
        late.len()
    ));
    let broken = ran > 0;
    record.add(if !before {
        "could not run"
    } else if broken {
        "CONFIG is broken"
    } else {
        "CONFIG holds"
    });
    record.write(&out.join("record.txt"));
    drop(nodes);
    let _ = std::fs::remove_dir_all(&dir);
    std::process::exit(if !before { 2 } else { i32::from(broken) });
}
