//! Filter: selects the route and the model.

use std::sync::Arc;

use heathpitch_core::{Account, Index, Millis, Model, Name, Route, nearest};

use super::{Context, ModelRequest, Refusal, RefusalKind};

/// Route and model that serve a request.
#[derive(Clone, Debug)]
pub(crate) struct RouteMatch {
    pub(crate) index: Arc<Index>,
    pub(crate) route: Arc<Route>,
    pub(crate) model: Arc<Model>,
    /// Time by which the request must end, on the node's clock.
    pub(crate) deadline: Millis,
}

/// Selects the route for a model request.
pub(crate) fn model(
    cx: &Context,
    account: &Account,
    request: &ModelRequest,
) -> Result<RouteMatch, Refusal> {
    let index = cx.traffic.shared.index.load_full();
    let Some(model) = index.models.get(&request.model).cloned() else {
        return Err(unknown_model(&index, &request.model));
    };
    let Some(route) = index.route(account, &request.model, request.priority).cloned() else {
        let message = "no route serves this account, model and priority";
        return Err(Refusal::not_run(RefusalKind::NoRoute, message));
    };
    let deadline = deadline(cx, &route, request.deadline);
    Ok(RouteMatch { index, route, model, deadline })
}

/// Earlier of the deadlines of the route and the caller.
pub(crate) fn deadline(cx: &Context, route: &Route, requested: Option<Millis>) -> Millis {
    let max_ms = route.settings.deadline_ms;
    cx.start + requested.map_or(max_ms, |w| w.min(max_ms))
}

fn unknown_model(index: &Index, model: &Name) -> Refusal {
    let suggestion = nearest(model.as_str(), index.models.keys().map(Name::as_str));
    let hint = suggestion.map_or(String::new(), |n| format!("; did you mean {n:?}?"));
    Refusal::not_run(RefusalKind::UnknownModel, format!("unknown model {model:?}{hint}"))
}
