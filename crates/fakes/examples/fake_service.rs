//! A stand-in plain service as a process of its own.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use heathpitch_fakes::FakeService;

#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Name.
    #[options(required, meta = "NAME")]
    name: String,
    /// Address, ip:port.
    #[options(required, meta = "ADDRESS")]
    listen: String,
    /// Time of a call, milliseconds.
    #[options(default = "5", meta = "MS")]
    work: u64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let a = Arguments::parse_args_default_or_exit();
    let address = a.listen.parse::<SocketAddr>()?;
    let work = Duration::from_millis(a.work);
    let service = FakeService::spawn(a.name.parse()?, address, work)?;
    println!("service {} at {}", service.name(), service.address());
    loop {
        std::thread::park();
    }
}
