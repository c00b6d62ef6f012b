//! HTTP handlers of batch jobs.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::Name;
use dogwoodtray_runtime::Clock;
use hyper::Response;
use hyper::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;

use super::error::ApiError;
use super::error::bytes_response;
use super::error::json_response;
use super::request::CallerHeaders;
use super::request::SharedState;
use super::resolve::ResolvedRoute;
use super::resolve::resolve;
use super::stream::ResponseBody;
use crate::jobs::Counts;
use crate::jobs::ItemOutcome;
use crate::jobs::ItemResult;
use crate::jobs::JobReply;
use crate::jobs::JobState;
use crate::jobs::Refusal;
use crate::jobs::Submission;
use crate::shell::JobRequest;
use crate::shell::JobsInput;

/// Time after submission at which a job is due if neither the job nor its batch policy sets one.
const DEFAULT_DUE: Duration = Duration::from_secs(24 * 3600);

const CHAT_PATH: &str = "/v1/chat/completions";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BatchRequest<'a> {
    model: Option<String>,
    #[serde(borrow)]
    requests: Vec<ItemRequest<'a>>,
    #[serde(default = "yes")]
    idempotent: bool,
    due_in_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ItemRequest<'a> {
    custom_id: String,
    #[serde(borrow)]
    body: &'a RawValue,
}

const fn yes() -> bool {
    true
}

/// Handles `POST /v1/batches`.
pub(super) async fn create(
    shared: SharedState,
    headers: CallerHeaders,
    body: Bytes,
) -> Result<Response<ResponseBody>, ApiError> {
    let request: BatchRequest<'_> = serde_json::from_slice(&body).map_err(|err| {
        ApiError::bad_request("bad_json", format!("the body is not a valid batch: {err}"))
    })?;
    let submission = build_submission(&shared, &headers, request)?;
    let reply = call_jobs(&shared, JobRequest::Submit(submission)).await?;
    match reply {
        JobReply::Accepted { job, resent } => {
            let status = if resent { StatusCode::OK } else { StatusCode::CREATED };
            let body = json!({ "id": &*job, "object": "batch", "status": "in_progress" });
            Ok(json_response(status, &body))
        }
        JobReply::Conflict { job } => Err(ApiError::not_run(
            StatusCode::CONFLICT,
            "key_reused",
            format!("the key belongs to job {job}, which has other content"),
        )),
        JobReply::NotRun(refusal) => Err(refusal_error(&refusal)),
        JobReply::Unknown { job } => Err(ApiError::unknown(
            StatusCode::SERVICE_UNAVAILABLE,
            "unknown",
            format!("job {job} may have been stored; send it again with the same key"),
        )),
        other => Err(unexpected_reply(&other)),
    }
}

fn build_submission(
    shared: &SharedState,
    headers: &CallerHeaders,
    request: BatchRequest<'_>,
) -> Result<Submission, ApiError> {
    let first_body = request.requests.first().map(|item| item.body.get());
    let requested = request.model.clone().or_else(|| first_body.and_then(model_name));
    let Some(public_name) = requested else {
        return Err(ApiError::bad_request("bad_request", "the batch names no model"));
    };
    let route = resolve(shared, &public_name, CHAT_PATH, &headers.organization, false)?;
    let mut items = Vec::with_capacity(request.requests.len());
    for item in request.requests {
        let body = prepare_item_body(&item, &public_name, &route.model)?;
        items.push((Name::from(item.custom_id), body));
    }
    Ok(Submission {
        organization: Name::clone(&headers.organization),
        key: headers.key.clone(),
        model: Name::clone(&route.model),
        items,
        idempotent: request.idempotent && route.idempotent && !headers.non_idempotent,
        due_unix_ms: due_time(request.due_in_ms, &route)?,
    })
}

/// Returns the due time of a job: the requested one, or else that of the batch policy.
///
/// If the route is to be retired, a requested time after its last day is an error, and a time from
/// the policy is limited to the last day.
fn due_time(due_in_ms: Option<u64>, route: &ResolvedRoute) -> Result<Option<u64>, ApiError> {
    let requested = due_in_ms.map(|ms| Clock::unix_ms().saturating_add(ms));
    let Some(closes_at) = route.closes_unix_ms else {
        let policy_due = route.default_due.and_then(|due| u64::try_from(due.as_millis()).ok());
        return Ok(requested.or_else(|| policy_due.map(|ms| Clock::unix_ms().saturating_add(ms))));
    };
    match requested {
        Some(due) if due > closes_at => Err(ApiError::not_run(
            StatusCode::GONE,
            "service_closes",
            "the job is due after the last day of its route",
        )),
        Some(due) => Ok(Some(due)),
        None => {
            let policy_due = route.default_due.unwrap_or(DEFAULT_DUE);
            let ms = u64::try_from(policy_due.as_millis()).unwrap_or(u64::MAX);
            Ok(Some(Clock::unix_ms().saturating_add(ms).min(closes_at)))
        }
    }
}

fn model_name(body: &str) -> Option<String> {
    let body: Value = serde_json::from_str(body).ok()?;
    body["model"].as_str().map(ToOwned::to_owned)
}

/// Validates an item and sets the fields that the endpoint requires.
fn prepare_item_body(
    item: &ItemRequest<'_>,
    public_name: &str,
    model: &str,
) -> Result<Bytes, ApiError> {
    let invalid = |what: &str| {
        let message = format!("item {}: {what}", item.custom_id);
        Err(ApiError::bad_request("bad_item", message))
    };
    if item.custom_id.is_empty() {
        return invalid("custom_id is empty");
    }
    let Ok(mut body) = serde_json::from_str::<Value>(item.body.get()) else {
        return invalid("body is not valid JSON");
    };
    if !body.is_object() {
        return invalid("body must be a JSON object");
    }
    if body["messages"].as_array().is_none_or(Vec::is_empty) {
        return invalid("messages must be a list with at least one message");
    }
    if body["model"].as_str().is_some_and(|requested| requested != public_name) {
        return invalid("all items of a batch use one model");
    }
    body["model"] = Value::String(model.to_owned());
    body["stream"] = Value::Bool(true);
    Ok(Bytes::from(body.to_string()))
}

/// Handles `GET /v1/batches/{id}`.
pub(super) async fn status(
    shared: SharedState,
    headers: CallerHeaders,
    job: &str,
) -> Result<Response<ResponseBody>, ApiError> {
    match call_jobs(&shared, JobRequest::Status(Name::from(job))).await? {
        JobReply::Status { state, counts, due_unix_ms, organization } => {
            check_organization(job, &organization, &headers)?;
            Ok(json_response(StatusCode::OK, &render_status(job, state, &counts, due_unix_ms)))
        }
        other => Err(read_error(job, &other)),
    }
}

fn render_status(job: &str, state: JobState, counts: &Counts, due_unix_ms: u64) -> Value {
    json!({
        "id": job,
        "object": "batch",
        "status": state_name(state),
        "due_unix_ms": due_unix_ms,
        "request_counts": {
            "total": counts.items,
            "completed": counts.done,
            "failed": counts.failed,
            "cancelled": counts.cancelled,
        },
    })
}

const fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Open => "in_progress",
        JobState::Cancelled => "cancelled",
        JobState::Finished => "completed",
        JobState::Abandoned => "abandoned",
    }
}

/// Handles `GET /v1/batches/{id}/results`. The response contains one JSON object per line.
pub(super) async fn results(
    shared: SharedState,
    headers: CallerHeaders,
    job: &str,
) -> Result<Response<ResponseBody>, ApiError> {
    check_job_owner(&shared, &headers, job).await?;
    let mut replies = submit_job_request(&shared, JobRequest::Results(Name::from(job)))?;
    let mut lines = String::new();
    loop {
        match replies.recv().await {
            Some(JobReply::ResultsPart(results)) => {
                for result in &results {
                    lines.push_str(&render_result(result).to_string());
                    lines.push('\n');
                }
            }
            Some(JobReply::ResultsEnd { .. }) => {
                let body = Bytes::from(lines);
                return Ok(bytes_response(StatusCode::OK, "application/jsonl", body));
            }
            Some(other) => return Err(read_error(job, &other)),
            None => return Err(ApiError::stopping()),
        }
    }
}

fn render_result(result: &ItemResult) -> Value {
    let parse_body = |body: &[u8]| {
        serde_json::from_slice(body)
            .unwrap_or_else(|_| Value::String(String::from_utf8_lossy(body).into_owned()))
    };
    let mut fields: HashMap<&str, Value> = HashMap::new();
    fields.insert("custom_id", Value::String(result.custom_id.to_string()));
    match &result.outcome {
        ItemOutcome::Done { status, body } => {
            fields.insert("status", json!("done"));
            fields.insert("response", json!({ "status_code": status, "body": parse_body(body) }));
        }
        ItemOutcome::Failed { reason, status, body } => {
            fields.insert("status", json!("failed"));
            let code = reason.as_str();
            let error = json!({ "code": code, "status_code": status, "body": parse_body(body) });
            fields.insert("error", error);
        }
        ItemOutcome::Cancelled { may_have_run } => {
            let run = if *may_have_run { "unknown" } else { "not_run" };
            fields.insert("status", json!("cancelled"));
            fields.insert("run", json!(run));
        }
    }
    json!(fields)
}

/// Handles `POST /v1/batches/{id}/cancel`.
pub(super) async fn cancel(
    shared: SharedState,
    headers: CallerHeaders,
    job: &str,
) -> Result<Response<ResponseBody>, ApiError> {
    check_job_owner(&shared, &headers, job).await?;
    match call_jobs(&shared, JobRequest::Cancel(Name::from(job))).await? {
        JobReply::Cancelled { counts } => {
            let status = render_status(job, JobState::Cancelled, &counts, 0);
            Ok(json_response(StatusCode::OK, &status))
        }
        JobReply::AlreadyFinished => Err(ApiError {
            run: super::error::RunStatus::Ran,
            ..ApiError::not_run(
                StatusCode::CONFLICT,
                "already_finished",
                format!("job {job} finished before the cancellation"),
            )
        }),
        JobReply::CancelUnknown => Err(ApiError::unknown(
            StatusCode::SERVICE_UNAVAILABLE,
            "unknown",
            "the cancellation may have been stored; send it again",
        )),
        other => Err(read_error(job, &other)),
    }
}

/// Checks that a job exists and belongs to the organization of the caller.
async fn check_job_owner(
    shared: &SharedState,
    headers: &CallerHeaders,
    job: &str,
) -> Result<(), ApiError> {
    match call_jobs(shared, JobRequest::Status(Name::from(job))).await? {
        JobReply::Status { organization, .. } => check_organization(job, &organization, headers),
        other => Err(read_error(job, &other)),
    }
}

/// Checks that the caller belongs to the organization of a job.
///
/// The error is the same as for a job that does not exist, so that callers cannot detect jobs of
/// other organizations.
fn check_organization(job: &str, owner: &str, headers: &CallerHeaders) -> Result<(), ApiError> {
    if *owner == *headers.organization {
        return Ok(());
    }
    Err(read_error(job, &JobReply::JobNotFound))
}

fn read_error(job: &str, reply: &JobReply) -> ApiError {
    match reply {
        JobReply::JobNotFound => ApiError::not_found("unknown_job", format!("no job {job}")),
        JobReply::Unavailable => {
            ApiError::unavailable("store_unavailable", "the platform cannot be reached")
        }
        other => unexpected_reply(other),
    }
}

fn refusal_error(refusal: &Refusal) -> ApiError {
    match refusal {
        Refusal::StoreUnavailable => {
            ApiError::unavailable("store_unavailable", "the platform cannot be reached")
        }
        Refusal::Busy => ApiError::unavailable("busy", "too many submissions are in hand"),
        Refusal::Abandoned => ApiError::unavailable("abandoned", "send the job again"),
        Refusal::ServiceClosed => {
            ApiError::not_run(StatusCode::GONE, "service_closed", "the service is closed")
        }
        Refusal::Empty => ApiError::bad_request("empty", "the batch has no items"),
        Refusal::Overdue => ApiError::bad_request("overdue", "the due time has passed"),
        Refusal::TooManyItems { limit } => {
            too_large_error("too_many_items", format!("a batch has at most {limit} items"))
        }
        Refusal::JobTooLarge { limit } => {
            too_large_error("job_too_large", format!("a batch has at most {limit} bytes"))
        }
        Refusal::ItemTooLarge { custom_id, limit } => too_large_error(
            "item_too_large",
            format!("item {custom_id} has more than {limit} bytes"),
        ),
        Refusal::DuplicateId { custom_id } => ApiError::bad_request(
            "duplicate_custom_id",
            format!("custom_id {custom_id} is used twice"),
        ),
    }
}

fn too_large_error(code: &'static str, message: String) -> ApiError {
    ApiError::not_run(StatusCode::PAYLOAD_TOO_LARGE, code, message)
}

fn unexpected_reply(reply: &JobReply) -> ApiError {
    let code = if *reply == JobReply::Damaged { "damaged" } else { "internal" };
    ApiError::unknown(StatusCode::INTERNAL_SERVER_ERROR, code, "the job cannot be read")
}

fn submit_job_request(
    shared: &SharedState,
    request: JobRequest,
) -> Result<UnboundedReceiver<JobReply>, ApiError> {
    let (reply, replies) = mpsc::unbounded_channel();
    if !shared.send_to_jobs(JobsInput::Request { request, reply }) {
        return Err(ApiError::stopping());
    }
    Ok(replies)
}

async fn call_jobs(shared: &SharedState, request: JobRequest) -> Result<JobReply, ApiError> {
    submit_job_request(shared, request)?.recv().await.ok_or_else(ApiError::stopping)
}
