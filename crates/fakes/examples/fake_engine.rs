//! Runs a fake engine as a process.

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
    /// Name of the engine.
    #[options(required, meta = "NAME")]
    name: String,
    /// Listen address, ip:port.
    #[options(required, meta = "ADDRESS")]
    listen: String,
    /// Model loaded.
    #[options(default = "tickets", meta = "MODEL")]
    model: String,
    /// First layer loaded.
    #[options(required, meta = "LAYER")]
    first: u32,
    /// One past the last layer loaded.
    #[options(required, meta = "LAYER")]
    end: u32,
    /// Duration of a decode step, milliseconds.
    #[options(default = "10", no_short, meta = "MS")]
    step: u64,
    /// Accepts orders of any epoch.
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
    println!("engine {} has layers {layers} at {}", engine.name(), engine.address());
    loop {
        std::thread::park();
    }
}
