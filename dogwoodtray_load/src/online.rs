//! Sending and measuring of one online request.

use std::time::Duration;

use dogwoodtray_standin::AnswerFault;
use dogwoodtray_standin::check_answer;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::RequestShape;
use crate::client::EntryClient;
use crate::client::Header;
use crate::client::refusal_code;
use crate::plan::ChatRequest;
use crate::sse::ChatEvent;
use crate::sse::EventParser;

const CHAT_PATH: &str = "/v1/chat/completions";

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The answer is correct and complete.
    Complete,
    /// The entry returned an error status; holds the key of [`refusal_code`].
    Refused(String),
    /// The text belongs to another request or has a gap.
    Wrong,
    /// The text is correct but incomplete.
    Truncated,
    /// No response was received, or the request timed out.
    Failed,
}

/// Measurements of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestSample {
    pub(crate) outcome: Outcome,
    /// Time from the planned to the actual send time.
    pub(crate) send_lag: Duration,
    /// Time from the planned send time to the first token.
    pub(crate) first_token: Option<Duration>,
    /// Times between consecutive tokens.
    pub(crate) token_gaps: Vec<Duration>,
    /// Time from the planned send time to the end.
    pub(crate) total: Duration,
}

/// Partially received answer of a streaming request.
#[derive(Debug)]
struct StreamedAnswer {
    planned_at: Instant,
    last_token_at: Option<Instant>,
    text: String,
    /// Whether the event that ends the stream was received.
    done: bool,
    /// Whether the body ended without an error.
    is_framed_whole: bool,
    first_token: Option<Duration>,
    token_gaps: Vec<Duration>,
}

impl StreamedAnswer {
    fn add_event(&mut self, now: Instant, event: ChatEvent) {
        match event {
            ChatEvent::Content(content) => {
                self.text.push_str(&content);
                match self.last_token_at.replace(now) {
                    Some(last_token_at) => self.token_gaps.push(now.duration_since(last_token_at)),
                    None => self.first_token = Some(now.duration_since(self.planned_at)),
                }
            }
            ChatEvent::Done => self.done = true,
            ChatEvent::Other => {}
        }
    }

    /// Reads the body until it ends or fails.
    async fn read(&mut self, mut body: Incoming) {
        let mut parser = EventParser::default();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return };
            let now = Instant::now();
            if let Some(bytes) = frame.data_ref() {
                parser.push(bytes, |event| self.add_event(now, event));
            }
        }
        self.is_framed_whole = true;
    }

    fn outcome(&self, chat_request: &ChatRequest) -> Outcome {
        match check_answer(chat_request.prompt, chat_request.tokens, &self.text) {
            Ok(()) if self.done && self.is_framed_whole => Outcome::Complete,
            Ok(()) | Err(AnswerFault::Truncated { .. }) => Outcome::Truncated,
            Err(AnswerFault::Wrong { .. }) => Outcome::Wrong,
        }
    }
}

/// Sends a request and reads its answer, unless the timeout elapses.
pub(crate) async fn measure_request(
    client: EntryClient,
    entry_index: usize,
    shape: &RequestShape,
    organization: Option<&str>,
    chat_request: ChatRequest,
    planned_at: Instant,
    timeout: Duration,
) -> RequestSample {
    let send_lag = planned_at.elapsed();
    let mut answer = StreamedAnswer {
        planned_at,
        last_token_at: None,
        text: String::new(),
        done: false,
        is_framed_whole: false,
        first_token: None,
        token_gaps: Vec::new(),
    };
    let outcome_future =
        send_and_read(&client, entry_index, shape, organization, &chat_request, &mut answer);
    let outcome = tokio::time::timeout(timeout, outcome_future).await.unwrap_or(Outcome::Failed);
    RequestSample {
        outcome,
        send_lag,
        first_token: answer.first_token,
        token_gaps: answer.token_gaps,
        total: planned_at.elapsed(),
    }
}

async fn send_and_read(
    client: &EntryClient,
    entry_index: usize,
    shape: &RequestShape,
    organization: Option<&str>,
    chat_request: &ChatRequest,
    answer: &mut StreamedAnswer,
) -> Outcome {
    let deadline = shape.deadline.map(|deadline| deadline.as_millis().to_string());
    let mut headers: Vec<Header<'_>> =
        vec![("content-type", "application/json"), ("x-request-id", &chat_request.id)];
    headers.extend(deadline.as_deref().map(|deadline| ("x-deadline-ms", deadline)));
    headers.extend(organization.map(|name| ("x-organization", name)));
    if !shape.idempotent {
        headers.push(("x-non-idempotent", "true"));
        headers.push(("idempotency-key", &chat_request.id));
    }
    let body = chat_request.body.to_string().into_bytes();
    let Ok(response) = client.send(entry_index, Method::POST, CHAT_PATH, &headers, body).await
    else {
        return Outcome::Failed;
    };
    let status = response.status();
    if status.is_success() {
        answer.read(response.into_body()).await;
        return answer.outcome(chat_request);
    }
    match response.into_body().collect().await {
        Ok(body) => Outcome::Refused(refusal_code(status, &body.to_bytes())),
        Err(_) => Outcome::Refused(status.as_u16().to_string()),
    }
}
