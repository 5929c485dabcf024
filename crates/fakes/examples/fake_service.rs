//! Runs a fake plain service as a process.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use heathpitch_fakes::FakeService;

#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Name of the service.
    #[options(required, meta = "NAME")]
    name: String,
    /// Listen address, ip:port.
    #[options(required, meta = "ADDRESS")]
    listen: String,
    /// Duration of a call, milliseconds.
    #[options(default = "5", meta = "MS")]
    work: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let a = Arguments::parse_args_default_or_exit();
    let address = a.listen.parse::<SocketAddr>()?;
    let call_time = Duration::from_millis(a.work);
    let service = FakeService::spawn(a.name.parse()?, address, call_time)?;
    println!("service {} at {}", service.name(), service.address());
    loop {
        std::thread::park();
    }
}
