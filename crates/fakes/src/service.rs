//! A stand-in plain service, whose calls may not all be repeated.

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
use crate::engine_http::{broken, parse, status};
use crate::faults::{Fault, Faults};
use crate::host::Host;

/// Largest request read, bytes.
const MAX_BODY: usize = 4 << 20;

/// A running stand-in service; it books what it is sent and counts each booking.
#[derive(Debug)]
pub struct FakeService {
    host: Host,
    service: Arc<Service>,
}

#[derive(Debug)]
struct Service {
    name: Name,
    life: Incarnation,
    serial: AtomicU64,
    work: Duration,
    booked: Mutex<HashMap<String, u32>>,
    faults: Mutex<Faults>,
    frozen: watch::Sender<bool>,
}

impl FakeService {
    /// Starts a service whose calls take `work`.
    ///
    /// # Errors
    ///
    /// What the system says if the address cannot be bound.
    pub fn spawn(name: Name, address: SocketAddr, work: Duration) -> io::Result<Self> {
        let service = Arc::new(Service {
            name,
            life: Incarnation(now_micros()),
            serial: AtomicU64::new(0),
            work,
            booked: Mutex::default(),
            faults: Mutex::default(),
            frozen: watch::Sender::new(false),
        });
        let shared = service.clone();
        let host = Host::spawn(address, move |request| handle(shared.clone(), request))?;
        Ok(Self { host, service })
    }

    /// Address bound.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Name.
    pub fn name(&self) -> &Name {
        &self.service.name
    }

    /// How often each body was booked.
    pub fn booked(&self) -> HashMap<String, u32> {
        self.service.booked.lock().clone()
    }

    /// Shows a fault.
    pub fn fault(&self, fault: Fault) {
        match fault {
            Fault::Die => self.host.kill(),
            other => self.service.fault(other),
        }
    }
}

impl Service {
    fn fault(&self, fault: Fault) {
        if fault == Fault::Die {
            std::process::exit(137);
        }
        let mut faults = self.faults.lock();
        faults.set(fault);
        self.frozen.send_replace(faults.frozen);
    }

    fn report(&self) -> EngineReport {
        EngineReport {
            engine: self.name.clone(),
            incarnation: self.life,
            serial: self.serial.fetch_add(1, Relaxed) + 1,
            model: None,
            version: self.name.clone(),
            layers: LayerRange::new(0, 0),
            epoch: Epoch(0),
            role: EngineRole::Both,
            draining: self.faults.lock().leaving,
            slots: 64,
            running: 0,
            queued: 0,
            prefill: 0.0,
            step: 0,
            service: self.work.as_millis() as u64,
            memory: 0,
            layer: 0,
            link: 0,
        }
    }
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    let Ok(content) = body::read(request.into_body(), MAX_BODY).await else {
        return status(400, &json!({}));
    };
    if path != "/fault" {
        let _ = service.frozen.subscribe().wait_for(|f| !*f).await;
    }
    match path.as_str() {
        "/v1/report" => status(200, &service.report()),
        "/fault" => match parse(&content) {
            Some(fault) => {
                service.fault(fault);
                status(200, &json!({}))
            }
            None => status(400, &json!({})),
        },
        _ => book(&service, path, &content).await,
    }
}

async fn book(service: &Service, path: String, content: &[u8]) -> Response<Body> {
    let faults = service.faults.lock().clone();
    if faults.reset {
        return broken();
    }
    if faults.refuse || faults.leaving {
        let said = json!({ "started": false, "kind": "busy", "engine": service.name, "back": 200 });
        return status(503, &said);
    }
    tokio::time::sleep(service.work).await;
    let text = String::from_utf8_lossy(content).into_owned();
    let times = {
        let mut booked = service.booked.lock();
        let times = booked.entry(text).or_default();
        *times += 1;
        *times
    };
    match faults.lose {
        true => broken(),
        false => status(200, &json!({ "service": service.name, "path": path, "times": times })),
    }
}
