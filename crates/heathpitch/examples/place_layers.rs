//! Plans the placement of a model that has lost a stage.

use heathpitch::core::{LayerRange, Model, NameError};
use heathpitch::policy::{LoadedLayers, ModelDemand, PlacementEngine, plan_placement};

fn main() -> Result<(), NameError> {
    let model = Model::new("tickets".parse()?, "v1".parse()?, 24);
    let engines = [
        engine("quick", 100, Some((0, 12)))?,
        engine("idle-slow", 400, None)?,
        engine("idle-quick", 100, None)?,
    ];
    for m in plan_placement(&[ModelDemand { model, demand: 1.0, allowed: None }], &engines) {
        let (engine, layers) = (m.engine, m.holding.layers);
        println!("{engine} loads {layers} ({} MB): {:?}", m.megabytes, m.reason);
    }
    Ok(())
}

fn engine(
    name: &str,
    layer: u64,
    loaded: Option<(u32, u32)>,
) -> Result<PlacementEngine, NameError> {
    let (model, version) = ("tickets".parse()?, "v1".parse()?);
    let holding = loaded.map(|(first, end)| LoadedLayers {
        model,
        version,
        layers: LayerRange::new(first, end),
    });
    Ok(PlacementEngine { engine: name.parse()?, memory: 8_000, layer, link: 50, holding })
}
