//! One online request.

use std::time::Duration;

use dogwoodtray_standin::AnswerFault;
use dogwoodtray_standin::check_answer;
use http_body_util::BodyExt;
use hyper::Method;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::Shape;
use crate::client::EntryClient;
use crate::client::Header;
use crate::client::refusal_code;
use crate::plan::Question;
use crate::sse::ChatEvent;
use crate::sse::EventReader;

const CHAT_PATH: &str = "/v1/chat/completions";

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The right text came to its end.
    Whole,
    /// An error status, by its code.
    Refused(String),
    /// A text that belongs to another request, or has a gap.
    Wrong,
    /// The right text, but not to its end.
    Truncated,
    /// No answer, or a timeout.
    Failed,
}

/// Times of one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Sample {
    pub(crate) outcome: Outcome,
    /// From the planned time to the sending.
    pub(crate) send_lag: Duration,
    /// From the planned time to the first token.
    pub(crate) first_token: Option<Duration>,
    /// Between tokens.
    pub(crate) gaps: Vec<Duration>,
    /// From the planned time to the end.
    pub(crate) total: Duration,
}

/// Text of an answer as it arrives.
#[derive(Debug)]
struct Arriving {
    planned: Instant,
    last: Option<Instant>,
    text: String,
    done: bool,
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
}

impl Arriving {
    fn take(&mut self, now: Instant, event: ChatEvent) {
        match event {
            ChatEvent::Content(content) => {
                self.text.push_str(&content);
                match self.last.replace(now) {
                    Some(last) => self.gaps.push(now.duration_since(last)),
                    None => self.first_token = Some(now.duration_since(self.planned)),
                }
            }
            ChatEvent::Done => self.done = true,
            ChatEvent::Other => {}
        }
    }

    async fn read(&mut self, mut body: Incoming) {
        let mut reader = EventReader::default();
        while let Some(Ok(frame)) = body.frame().await {
            let now = Instant::now();
            if let Some(bytes) = frame.data_ref() {
                reader.push(bytes, |event| self.take(now, event));
            }
        }
    }

    fn outcome(&self, question: &Question) -> Outcome {
        match check_answer(question.prompt, question.tokens, &self.text) {
            Ok(()) if self.done => Outcome::Whole,
            Ok(()) | Err(AnswerFault::Truncated { .. }) => Outcome::Truncated,
            Err(AnswerFault::Wrong { .. }) => Outcome::Wrong,
        }
    }
}

/// Sends a request and reads its answer, within a time.
pub(crate) async fn ask(
    client: EntryClient,
    turn: usize,
    shape: &Shape,
    organization: Option<&str>,
    question: Question,
    planned: Instant,
    timeout: Duration,
) -> Sample {
    let send_lag = planned.elapsed();
    let mut arriving = Arriving {
        planned,
        last: None,
        text: String::new(),
        done: false,
        first_token: None,
        gaps: Vec::new(),
    };
    let exchange = exchange(&client, turn, shape, organization, &question, &mut arriving);
    let outcome = tokio::time::timeout(timeout, exchange).await.unwrap_or(Outcome::Failed);
    Sample {
        outcome,
        send_lag,
        first_token: arriving.first_token,
        gaps: arriving.gaps,
        total: planned.elapsed(),
    }
}

async fn exchange(
    client: &EntryClient,
    turn: usize,
    shape: &Shape,
    organization: Option<&str>,
    question: &Question,
    arriving: &mut Arriving,
) -> Outcome {
    let deadline = shape.deadline.map(|deadline| deadline.as_millis().to_string());
    let mut headers: Vec<Header<'_>> =
        vec![("content-type", "application/json"), ("x-request-id", &question.id)];
    headers.extend(deadline.as_deref().map(|deadline| ("x-deadline-ms", deadline)));
    headers.extend(organization.map(|name| ("x-organization", name)));
    if !shape.idempotent {
        headers.push(("x-non-idempotent", "true"));
        headers.push(("idempotency-key", &question.id));
    }
    let body = question.body.to_string().into_bytes();
    let Ok(response) = client.open(turn, Method::POST, CHAT_PATH, &headers, body).await else {
        return Outcome::Failed;
    };
    let status = response.status();
    if status.is_success() {
        arriving.read(response.into_body()).await;
        return arriving.outcome(question);
    }
    match response.into_body().collect().await {
        Ok(body) => Outcome::Refused(refusal_code(status, &body.to_bytes())),
        Err(_) => Outcome::Refused(status.as_u16().to_string()),
    }
}
