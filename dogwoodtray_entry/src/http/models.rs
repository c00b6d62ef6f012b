//! HTTP handler that lists the models.

use dogwoodtray_config::RouteTarget;
use hyper::Response;
use hyper::StatusCode;
use serde_json::json;

use super::error::json_response;
use super::stream::ResponseBody;
use crate::shell::EntryState;

pub(super) fn list(shared: &EntryState) -> Response<ResponseBody> {
    let view = shared.view();
    let mut names: Vec<String> = view
        .routes()
        .filter(|route| matches!(route.target(), Some(RouteTarget::Model { .. })))
        .map(|route| route.name.to_string())
        .collect();
    if view.routes().next().is_none() {
        names = shared.models().iter().map(ToString::to_string).collect();
    }
    let data: Vec<_> = names.iter().map(|name| json!({ "id": name, "object": "model" })).collect();
    json_response(StatusCode::OK, &json!({ "object": "list", "data": data }))
}
