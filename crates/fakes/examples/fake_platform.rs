//! Runs a fake platform as a process, with a list of VMs read from a file.

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;

use gumdrop::Options;
use heathpitch_core::Vm;
use heathpitch_fakes::{FakePlatform, PlatformConfig};

#[derive(Debug, Options)]
struct Arguments {
    /// Prints this help.
    help: bool,
    /// Listen address, ip:port.
    #[options(required, meta = "ADDRESS")]
    listen: String,
    /// File with the list of VMs, JSON.
    #[options(required, meta = "FILE")]
    vms: PathBuf,
}

fn main() -> Result<(), Box<dyn Error>> {
    let a = Arguments::parse_args_default_or_exit();
    let address = a.listen.parse::<SocketAddr>()?;
    let platform = FakePlatform::spawn(PlatformConfig { address, ..PlatformConfig::default() })?;
    let vms: Vec<Vm> = serde_json::from_str(&std::fs::read_to_string(&a.vms)?)?;
    println!("platform at {}, {} VMs listed", platform.address(), vms.len());
    platform.publish_vms(vms);
    loop {
        std::thread::park();
    }
}
