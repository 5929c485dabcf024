//! Stand-ins for the scripts of the second review: the platform's store, engines and clients, as the users' pages tell
//! them. One program, standard library only: `standin-2 CASE FOLDER`. With `TROUBLE=0` the disruption is left out.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

mod cases;

// ---- JSON, as much as the store needs ----

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(rows) => rows.iter().find(|(k, _)| k == key).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }
    pub fn text(&self) -> &str {
        if let Json::Text(t) = self { t } else { "" }
    }
    pub fn number(&self) -> u64 {
        if let Json::Number(n) = self { *n as u64 } else { 0 }
    }
    pub fn list(&self) -> &[Json] {
        if let Json::List(l) = self { l } else { &[] }
    }
    pub fn parse(text: &str) -> Json {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        Self::value(&chars, &mut at)
    }
    fn space(c: &[char], at: &mut usize) {
        while *at < c.len() && c[*at].is_whitespace() {
            *at += 1;
        }
    }
    fn value(c: &[char], at: &mut usize) -> Json {
        Self::space(c, at);
        match c.get(*at) {
            Some('{') => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    Self::space(c, at);
                    match c.get(*at) {
                        Some('"') => {
                            let key = Self::string(c, at);
                            Self::space(c, at);
                            *at += 1;
                            rows.push((key, Self::value(c, at)));
                        }
                        Some(',') => *at += 1,
                        _ => {
                            *at += 1;
                            return Json::Object(rows);
                        }
                    }
                }
            }
            Some('[') => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::space(c, at);
                    match c.get(*at) {
                        Some(',') => *at += 1,
                        Some(']') | None => {
                            *at += 1;
                            return Json::List(items);
                        }
                        _ => items.push(Self::value(c, at)),
                    }
                }
            }
            Some('"') => Json::Text(Self::string(c, at)),
            Some('t') => { *at += 4; Json::Bool(true) }
            Some('f') => { *at += 5; Json::Bool(false) }
            Some('n') => { *at += 4; Json::Null }
            _ => {
                let from = *at;
                while *at < c.len() && "+-.eE0123456789".contains(c[*at]) {
                    *at += 1;
                }
                if from == *at {
                    *at += 1;
                }
                Json::Number(c[from..(*at).min(c.len())].iter().collect::<String>().parse().unwrap_or(0.0))
            }
        }
    }
    fn string(c: &[char], at: &mut usize) -> String {
        *at += 1;
        let mut out = String::new();
        while *at < c.len() && c[*at] != '"' {
            if c[*at] == '\\' {
                *at += 1;
                match c.get(*at) {
                    Some('n') => out.push('\n'),
                    Some('t') => out.push('\t'),
                    Some('r') => out.push('\r'),
                    Some('u') => {
                        let code: String = c[*at + 1..*at + 5].iter().collect();
                        out.push(u32::from_str_radix(&code, 16).ok().and_then(char::from_u32).unwrap_or('?'));
                        *at += 4;
                    }
                    Some(other) => out.push(*other),
                    None => {}
                }
            } else {
                out.push(c[*at]);
            }
            *at += 1;
        }
        *at += 1;
        out
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let n = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= group.len() {
                true => out.push(char::from(DIGITS[(n >> (18 - 6 * i)) as usize & 63])),
                false => out.push('='),
            }
        }
    }
    out
}

// ---- HTTP/1.1 ----

/// A request as a server read it.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let found = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?;
        let mut out = Vec::new();
        let bytes = found.as_bytes();
        let mut i = 0;
        while i < bytes.len() {
            if bytes[i] == b'%' && i + 2 < bytes.len() {
                out.push(u8::from_str_radix(&found[i + 1..i + 3], 16).unwrap_or(b'?'));
                i += 3;
            } else {
                out.push(bytes[i]);
                i += 1;
            }
        }
        Some(String::from_utf8_lossy(&out).into_owned())
    }
}

pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

pub fn read_chunks(reader: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
        let mut piece = vec![0; size];
        reader.read_exact(&mut piece).ok()?;
        body.extend_from_slice(&piece);
        let mut end = String::new();
        reader.read_line(&mut end).ok()?;
        if size == 0 {
            return Some(body);
        }
    }
}

pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut request = Request { method, target, headers, body: Vec::new() };
    if request.header("transfer-encoding").is_some() {
        request.body = read_chunks(reader)?;
    } else if let Some(length) = request.header("content-length").and_then(|l| l.parse().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        request.body = body;
    }
    Some(request)
}

/// Accepts channels until the process ends; one thread for each.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

pub fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

pub fn answer(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut text = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

// ---- The platform's store ----

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, Item>,
    revision: u64,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, u64)>,
    next_lease: u64,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let made = self.items.get(key).map_or(self.revision, |i| i.made);
        let item = Item { value, revision: self.revision, made, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|k| self.remove(k));
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self.leases.iter().filter(|(_, (at, _))| now >= *at).map(|(l, _)| *l).collect();
        over.into_iter().for_each(|l| self.end_lease(l));
    }
    fn row(key: &str, item: &Item) -> String {
        format!(
            "{{\"tlsKey\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"made\":{},\"lease\":{}}}",
            item.value, item.revision, item.made, item.lease
        )
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let (listener, address) = bind();
        let store = Self { state: Arc::default(), address };
        let serving = store.clone();
        serve(listener, move |stream| serving.channel(stream));
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.state.0.lock().expect("store").expire();
            expiring.state.1.notify_all();
        });
        store
    }
    /// What the operator or an engine writes.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().expect("store");
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }
    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().expect("store");
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.state.1.notify_all();
    }
    fn channel(&self, stream: TcpStream) {
        let mut writer = stream.try_clone().expect("a channel");
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.call(&request);
            thread::sleep(Duration::from_millis(1));
            if !answer(&mut writer, status, &[("Content-Type", "application/json")], body.as_bytes()) {
                return;
            }
        }
    }
    fn call(&self, request: &Request) -> (u16, String) {
        let path = request.path().trim_start_matches("/heathpitch/").to_owned();
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut state = self.state.0.lock().expect("store");
        state.expire();
        match path.as_str() {
            "kv-key" => {
                let key = request.query("tlsKey").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => {
                        let row = StoreState::row(&key, item);
                        (200, format!("{},\"at\":{}}}", &row[..row.len() - 1], state.revision))
                    }
                    None => (404, format!("{{\"at\":{}}}", state.revision)),
                }
            }
            "kv-range" => {
                let prefix = request.query("pathPrefix").unwrap_or_default();
                let after = request.query("after");
                let rows: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && after.as_ref().is_none_or(|a| *k > a))
                    .map(|(k, i)| StoreState::row(k, i))
                    .collect();
                (200, format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", rows.join(","), state.revision))
            }
            "kv-watch" => {
                let prefix = request.query("pathPrefix").unwrap_or_default();
                let after: u64 = request.query("after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let wait: u64 = request.query("waitMs").and_then(|a| a.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(r, k, _)| *r > after && k.starts_with(&prefix))
                        .map(|(r, k, i)| match i {
                            Some(item) => StoreState::row(k, item),
                            None => format!("{{\"tlsKey\":\"{k}\",\"revision\":{r},\"gone\":true}}"),
                        })
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        return (200, format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision));
                    }
                    state = self.state.1.wait_timeout(state, until - now).expect("store").0;
                }
            }
            "kv-txn" => {
                let conditions = body.get("expectedRev").list();
                let failed: Vec<&Json> = conditions
                    .iter()
                    .filter(|c| {
                        let now = state.items.get(c.get("tlsKey").text()).map_or(0, |i| i.revision);
                        now != c.get("revision").number()
                    })
                    .collect();
                if !failed.is_empty() {
                    let rows: Vec<String> = failed
                        .iter()
                        .filter_map(|c| {
                            let key = c.get("tlsKey").text();
                            state.items.get(key).map(|i| StoreState::row(key, i))
                        })
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
                }
                let (puts, removals) = (body.get("put").list(), body.get("remove").list());
                let known = |p: &Json| {
                    let lease = p.get("lease").number();
                    lease == 0 || state.leases.contains_key(&lease)
                };
                if !puts.iter().all(known) {
                    return (404, "{}".to_owned());
                }
                if !puts.is_empty() || !removals.is_empty() {
                    state.revision += 1;
                }
                for p in puts {
                    state.put(p.get("tlsKey").text(), p.get("value").text().to_owned(), p.get("lease").number());
                }
                removals.iter().for_each(|r| state.remove(r.text()));
                let revision = state.revision;
                drop(state);
                self.state.1.notify_all();
                (200, format!("{{\"revision\":{revision}}}"))
            }
            "kv-lease" => {
                let ttl = body.get("ttl_ms").number().max(1_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + Duration::from_millis(ttl), ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            other => {
                let lease: u64 = other.rsplit('/').next().and_then(|l| l.parse().ok()).unwrap_or(0);
                if other.starts_with("kv-keep/") {
                    match state.leases.get_mut(&lease) {
                        Some((until, ttl)) => {
                            *until = Instant::now() + Duration::from_millis(*ttl);
                            (200, "{}".to_owned())
                        }
                        None => (404, "{}".to_owned()),
                    }
                } else if other.starts_with("kv-lease-end/") {
                    state.end_lease(lease);
                    drop(state);
                    self.state.1.notify_all();
                    (200, "{}".to_owned())
                } else {
                    (404, "{}".to_owned())
                }
            }
        }
    }
}

// ---- Configuration ----

pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub resumable: bool,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub attempts: u32,
}

pub const HOST: &str = "desk.example";
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub fn config(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                "{{\"name\":\"{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{}\",\"kind\":\"{}\",\"resumable\":{},\"service\":\"{}\",\"timeoutMs\":{},\"targetLatencyMs\":300,\"priority\":1,\"maxAttempts\":{},\"public\":false,\"sticky\":false}}",
                r.name, r.prefix, r.kind, r.resumable, r.service, r.timeout_ms, r.attempts
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|s| format!("{{\"name\":\"{s}\",\"healthPath\":\"/health\",\"maxConns\":100}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"]}}]}}",
        routes.join(","),
        services.join(",")
    )
}

// ---- Engines ----

pub type Handler = dyn Fn(&Engine, Request, &mut TcpStream) -> bool + Send + Sync;

/// An engine: `handle` answers a request and tells whether its channel stays open.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub record: Record,
}

impl Engine {
    pub fn start(record: &Record, id: &str, handle: Arc<Handler>) -> Self {
        let (listener, address) = bind();
        let engine = Self { id: id.to_owned(), address, record: record.clone() };
        let of_channels = engine.clone();
        serve(listener, move |stream| {
            let mut writer = stream.try_clone().expect("a channel");
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_request(&mut reader) {
                let id = request.header("x-request-id").unwrap_or("").to_owned();
                let expected = request.header("x-expect-instance").unwrap_or(&of_channels.id);
                let keep = if expected != of_channels.id {
                    answer(&mut writer, 421, &[("X-Instance-Id", &of_channels.id), ("X-Request-Id", &id)], b"")
                } else if request.path() == "/heathpitch/report" {
                    let report = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seqNo\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}";
                    answer(&mut writer, 200, &[("Content-Type", "application/json")], report.as_bytes())
                } else if request.path() == "/health" {
                    answer(&mut writer, 200, &[("X-Instance-Id", &of_channels.id)], b"")
                } else {
                    handle(&of_channels, request, &mut writer)
                };
                if !keep {
                    return;
                }
            }
        });
        engine
    }
    pub fn list(&self, store: &Store, service: &str, state: &str) {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"muc-a\",\"version\":\"1\",\"slots\":6,\"state\":\"{state}\",\"coldLeftMs\":0,\"seqNo\":1}}",
            self.address
        );
        store.put(&format!("servers/{}", self.id), &entry);
    }
}

// ---- Nodes ----

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

pub struct Node {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: Arc<Mutex<Vec<String>>>,
    settings: PathBuf,
}

impl Node {
    /// Starts the program of the deploy file with settings as its template gives them.
    pub fn start(folder: &PathBuf, store: &Store, name: &str) -> Self {
        let settings = folder.join(format!("{name}.json"));
        let text = format!(
            "{{\"node\":\"{name}\",\"domain\":\"muc-a\",\"domains\":[\"muc-a\"],\"listen\":\"127.0.0.1:0\",\"ready\":\"127.0.0.1:0\",\"metrics\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\",\"forward\":\"127.0.0.1:0\",\"seeds\":[],\"store\":\"{}\",\"first_start\":true,\"vm\":{{\"link_mbps\":1000.0,\"cpu_share\":0.25,\"memory_mb\":260}},\"bounds\":{{\"revoke_ms\":5000,\"config_apply_ms\":2000,\"drain_ms\":2000,\"grace_s\":8.0,\"retry_ratio\":0.2,\"retry_slack\":198.0,\"retry_window_s\":10,\"lease_min_ms\":1000,\"contact_ms\":3000}}}}",
            store.address
        );
        fs::write(&settings, text).expect("settings");
        let program = std::env::var("HEATHPITCHD").unwrap_or_else(|_| "target/release/heathpitchd".to_owned());
        let mut command = Command::new(program);
        command.args(["--gateway", "--settings"]).arg(&settings);
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null());
        // A node never outlives the case, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        let mut child =
            command.spawn().unwrap_or_else(|_| cannot_run("the program of the deploy file is missing"));
        let log: Arc<Mutex<Vec<String>>> = Arc::default();
        let out = child.stdout.take().expect("output");
        let lines = log.clone();
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                lines.lock().expect("log").push(line);
            }
        });
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            let started = log.lock().expect("log").iter().map(|l| Json::parse(l)).find(|l| l.get("event").text() == "gateway_started");
            if let Some(started) = started {
                let address = |key: &str| started.get(key).text().parse().expect("an address");
                return Self { child, front: address("listen"), ready: address("ready"), log, settings };
            }
            if Instant::now() > until {
                let _ = child.kill();
                cannot_run("a node did not start");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if ready(self.ready) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("a node did not become ready");
    }
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }
}

pub fn ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    if stream.write_all(b"GET /heathpitch/ready HTTP/1.1\r\nHost: node\r\n\r\n").is_err() {
        return false;
    }
    let mut start = [0; 12];
    stream.read_exact(&mut start).is_ok() && &start == b"HTTP/1.1 200"
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

// ---- Record ----

#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    start: Instant,
    path: PathBuf,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Self { lines: Arc::default(), start: Instant::now(), path }
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_millis();
        self.lines.lock().expect("record").push(format!("{at:>6} ms  {}", text.as_ref()));
    }
    pub fn save(&self) {
        let _ = fs::write(&self.path, self.lines.lock().expect("record").join("\n") + "\n");
    }
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2)
}

pub static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    format!("{:016x}", 0x9c41_d07b_0000_0000_u64 + NEXT_ID.fetch_add(1, SeqCst))
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, folder) = (arguments.next().unwrap_or_default(), arguments.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let temporary = std::env::temp_dir().join(format!("heathpitch-review-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let record = Record::new(PathBuf::from(folder).join("record.txt"));
    let broken = cases::run(&case, trouble, &temporary, &record);
    record.line(match broken {
        true => "the rule was broken",
        false => "the rule held",
    });
    record.save();
    let _ = fs::remove_dir_all(&temporary);
    std::process::exit(i32::from(broken));
}
