//! Stand-ins for the review's scripts: the platform's store, servers, clients, and gateway processes.
//!
//! Written from PROTOCOL.md and DEPLOY.md with the standard library alone. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

// ---- JSON ---------------------------------------------------------------------------------------

/// A JSON value, as far as the calls to the store need it.
#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Json {
        let mut at = 0;
        Self::value(text.as_bytes(), &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v)
            }
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    pub fn text(&self) -> &str {
        if let Json::Str(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Num(number) = self { *number as u64 } else { 0 }
    }

    fn skip(b: &[u8], at: &mut usize) {
        while *at < b.len() && (b[*at].is_ascii_whitespace() || b[*at] == b',' || b[*at] == b':') {
            *at += 1;
        }
    }

    fn value(b: &[u8], at: &mut usize) -> Json {
        Self::skip(b, at);
        match b.get(*at) {
            None => Json::Null,
            Some(b'{') => {
                *at += 1;
                let mut fields = Vec::new();
                loop {
                    Self::skip(b, at);
                    if b.get(*at).is_none_or(|c| *c == b'}') {
                        *at += 1;
                        return Json::Object(fields);
                    }
                    let name = Self::value(b, at).text().to_owned();
                    let value = Self::value(b, at);
                    fields.push((name, value));
                }
            }
            Some(b'[') => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Self::skip(b, at);
                    if b.get(*at).is_none_or(|c| *c == b']') {
                        *at += 1;
                        return Json::List(items);
                    }
                    items.push(Self::value(b, at));
                }
            }
            Some(b'"') => {
                *at += 1;
                let mut text = Vec::new();
                while *at < b.len() && b[*at] != b'"' {
                    if b[*at] == b'\\' {
                        *at += 1;
                    }
                    text.push(b[*at]);
                    *at += 1;
                }
                *at += 1;
                Json::Str(String::from_utf8_lossy(&text).into_owned())
            }
            Some(_) => {
                let start = *at;
                while *at < b.len() && !b",]} \n".contains(&b[*at]) {
                    *at += 1;
                }
                let word = String::from_utf8_lossy(&b[start..*at]).into_owned();
                match word.as_str() {
                    "true" => Json::Bool(true),
                    "false" => Json::Bool(false),
                    number => number.parse().map_or(Json::Null, Json::Num),
                }
            }
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (0..3).fold(0_u32, |n, i| n << 8 | u32::from(*chunk.get(i).unwrap_or(&0)));
        for i in 0..4 {
            let digit = DIGITS[(n >> (18 - 6 * i) & 63) as usize] as char;
            out.push(if i <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

// ---- HTTP/1.1 -----------------------------------------------------------------------------------

/// A message whose body has been read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads from a connection, keeping what belongs to the next message.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Called with the number of body bytes after each read; may sleep.
    pub pace: Option<Box<dyn FnMut(usize) + Send>>,
    /// Largest single read.
    pub chunk: usize,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), pace: None, chunk: 64 << 10 }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = vec![0; self.chunk];
        let n = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads a head; none if the connection ended before one was complete.
    pub fn head(&mut self) -> Option<Message> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..at + 4).collect();
                let head = String::from_utf8_lossy(&head).into_owned();
                let mut lines = head.lines();
                let first = lines.next().unwrap_or("").to_owned();
                let header = |l: &str| {
                    let (name, value) = l.split_once(':')?;
                    Some((name.to_ascii_lowercase(), value.trim().to_owned()))
                };
                let headers = lines.filter_map(header).collect();
                return Some(Message { first, headers, ..Message::default() });
            }
            match self.fill() {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    /// Reads a body into the message; `whole` says whether its end was seen.
    pub fn body(&mut self, message: &mut Message) {
        if message.header("transfer-encoding").is_some_and(|t| t.contains("chunked")) {
            message.whole = self.chunked(&mut message.body);
            return;
        }
        let length = message.header("content-length").and_then(|l| l.parse::<usize>().ok());
        let Some(length) = length else {
            message.whole = true;
            return;
        };
        while self.buffer.len() < length {
            match self.fill() {
                Ok(0) | Err(_) => break,
                Ok(n) => {
                    if let Some(pace) = &mut self.pace {
                        pace(n);
                    }
                }
            }
        }
        message.whole = self.buffer.len() >= length;
        message.body = self.buffer.drain(..length.min(self.buffer.len())).collect();
    }

    fn chunked(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.line() else { return false };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return false };
            while self.buffer.len() < size + 2 {
                match self.fill() {
                    Ok(0) | Err(_) => {
                        body.append(&mut self.buffer);
                        return false;
                    }
                    Ok(n) => {
                        if let Some(pace) = &mut self.pace {
                            pace(n);
                        }
                    }
                }
            }
            body.extend(self.buffer.drain(..size));
            self.buffer.drain(..2);
            if size == 0 {
                return true;
            }
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line).into_owned());
            }
            match self.fill() {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }

    /// Reads a whole request.
    pub fn request(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        self.body(&mut message);
        message.whole.then_some(message)
    }
}

/// Listens on a free loopback port and runs `serve` in a thread for every connection.
pub fn listen(serve: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream));
        }
    });
    address
}

// ---- The platform's store -----------------------------------------------------------------------

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item; none if it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
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
        let of_lease = self.items.iter().filter(|(_, i)| i.lease == lease);
        let keys: Vec<String> = of_lease.map(|(k, _)| k.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|k| self.remove(k));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (at, _))| *at <= now).map(|(l, _)| *l).collect();
        over.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let state = State { revision: 10, next_lease: 100, ..State::default() };
        let inner = Arc::new((Mutex::new(state), Condvar::new()));
        let serving = inner.clone();
        let address = listen(move |stream| Self::serve(&serving, stream));
        Store { inner, address }
    }

    /// Writes a document as the operator or a server does, and returns when the store has taken it.
    pub fn put(&self, key: &str, document: &str) {
        let mut state = self.inner.0.lock().unwrap();
        state.revision += 1;
        state.put(key, document.as_bytes().to_vec(), 0);
        self.inner.1.notify_all();
    }

    /// Removes a key as the platform does when a server has left.
    pub fn remove(&self, key: &str) {
        let mut state = self.inner.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.inner.1.notify_all();
    }

    fn serve(inner: &(Mutex<State>, Condvar), stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.request() {
            let (status, body) = Self::answer(inner, &request);
            let length = body.len();
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if reader.stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(inner: &(Mutex<State>, Condvar), request: &Message) -> (u16, String) {
        thread::sleep(Duration::from_millis(4));
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<&str, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(n, v)| (n, unescape(v)))
            .collect();
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let call = path.strip_prefix("/heathpitch/").unwrap_or("");
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut state = inner.0.lock().unwrap();
        state.expire();
        match (method, call) {
            ("GET", "kv-key") => match state.items.get(&get("tlsKey")) {
                Some(item) => {
                    let row = row(&get("tlsKey"), item);
                    (200, format!("{{{row},\"at\":{}}}", state.revision))
                }
                None => (404, "{}".to_owned()),
            },
            ("GET", "kv-range") => {
                let (prefix, after) = (get("pathPrefix"), get("after"));
                let under =
                    |k: &&String| k.starts_with(&prefix) && (after.is_empty() || **k > after);
                let rows: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(k, _)| under(k))
                    .map(|(k, i)| format!("{{{}}}", row(k, i)))
                    .collect();
                let rows = rows.join(",");
                (200, format!("{{\"items\":[{rows}],\"more\":false,\"at\":{}}}", state.revision))
            }
            ("GET", "kv-watch") => {
                let prefix = get("pathPrefix");
                let after: u64 = get("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(get("waitMs").parse().unwrap_or(0));
                let end = Instant::now() + wait;
                loop {
                    let new =
                        |h: &&(u64, String, Option<Item>)| h.0 > after && h.1.starts_with(&prefix);
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(new)
                        .map(|(revision, key, item)| match item {
                            Some(item) => format!("{{{}}}", row(key, item)),
                            None => format!(
                                "{{\"tlsKey\":\"{key}\",\"revision\":{revision},\"gone\":true}}"
                            ),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, at) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    let step = left.min(Duration::from_millis(100));
                    state = inner.1.wait_timeout(state, step).unwrap().0;
                    state.expire();
                }
            }
            ("POST", "kv-txn") => {
                let holds = |c: &Json| {
                    let known = state.items.get(c.get("tlsKey").text()).map_or(0, |i| i.revision);
                    known == c.get("revision").number()
                };
                let conditions = body.get("expectedRev").list();
                if !conditions.iter().all(holds) {
                    let rows: Vec<String> = conditions
                        .iter()
                        .filter_map(|c| {
                            let key = c.get("tlsKey").text();
                            state.items.get(key).map(|i| format!("{{{}}}", row(key, i)))
                        })
                        .collect();
                    return (412, format!("{{\"items\":[{}]}}", rows.join(",")));
                }
                let puts = body.get("put").list();
                let lost = |p: &Json| {
                    let lease = p.get("lease").number();
                    lease != 0 && !state.leases.contains_key(&lease)
                };
                if puts.iter().any(lost) {
                    return (404, "{}".to_owned());
                }
                let removals = body.get("remove").list();
                if !puts.is_empty() || !removals.is_empty() {
                    state.revision += 1;
                }
                for put in puts {
                    let value = unbase64(put.get("value").text());
                    state.put(put.get("tlsKey").text(), value, put.get("lease").number());
                }
                removals.iter().for_each(|key| state.remove(key.text()));
                inner.1.notify_all();
                (200, format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "kv-lease") => {
                let ttl = Duration::from_millis(body.get("ttl_ms").number().max(1_000));
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("POST", keep) if keep.starts_with("kv-keep/") => {
                let lease = keep["kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((at, ttl)) => {
                        *at = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", end) if end.starts_with("kv-lease-end/") => {
                let lease = end["kv-lease-end/".len()..].parse().unwrap_or(0);
                let known = state.leases.contains_key(&lease);
                state.end_lease(lease);
                inner.1.notify_all();
                (if known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn row(key: &str, item: &Item) -> String {
    let Item { value, revision, made, lease } = item;
    let value = base64(value);
    format!(
        "\"tlsKey\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease}"
    )
}

fn unescape(text: &str) -> String {
    let b = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < b.len() {
        let hex = (b[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(b[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn unbase64(text: &str) -> Vec<u8> {
    let digit = |c: u8| match c {
        b'A'..=b'Z' => c - b'A',
        b'a'..=b'z' => c - b'a' + 26,
        b'0'..=b'9' => c - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let mut out = Vec::new();
    for chunk in text.trim_end_matches('=').as_bytes().chunks(4) {
        let n = chunk.iter().fold(0_u32, |n, c| n << 6 | u32::from(digit(*c)))
            << (6 * (4 - chunk.len()));
        out.extend(n.to_be_bytes()[1..].iter().take(chunk.len() - 1));
    }
    out
}

// ---- Servers ------------------------------------------------------------------------------------

/// Document of a server's entry.
pub fn server_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    seq: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"seqNo\":{seq}}}"
    )
}

/// Head of a server's answer.
pub fn answer_head(status: &str, id: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Request-Id: {id}\r\nX-Response-Stamp: 3e1b.07.{length:x}\r\nContent-Length: {length}\r\n"
    )
}

/// Starts a plain server. It checks `X-Expect-Instance`, answers health checks and reports, and gives
/// every other request to `run`, which answers it and says whether the connection stays open.
pub fn server(
    id: &str,
    run: impl Fn(&Message, &mut TcpStream) -> bool + Clone + Send + 'static,
) -> SocketAddr {
    let id = id.to_owned();
    listen(move |stream| {
        let mut reader = Reader::new(stream);
        while let Some(request) = reader.request() {
            let (_, target) = request.target();
            let other = request.header("x-expect-instance").is_some_and(|i| i != id);
            let canned = match target {
                _ if other => Some(format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )),
                "/health" => Some(format!(
                    "HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                )),
                "/heathpitch/report" => {
                    let report = "{\"stage\":\"both\",\"models\":[],\"busy\":false,\"seqNo\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":0,\"handles\":0}";
                    Some(format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{report}",
                        report.len()
                    ))
                }
                _ => None,
            };
            let open = match canned {
                Some(answer) => reader.stream.write_all(answer.as_bytes()).is_ok(),
                None => run(&request, &mut reader.stream),
            };
            if !open {
                let _ = reader.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    })
}

// ---- Gateway processes --------------------------------------------------------------------------

/// A running gateway process; killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub name: String,
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

/// A free loopback port below those that the kernel gives to outgoing channels, so that none of these takes it before
/// the process that it is meant for, or while that is started again.
pub fn free_port() -> u16 {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = std::process::id().wrapping_mul(97).wrapping_add(TAKEN.fetch_add(1, SeqCst));
        let port = 12_000 + (n % 18_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Figures of a small deployment, as the template of the deploy file fills them in.
pub fn bounds() -> &'static str {
    "\"revoke_ms\":5000,\"drain_ms\":2000,\"grace_s\":8,\"retry_ratio\":0.2,\"retry_slack\":198,\
     \"retry_window_s\":10,\"lease_min_ms\":1000,\"contact_ms\":3000"
}

impl Gateway {
    /// Starts a node for the first time, at free ports; `seeds` are control addresses.
    pub fn start(
        dir: &Path,
        name: &str,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
        control: u16,
        seeds: &[u16],
    ) -> Gateway {
        let ports = [(); 4].map(|()| free_port());
        Self::start_at(dir, name, zone, zones, store, control, seeds, ports, true)
    }

    /// Starts a node with the command of the deploy file, at the ports for clients, checks, metrics and other nodes.
    #[allow(clippy::too_many_arguments)]
    pub fn start_at(
        dir: &Path,
        name: &str,
        zone: &str,
        zones: &[&str],
        store: SocketAddr,
        control: u16,
        seeds: &[u16],
        ports: [u16; 4],
        first_start: bool,
    ) -> Gateway {
        let zones: Vec<String> = zones.iter().map(|z| format!("\"{z}\"")).collect();
        let seeds: Vec<String> = seeds.iter().map(|p| format!("\"127.0.0.1:{p}\"")).collect();
        let [front, ready, metrics, forward] = ports;
        let settings = format!(
            "{{\"node\":\"{name}\",\"domain\":\"{zone}\",\"domains\":[{}],\"listen\":\"127.0.0.1:{front}\",\
             \"ready\":\"127.0.0.1:{ready}\",\"metrics\":\"127.0.0.1:{metrics}\",\"peer\":\"127.0.0.1:{control}\",\
             \"forward\":\"127.0.0.1:{forward}\",\"seeds\":[{}],\"store\":\"{store}\",\"first_start\":{first_start},\
             \"vm\":{{\"link_mbps\":1000.0,\"cpu_share\":0.25}},\"bounds\":{{{}}}}}",
            zones.join(","),
            seeds.join(","),
            bounds()
        );
        let file = dir.join(format!("{name}.json"));
        fs::write(&file, settings).expect("the settings file");
        let log = fs::File::create(dir.join(format!("{name}.log"))).expect("the log file");
        let mut command = Command::new("target/release/heathpitchd");
        command
            .args(["--gateway", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log);
        // SAFETY: `prctl` is a plain system call. PR_SET_PDEATHSIG, SIGKILL: the process does not outlive this one.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        let child = command.spawn().expect("target/release/heathpitchd");
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Gateway { child, front: address(front), ready: address(ready), name: name.to_owned() }
    }

    /// Whether it calls itself ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let request = format!("GET /heathpitch/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        let _ = stream.write_all(request.as_bytes());
        Reader::new(stream).head().is_some_and(|h| h.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a signal to this process.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{name}"), &id]).status();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---- Clients ------------------------------------------------------------------------------------

/// A request that a client sends.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    more: &str,
    body: &[u8],
) -> Vec<u8> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
         {more}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---- Record -------------------------------------------------------------------------------------

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn add(&self, line: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.ms(), line.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    pub fn write(&self, file: &Path) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        fs::write(file, text).expect("the record");
    }
}

/// Whether the disruption is to be made.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

/// A temporary folder of this process.
pub fn temp_dir(case: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("heathpitch-review-{case}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a temporary folder");
    dir
}
