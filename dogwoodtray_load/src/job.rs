//! Submission and verification of one batch job.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::ItemCounts;
use crate::client::EntryClient;
use crate::client::refusal_code;
use crate::items::check_results;
use crate::plan::ChatRequest;

/// Path of the batch API.
const BATCHES_PATH: &str = "/v1/batches";

/// Final states of a job.
const FINAL_STATES: [&str; 6] =
    ["completed", "done", "failed", "cancelled", "expired", "abandoned"];

/// JSON pointers to the number of done items in the status of a job, in order of preference.
const DONE_COUNT_POINTERS: [&str; 3] =
    ["/counts/done", "/counts/completed", "/request_counts/completed"];

/// Job with its planned submission time and its encoded body.
#[derive(Clone, Debug)]
pub(crate) struct PlannedJob {
    /// Index of the stream in the configuration.
    pub(crate) stream: usize,
    /// Planned submission time, relative to the start of the run.
    pub(crate) offset: Duration,
    /// Idempotency key.
    pub(crate) key: String,
    pub(crate) items: Vec<ChatRequest>,
    pub(crate) body: Vec<u8>,
}

impl PlannedJob {
    /// Creates a job and encodes its body.
    pub(crate) fn new(
        stream: usize,
        offset: Duration,
        key: String,
        items: Vec<ChatRequest>,
        model: Option<&str>,
    ) -> Self {
        let requests: Vec<Value> =
            items.iter().map(|item| json!({ "custom_id": item.id, "body": item.body })).collect();
        let mut body = json!({ "requests": requests });
        if let Some(model) = model {
            body["model"] = json!(model);
        }
        let body = body.to_string().into_bytes();
        Self { stream, offset, key, items, body }
    }
}

/// Options of submitting and polling a job.
#[derive(Clone, Debug)]
pub(crate) struct JobOptions {
    pub(crate) organization: Option<String>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) timeout: Duration,
    pub(crate) poll_interval: Duration,
    /// Start and end of the measurement window.
    pub(crate) window: (Instant, Instant),
}

/// Measurements of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobSample {
    /// Reasons of failed submission attempts, in order.
    pub(crate) refused: Vec<String>,
    pub(crate) accepted: bool,
    /// Time from the planned submission until the results were read; `None` for an unfinished job.
    pub(crate) turnaround: Option<Duration>,
    pub(crate) items: ItemCounts,
    pub(crate) tokens: u64,
    /// Done items in the last status that was read before the measurement window.
    done_at_window_start: u64,
    /// Done items in the last status that was read before the end of the measurement window.
    done_at_window_end: u64,
}

impl JobSample {
    /// Returns the number of items that the entries reported as done in the measurement window.
    pub(crate) const fn done_in_window(&self) -> u64 {
        self.done_at_window_end.saturating_sub(self.done_at_window_start)
    }

    fn record_progress(&mut self, now: Instant, window: (Instant, Instant), status: &Value) {
        let done = DONE_COUNT_POINTERS.iter().find_map(|pointer| status.pointer(pointer)?.as_u64());
        let done = done.unwrap_or_default();
        if now <= window.0 {
            self.done_at_window_start = done;
        }
        if now <= window.1 {
            self.done_at_window_end = done;
        }
    }
}

/// Submits a job, polls it until it ends and checks its results, unless the job timeout elapses.
pub(crate) async fn run_job(
    client: EntryClient,
    entry_index: usize,
    job: &PlannedJob,
    options: JobOptions,
    planned_at: Instant,
) -> JobSample {
    let mut sample = JobSample::default();
    let mut job_client = JobClient { client, entry_index, options: &options };
    let completion = job_client.run(job, &mut sample);
    if tokio::time::timeout(options.timeout, completion).await.is_ok() {
        sample.turnaround = Some(planned_at.elapsed());
    }
    sample
}

/// Client that switches to the next entry when a request receives no response.
struct JobClient<'a> {
    client: EntryClient,
    entry_index: usize,
    options: &'a JobOptions,
}

impl JobClient<'_> {
    async fn run(&mut self, job: &PlannedJob, sample: &mut JobSample) {
        let id = self.submit(job, sample).await;
        self.poll_until_final(&id, sample).await;
        let lines = self.fetch_results(&id).await;
        (sample.items, sample.tokens) = check_results(&job.items, &lines);
    }

    async fn submit(&mut self, job: &PlannedJob, sample: &mut JobSample) -> String {
        loop {
            let response = self.call(Method::POST, BATCHES_PATH, &job.key, job.body.clone()).await;
            match response {
                Some((status, body)) if status.is_success() => {
                    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
                    if let Some(id) = body.get("id").and_then(Value::as_str) {
                        sample.accepted = true;
                        return id.to_owned();
                    }
                    sample.refused.push("answer without id".to_owned());
                }
                Some((status, body)) => sample.refused.push(refusal_code(status, &body)),
                None => sample.refused.push("no answer".to_owned()),
            }
            self.wait_poll_interval().await;
        }
    }

    async fn poll_until_final(&mut self, id: &str, sample: &mut JobSample) {
        let path = format!("{BATCHES_PATH}/{id}");
        loop {
            if let Some((StatusCode::OK, body)) = self.call(Method::GET, &path, "", vec![]).await {
                let status: Value = serde_json::from_slice(&body).unwrap_or_default();
                sample.record_progress(Instant::now(), self.options.window, &status);
                let state = status.get("status").and_then(Value::as_str).unwrap_or_default();
                if FINAL_STATES.contains(&state) {
                    return;
                }
            }
            self.wait_poll_interval().await;
        }
    }

    async fn fetch_results(&mut self, id: &str) -> String {
        let path = format!("{BATCHES_PATH}/{id}/results");
        loop {
            if let Some((StatusCode::OK, body)) = self.call(Method::GET, &path, "", vec![]).await {
                return String::from_utf8_lossy(&body).into_owned();
            }
            self.wait_poll_interval().await;
        }
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        key: &str,
        body: Vec<u8>,
    ) -> Option<(StatusCode, Bytes)> {
        let deadline = self.options.deadline.map(|deadline| deadline.as_millis().to_string());
        let mut headers = Vec::new();
        headers.extend(self.options.organization.as_deref().map(|name| ("x-organization", name)));
        if !key.is_empty() {
            headers.push(("idempotency-key", key));
            headers.push(("content-type", "application/json"));
            headers.extend(deadline.as_deref().map(|deadline| ("x-deadline-ms", deadline)));
        }
        let response =
            self.client.send_and_collect(self.entry_index, method, path, &headers, body).await;
        if response.is_err() {
            self.entry_index += 1;
        }
        response.ok()
    }

    async fn wait_poll_interval(&self) {
        tokio::time::sleep(self.options.poll_interval).await;
    }
}
