//! Fake plain service, which counts how often each request is executed.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;

use heathpitch_core::{Epoch, Incarnation, LayerRange, Name};
use heathpitch_net::{self as body, Body};
use heathpitch_policy::{EngineReport, EngineRole};
use hyper::body::Incoming;
use hyper::{Request, Response};
use parking_lot::Mutex;
use serde_json::json;
use tokio::sync::watch;

use crate::engine::now_micros;
use crate::engine_http::{broken_response, json_response, parse};
use crate::faults::{Fault, Faults};
use crate::host::Host;

const MAX_BODY_BYTES: usize = 4 << 20;

/// Running fake service; counts its executions by request body.
#[derive(Debug)]
pub struct FakeService {
    host: Host,
    service: Arc<Service>,
}

#[derive(Debug)]
struct Service {
    name: Name,
    incarnation: Incarnation,
    serial: AtomicU64,
    call_time: Duration,
    executions: Mutex<HashMap<String, u32>>,
    faults: Mutex<Faults>,
    frozen: watch::Sender<bool>,
}

impl FakeService {
    /// Starts a service whose calls take `call_time`.
    ///
    /// # Errors
    ///
    /// I/O error if the address cannot be bound.
    pub fn spawn(name: Name, address: SocketAddr, call_time: Duration) -> io::Result<Self> {
        let service = Arc::new(Service {
            name,
            incarnation: Incarnation(now_micros()),
            serial: AtomicU64::new(0),
            call_time,
            executions: Mutex::default(),
            faults: Mutex::default(),
            frozen: watch::Sender::new(false),
        });
        let shared = service.clone();
        let host = Host::spawn(address, move |request| handle(shared.clone(), request))?;
        Ok(Self { host, service })
    }

    /// Bound address.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Name of the service.
    pub fn name(&self) -> &Name {
        &self.service.name
    }

    /// Number of executions by request body.
    pub fn executions(&self) -> HashMap<String, u32> {
        self.service.executions.lock().clone()
    }

    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        match fault {
            Fault::Exit => self.host.kill(),
            other => self.service.inject(other),
        }
    }
}

impl Service {
    fn inject(&self, fault: Fault) {
        if fault == Fault::Exit {
            std::process::exit(137);
        }
        let mut faults = self.faults.lock();
        faults.set(fault);
        self.frozen.send_replace(faults.frozen);
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            engine: self.name.clone(),
            incarnation: self.incarnation,
            serial: self.serial.fetch_add(1, Relaxed) + 1,
            model: None,
            version: self.name.clone(),
            layers: LayerRange::new(0, 0),
            epoch: Epoch(0),
            role: EngineRole::Both,
            draining: self.faults.lock().draining,
            slots: 64,
            running: 0,
            queued: 0,
            prefill: 0.0,
            step: 0,
            service: self.call_time.as_millis() as u64,
            memory: 0,
            layer: 0,
            link: 0,
        }
    }
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let Ok(content) = body::read(request.into_body(), MAX_BODY_BYTES).await else {
        return json_response(400, &json!({}));
    };
    if path != "/fault" {
        let _ = service.frozen.subscribe().wait_for(|f| !*f).await;
    }
    match path.as_str() {
        "/v1/report" => json_response(200, &service.report()),
        "/fault" => match parse(&content) {
            Some(fault) => {
                service.inject(fault);
                json_response(200, &json!({}))
            }
            None => json_response(400, &json!({})),
        },
        _ => execute(&service, path, &content).await,
    }
}

async fn execute(service: &Service, path: String, content: &[u8]) -> Response<Body> {
    let faults = service.faults.lock().clone();
    if faults.reset {
        return broken_response();
    }
    if faults.refuse || faults.draining {
        let refusal =
            json!({ "started": false, "kind": "busy", "engine": service.name, "back": 200 });
        return json_response(503, &refusal);
    }
    tokio::time::sleep(service.call_time).await;
    let text = String::from_utf8_lossy(content).into_owned();
    let times = {
        let mut executions = service.executions.lock();
        let times = executions.entry(text).or_default();
        *times += 1;
        *times
    };
    match faults.lose_response {
        true => broken_response(),
        false => {
            json_response(200, &json!({ "service": service.name, "path": path, "times": times }))
        }
    }
}
