//! Resumes a request on another path after its first path has failed.

use heathpitch::core::{Epoch, LayerRange, Model, Name, NameError, Path, Stage};
use heathpitch::policy::{Broken, EndReason, Relay, RelayAction, RelayEvent, RelayPlan, Repeat};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let model = Model::new("tickets".parse()?, "v1".parse()?, 4);
    let plan = RelayPlan { max_tokens: 2, layers: 4, attempts: 3, repeat: Repeat::Allowed };
    let mut relay = Relay::new(plan);

    let first = Path::new(&model, vec![stage("a", 0, 2)?, stage("b", 2, 4)?])?;
    let RelayAction::Dispatch { attempt, .. } = relay.on(RelayEvent::Chosen(first)).remove(0)
    else {
        return Err("expected a dispatch".into());
    };
    relay.on(RelayEvent::Token { attempt, position: 0, token: 17, layers: 4 });

    let engine: Name = "b".parse()?;
    let broken = RelayEvent::Broken { attempt, how: Broken::Faulted, engine: Some(engine) };
    println!("after the fault: {:?}, avoiding {:?}", relay.on(broken), relay.avoid());

    let second = Path::new(&model, vec![stage("a", 0, 2)?, stage("c", 2, 4)?])?;
    relay.on(RelayEvent::Chosen(second));
    let attempt = relay.attempt();
    println!("resumes after {:?}", relay.sent());
    relay.on(RelayEvent::Token { attempt, position: 1, token: 4, layers: 4 });
    let reason = EndReason::Length;
    println!("{:?}", relay.on(RelayEvent::Ended { attempt, count: 2, reason }));
    Ok(())
}

fn stage(engine: &str, first: u32, end: u32) -> Result<Stage, NameError> {
    let layers = LayerRange::new(first, end);
    Ok(Stage {
        engine: engine.parse()?,
        address: "127.0.0.1:7200".parse()?,
        layers,
        epoch: Epoch(0),
    })
}
