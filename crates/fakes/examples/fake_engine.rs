//! A stand-in engine as a process of its own.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use gumdrop::Options;
use heathpitch_core::LayerRange;
use heathpitch_fakes::{EngineConfig, FakeEngine};

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
    /// Model held.
    #[options(default = "tickets", meta = "MODEL")]
    model: String,
    /// First layer held.
    #[options(required, meta = "LAYER")]
    first: u32,
    /// One past the last layer held.
    #[options(required, meta = "LAYER")]
    end: u32,
    /// Time of a decode step, milliseconds.
    #[options(default = "10", no_short, meta = "MS")]
    step: u64,
    /// Takes orders of any epoch.
    #[options(no_short)]
    unfenced: bool,
}

fn main() -> Result<(), Box<dyn Error>> {
    let a = Arguments::parse_args_default_or_exit();
    let layers = LayerRange::new(a.first, a.end);
    let mut config = EngineConfig::new(a.name.parse()?, a.model.parse()?, "v1".parse()?, layers);
    config.address = a.listen.parse::<SocketAddr>()?;
    config.step_time = Duration::from_millis(a.step);
    config.fenced = !a.unfenced;
    let engine = FakeEngine::spawn(config)?;
    println!("engine {} holds layers {layers} at {}", engine.name(), engine.address());
    loop {
        std::thread::park();
    }
}
