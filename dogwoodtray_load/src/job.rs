//! One batch job.

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
use crate::plan::Question;

/// Path of the batch interface.
const BATCHES_PATH: &str = "/v1/batches";

/// States that a job does not leave.
const END_STATES: [&str; 6] = ["completed", "done", "failed", "cancelled", "expired", "abandoned"];

/// Places of the number of items that are done in the status of a job.
const DONE_POINTERS: [&str; 3] = ["/counts/done", "/counts/completed", "/request_counts/completed"];

/// Job to submit.
#[derive(Clone, Debug)]
pub(crate) struct JobPlan {
    /// Index of its stream.
    pub(crate) stream: usize,
    /// Time since the start.
    pub(crate) at: Duration,
    pub(crate) key: String,
    pub(crate) items: Vec<Question>,
    pub(crate) body: Vec<u8>,
}

impl JobPlan {
    /// Writes a job out.
    pub(crate) fn new(
        stream: usize,
        at: Duration,
        key: String,
        items: Vec<Question>,
        model: Option<&str>,
    ) -> Self {
        let requests: Vec<Value> =
            items.iter().map(|item| json!({ "custom_id": item.id, "body": item.body })).collect();
        let mut body = json!({ "requests": requests });
        if let Some(model) = model {
            body["model"] = json!(model);
        }
        let body = body.to_string().into_bytes();
        Self { stream, at, key, items, body }
    }
}

/// How a caller handles its job.
#[derive(Clone, Debug)]
pub(crate) struct JobTerms {
    pub(crate) organization: Option<String>,
    pub(crate) deadline: Option<Duration>,
    pub(crate) timeout: Duration,
    pub(crate) poll_interval: Duration,
    /// Start and end of the time in which online requests are measured.
    pub(crate) window: (Instant, Instant),
}

/// What became of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct JobSample {
    pub(crate) refused: Vec<String>,
    pub(crate) accepted: bool,
    /// Time from the planned submission to the end; `None` for an unfinished job.
    pub(crate) turnaround: Option<Duration>,
    pub(crate) items: ItemCounts,
    pub(crate) tokens: u64,
    done_before: u64,
    done_last: u64,
}

impl JobSample {
    /// Returns the items that were done in the measured time, as far as the entries said so.
    pub(crate) const fn done_in_window(&self) -> u64 {
        self.done_last.saturating_sub(self.done_before)
    }

    fn observe(&mut self, now: Instant, window: (Instant, Instant), status: &Value) {
        let done = DONE_POINTERS.iter().find_map(|pointer| status.pointer(pointer)?.as_u64());
        let done = done.unwrap_or_default();
        if now <= window.0 {
            self.done_before = done;
        }
        if now <= window.1 {
            self.done_last = done;
        }
    }
}

/// Submits a job, waits for its end and checks its results, within a time.
pub(crate) async fn drive(
    client: EntryClient,
    turn: usize,
    plan: &JobPlan,
    terms: JobTerms,
    planned: Instant,
) -> JobSample {
    let mut sample = JobSample::default();
    let mut caller = Caller { client, turn, terms: &terms };
    let driven = caller.run(plan, &mut sample);
    if tokio::time::timeout(terms.timeout, driven).await.is_ok() {
        sample.turnaround = Some(planned.elapsed());
    }
    sample
}

/// Caller that goes on to another entry when one gives no answer.
struct Caller<'a> {
    client: EntryClient,
    turn: usize,
    terms: &'a JobTerms,
}

impl Caller<'_> {
    async fn run(&mut self, plan: &JobPlan, sample: &mut JobSample) {
        let id = self.submit(plan, sample).await;
        self.wait_for_end(&id, sample).await;
        let lines = self.results(&id).await;
        (sample.items, sample.tokens) = check_results(&plan.items, &lines);
    }

    async fn submit(&mut self, plan: &JobPlan, sample: &mut JobSample) -> String {
        loop {
            let answer = self.call(Method::POST, BATCHES_PATH, &plan.key, plan.body.clone()).await;
            match answer {
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
            self.pause().await;
        }
    }

    async fn wait_for_end(&mut self, id: &str, sample: &mut JobSample) {
        let path = format!("{BATCHES_PATH}/{id}");
        loop {
            if let Some((StatusCode::OK, body)) = self.call(Method::GET, &path, "", vec![]).await {
                let status: Value = serde_json::from_slice(&body).unwrap_or_default();
                sample.observe(Instant::now(), self.terms.window, &status);
                let state = status.get("status").and_then(Value::as_str).unwrap_or_default();
                if END_STATES.contains(&state) {
                    return;
                }
            }
            self.pause().await;
        }
    }

    async fn results(&mut self, id: &str) -> String {
        let path = format!("{BATCHES_PATH}/{id}/results");
        loop {
            if let Some((StatusCode::OK, body)) = self.call(Method::GET, &path, "", vec![]).await {
                return String::from_utf8_lossy(&body).into_owned();
            }
            self.pause().await;
        }
    }

    async fn call(
        &mut self,
        method: Method,
        path: &str,
        key: &str,
        body: Vec<u8>,
    ) -> Option<(StatusCode, Bytes)> {
        let deadline = self.terms.deadline.map(|deadline| deadline.as_millis().to_string());
        let mut headers = Vec::new();
        headers.extend(self.terms.organization.as_deref().map(|name| ("x-organization", name)));
        if !key.is_empty() {
            headers.push(("idempotency-key", key));
            headers.push(("content-type", "application/json"));
            headers.extend(deadline.as_deref().map(|deadline| ("x-deadline-ms", deadline)));
        }
        let answer = self.client.send(self.turn, method, path, &headers, body).await;
        if answer.is_err() {
            self.turn += 1;
        }
        answer.ok()
    }

    async fn pause(&self) {
        tokio::time::sleep(self.terms.poll_interval).await;
    }
}
