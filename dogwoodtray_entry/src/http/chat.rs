//! HTTP handlers of chat completions and plain services.

use std::sync::Arc;

use bytes::Bytes;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_runtime::catalogue;
use hyper::Response;
use hyper::StatusCode;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;

use super::error::ApiError;
use super::error::bytes_response;
use super::error::json_response;
use super::once;
use super::once::OnceAnswer;
use super::request::CallerHeaders;
use super::request::SharedState;
use super::request::next_request_no;
use super::resolve::ResolvedRoute;
use super::resolve::resolve;
use super::stream::AnswerTimer;
use super::stream::CallerGuard;
use super::stream::ResponseBody;
use super::stream::TokenStream;
use crate::online::DispatchMode;
use crate::online::EVENT_STREAM;
use crate::online::RequestEnd;
use crate::online::RequestSpec;
use crate::online::is_stream_part;
use crate::shell::AnswerPart;
use crate::shell::ChatAnswer;
use crate::shell::RouterInput;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Approximate number of bytes of text in one token.
const BYTES_PER_TOKEN: usize = 4;

/// Expected number of generated tokens if the request sets no limit.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// Number of leading prompt bytes whose hash selects the endpoint that is likely to have the prompt
/// in its cache.
const PREFIX_BYTES: usize = 256;

/// Validated chat request.
struct ChatRequest {
    model: Name,
    stream: bool,
    body: Value,
}

/// Handles `POST /v1/chat/completions`.
pub(super) async fn chat(
    shared: SharedState,
    headers: CallerHeaders,
    body: Bytes,
) -> Result<Response<ResponseBody>, ApiError> {
    let mut req = parse_chat_request(&body)?;
    let route = resolve(&shared, &req.model, CHAT_PATH, &headers.organization, false)?;
    // The endpoint always streams, so that an interrupted answer can be resumed.
    req.body["stream"] = Value::Bool(true);
    req.body["model"] = Value::String(route.model.to_string());
    let sent_body = Bytes::from(req.body.to_string());
    let mut spec =
        request_spec(&headers, &route, "POST", CHAT_PATH, sent_body, ContentHash::of(&body));
    spec.prefix = prompt_prefix_hash(&req.body);
    let id = Name::clone(&headers.request_id);
    let timer = AnswerTimer::start(&shared, &spec)?;
    if !spec.idempotent {
        let answer = once::run(&shared, spec).await?;
        timer.finish();
        return Ok(render_once(answer, req.stream, &id, &req.model));
    }
    let (parts, guard) = submit(&shared, spec)?;
    if req.stream {
        return stream_answer(parts, guard, id, timer).await;
    }
    let response = collect_answer(parts, guard, &id, &req.model).await?;
    timer.finish();
    Ok(response)
}

/// Handles a call of a plain service.
pub(super) async fn service(
    shared: SharedState,
    headers: CallerHeaders,
    method: &str,
    route_name: &str,
    path: &str,
    body: Bytes,
) -> Result<Response<ResponseBody>, ApiError> {
    let route = resolve(&shared, route_name, path, &headers.organization, true)?;
    let mut content = Vec::with_capacity(path.len() + body.len());
    content.extend_from_slice(path.as_bytes());
    content.extend_from_slice(&body);
    let hash = ContentHash::of(&content);
    let mut spec = request_spec(&headers, &route, method, path, body, hash);
    spec.mode = DispatchMode::Whole;
    let timer = AnswerTimer::start(&shared, &spec)?;
    if !spec.idempotent {
        let answer = once::run(&shared, spec).await?;
        timer.finish();
        return Ok(bytes_response(answer.status, &answer.content_type, answer.body));
    }
    let (mut parts, _guard) = submit(&shared, spec)?;
    match parts.recv().await {
        Some(AnswerPart::Data { status, content_type, data }) => {
            timer.finish();
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Ok(bytes_response(status, &content_type, data))
        }
        Some(AnswerPart::End(end)) => Err(ApiError::from_request_end(&end)),
        None => Err(ApiError::stopping()),
    }
}

/// Estimates the cost of a chat request from its size and its token limit.
fn estimate_chat_cost(body: &[u8]) -> Cost {
    chat_cost(body, serde_json::from_slice(body).ok().as_ref())
}

/// Returns the estimated cost of a chat request, and the hash of its prompt prefix, 0 if it has none.
pub(crate) fn chat_cost_and_prefix(body: &[u8]) -> (Cost, u64) {
    let parsed: Option<Value> = serde_json::from_slice(body).ok();
    (chat_cost(body, parsed.as_ref()), parsed.as_ref().map_or(0, prompt_prefix_hash))
}

fn chat_cost(body: &[u8], parsed: Option<&Value>) -> Cost {
    let limit = parsed.and_then(|body| body["max_tokens"].as_u64());
    let output = limit.and_then(|limit| u32::try_from(limit).ok());
    Cost {
        prompt_tokens: u32::try_from(body.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        output_tokens: output.unwrap_or(DEFAULT_OUTPUT_TOKENS),
    }
}

fn parse_chat_request(body: &[u8]) -> Result<ChatRequest, ApiError> {
    let body: Value = serde_json::from_slice(body).map_err(|err| {
        ApiError::bad_request("bad_json", format!("the body is not valid JSON: {err}"))
    })?;
    let invalid = |message: &str| Err(ApiError::bad_request("bad_request", message));
    if !body.is_object() {
        return invalid("the body must be a JSON object");
    }
    let Some(model) = body["model"].as_str() else {
        return invalid("model must be a string");
    };
    if body["messages"].as_array().is_none_or(Vec::is_empty) {
        return invalid("messages must be a list with at least one message");
    }
    let stream = match &body["stream"] {
        Value::Null => false,
        Value::Bool(stream) => *stream,
        _ => return invalid("stream must be true or false"),
    };
    match &body["max_tokens"] {
        Value::Null => {}
        Value::Number(limit) if limit.as_u64().is_some_and(|limit| limit > 0) => {}
        _ => return invalid("max_tokens must be a whole number above 0"),
    }
    if !matches!(&body["n"], Value::Null) && body["n"].as_u64() != Some(1) {
        return invalid("n must be 1");
    }
    Ok(ChatRequest { model: Name::from(model), stream, body })
}

fn prompt_prefix_hash(body: &Value) -> u64 {
    let first = body["messages"][0]["content"].as_str().unwrap_or_default().as_bytes();
    ContentHash::of(&first[..first.len().min(PREFIX_BYTES)]).0
}

fn request_spec(
    headers: &CallerHeaders,
    route: &ResolvedRoute,
    method: &str,
    path: &str,
    body: Bytes,
    content: ContentHash,
) -> RequestSpec {
    RequestSpec {
        id: Name::clone(&headers.request_id),
        class: Class::Online,
        model: Name::clone(&route.model),
        method: Name::from(method),
        path: Name::from(path),
        cost: estimate_chat_cost(&body),
        body,
        idempotent: route.idempotent && !headers.non_idempotent,
        idempotency_key: headers.key.clone().unwrap_or_else(|| Name::from("")),
        fence: None,
        timeout: headers.deadline.unwrap_or(route.timeout),
        prefix: 0,
        content,
        organization: Name::clone(&headers.organization),
        mode: DispatchMode::Tokens,
    }
}

fn submit(
    shared: &SharedState,
    spec: RequestSpec,
) -> Result<(UnboundedReceiver<AnswerPart>, CallerGuard), ApiError> {
    let request = next_request_no(shared);
    let (reply, parts) = mpsc::unbounded_channel();
    let guard = CallerGuard::new(Arc::clone(shared), request);
    shared.events.emit(&catalogue::REQUEST_ACCEPTED, Some(&spec.id), &[]);
    let spec = Arc::new(spec);
    if !shared.send_to_router(RouterInput::Submit { request, spec, reply }) {
        return Err(ApiError::stopping());
    }
    Ok((parts, guard))
}

/// Renders the stored answer of a non-idempotent chat request, as a stream or as one object.
fn render_once(stored: OnceAnswer, stream: bool, id: &str, model: &str) -> Response<ResponseBody> {
    let streamed = stored.content_type.starts_with(EVENT_STREAM);
    if stream || !streamed || stored.status != StatusCode::OK {
        return bytes_response(stored.status, &stored.content_type, stored.body);
    }
    let mut answer = ChatAnswer::default();
    answer.push(&stored.body);
    json_response(StatusCode::OK, &answer.render(id, model))
}

async fn stream_answer(
    mut parts: UnboundedReceiver<AnswerPart>,
    guard: CallerGuard,
    id: Name,
    timer: AnswerTimer,
) -> Result<Response<ResponseBody>, ApiError> {
    match parts.recv().await {
        Some(AnswerPart::Data { status, content_type, data })
            if is_stream_part(status, &content_type) =>
        {
            let tokens = TokenStream::new(data, parts, id, guard, timer);
            let mut response = bytes_response(StatusCode::OK, EVENT_STREAM, Bytes::new());
            *response.body_mut() = ResponseBody::Tokens(tokens);
            Ok(response)
        }
        Some(AnswerPart::Data { status, content_type, data }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            Ok(bytes_response(status, &content_type, data))
        }
        Some(AnswerPart::End(end)) => Err(ApiError::from_request_end(&end)),
        None => Err(ApiError::stopping()),
    }
}

async fn collect_answer(
    mut parts: UnboundedReceiver<AnswerPart>,
    _guard: CallerGuard,
    id: &str,
    model: &str,
) -> Result<Response<ResponseBody>, ApiError> {
    let mut answer = ChatAnswer::default();
    loop {
        match parts.recv().await {
            Some(AnswerPart::Data { status: 200, data, .. }) => answer.push(&data),
            Some(AnswerPart::Data { status, content_type, data }) => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                return Ok(bytes_response(status, &content_type, data));
            }
            Some(AnswerPart::End(RequestEnd::Answered { .. })) if answer.complete => {
                return Ok(json_response(StatusCode::OK, &answer.render(id, model)));
            }
            Some(AnswerPart::End(end)) => return Err(ApiError::from_request_end(&end)),
            None => return Err(ApiError::stopping()),
        }
    }
}
