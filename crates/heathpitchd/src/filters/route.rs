//! Filter: finds the route and the model.

use std::sync::Arc;

use heathpitch_core::{Account, Index, Millis, Model, Name, Route, nearest};

use super::{Ask, Context, Refusal, RefusalKind};

/// What a request is served by.
#[derive(Clone, Debug)]
pub(crate) struct Matched {
    pub(crate) index: Arc<Index>,
    pub(crate) route: Arc<Route>,
    pub(crate) model: Arc<Model>,
    /// When the request must be over, on the node's clock.
    pub(crate) deadline: Millis,
}

/// The route for a model request.
pub(crate) fn model(cx: &Context, account: &Account, ask: &Ask) -> Result<Matched, Refusal> {
    let index = cx.traffic.shared.index.load_full();
    let Some(model) = index.models.get(&ask.model).cloned() else {
        return Err(unknown(&index, &ask.model));
    };
    let Some(route) = index.route(account, &ask.model, ask.priority).cloned() else {
        let message = "no route serves this account, model and priority";
        return Err(Refusal::not_run(RefusalKind::NoRoute, message));
    };
    let deadline = deadline(cx, &route, ask.deadline);
    Ok(Matched { index, route, model, deadline })
}

/// The sooner of the route's and the caller's deadline.
pub(crate) fn deadline(cx: &Context, route: &Route, wanted: Option<Millis>) -> Millis {
    let most = route.settings.deadline_ms;
    cx.start + wanted.map_or(most, |w| w.min(most))
}

fn unknown(index: &Index, model: &Name) -> Refusal {
    let near = nearest(model.as_str(), index.models.keys().map(Name::as_str));
    let tip = near.map_or(String::new(), |n| format!("; did you mean {n:?}?"));
    Refusal::not_run(RefusalKind::UnknownModel, format!("model {model:?} is not known{tip}"))
}
