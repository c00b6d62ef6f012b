//! Callers of online and non-idempotent requests.

use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;

use dogwoodtray_standin::PromptHash;
use dogwoodtray_standin::check_answer;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use super::fleet::MODEL;
use super::fleet::POISON;
use super::fleet::SERVICE;
use super::history::Call;
use super::history::CallKind;
use super::history::Outcome;
use super::http;
use super::http::HttpError;
use super::run::TestRun;

/// Maximum number of calls for one request.
const MAX_CALLS: usize = 12;
/// Maximum delay before a retry, in milliseconds.
const MAX_RESEND_DELAY_MS: u64 = 150;

/// Sends one request after another until the load ends.
pub(crate) fn run(test_run: &TestRun, kind: CallKind, caller: u64) {
    let mut rng = StdRng::seed_from_u64(test_run.seed ^ (caller << 32));
    let mut number = 0;
    while !test_run.stop_load.load(SeqCst) {
        let request = Request::new(kind, &format!("{caller}-{number}"), &mut rng);
        request.send_until_answered(test_run, &mut rng);
        let pause = if kind == CallKind::Poison { 2_500 } else { rng.random_range(10..60) };
        std::thread::sleep(Duration::from_millis(pause));
        number += 1;
    }
}

/// A request that may be sent several times.
pub(crate) struct Request {
    kind: CallKind,
    key: String,
    tokens: u64,
    streamed: bool,
    body: Value,
}

impl Request {
    pub(crate) fn new(kind: CallKind, name: &str, rng: &mut StdRng) -> Self {
        let tokens = rng.random_range(4..24);
        let streamed = rng.random_bool(0.5);
        let marker = if kind == CallKind::Poison { POISON } else { "slip" };
        let prefix = match kind {
            CallKind::Online => 'o',
            CallKind::NonIdempotentChat => 'n',
            CallKind::NonIdempotentService => 's',
            CallKind::Poison => 'p',
        };
        let key = format!("{prefix}{name}");
        let body = chat_body(&format!("{marker} {key}"), tokens, streamed);
        Self { kind, key, tokens, streamed, body }
    }

    /// Retries through another entry until there is a response or a final error.
    ///
    /// Some non-idempotent requests are also sent through a second entry concurrently.
    fn send_until_answered(&self, test_run: &TestRun, rng: &mut StdRng) {
        std::thread::scope(|scope| {
            if self.is_non_idempotent() && rng.random_bool(0.2) {
                let entry = test_run.random_entry(None, rng);
                scope.spawn(move || self.send(test_run, MAX_CALLS, entry));
            }
            self.send_sequentially(test_run, rng);
        });
    }

    fn send_sequentially(&self, test_run: &TestRun, rng: &mut StdRng) {
        let mut last = None;
        for number in 0..MAX_CALLS {
            let entry = test_run.random_entry(last, rng);
            last = Some(entry);
            let outcome = self.send(test_run, number, entry);
            match outcome {
                Outcome::Answered(_) => return,
                // A non-idempotent request is not run again, so the error is final.
                Outcome::Failed(_) if self.is_non_idempotent() => return,
                _ => {}
            }
            std::thread::sleep(Duration::from_millis(rng.random_range(0..MAX_RESEND_DELAY_MS)));
        }
    }

    /// Sends the request once and records the call.
    fn send(&self, test_run: &TestRun, number: usize, entry: usize) -> Outcome {
        let call = self.call(test_run, number, entry);
        test_run.calls.lock().unwrap().push(call.clone());
        call.outcome
    }

    /// Sends the request once and returns the call without recording it.
    pub(crate) fn call(&self, test_run: &TestRun, number: usize, entry: usize) -> Call {
        let id = format!("{}.{number}", self.key);
        let began_ms = test_run.now_ms();
        let mut headers = vec![("x-request-id", id.as_str())];
        if self.is_non_idempotent() {
            headers.push(("idempotency-key", self.key.as_str()));
            headers.push(("x-non-idempotent", "true"));
        }
        let path = match self.kind {
            CallKind::NonIdempotentService => format!("/v1/services/{SERVICE}/payouts"),
            _ => "/v1/chat/completions".to_owned(),
        };
        let addr = test_run.fleet.entries[entry].listen;
        let outcome = match http::send("POST", addr, &path, &headers, &self.body.to_string()) {
            Ok((status, body)) => self.parse_response(status, &body),
            Err(HttpError::Refused) => Outcome::Refused,
            Err(HttpError::Broken) => Outcome::Broken,
            Err(HttpError::TimedOut) => Outcome::TimedOut,
        };
        Call {
            id,
            key: self.key.clone(),
            kind: self.kind,
            entry,
            began_ms,
            ended_ms: test_run.now_ms(),
            outcome,
        }
    }

    const fn is_non_idempotent(&self) -> bool {
        matches!(self.kind, CallKind::NonIdempotentChat | CallKind::NonIdempotentService)
    }

    fn parse_response(&self, status: u16, body: &[u8]) -> Outcome {
        if status != 200 {
            return parse_error(serde_json::from_slice(body).unwrap_or_default());
        }
        if self.kind == CallKind::NonIdempotentService {
            let echo: Value = serde_json::from_slice(body).unwrap_or_default();
            let is_expected = echo["key"] == self.key.as_str();
            return Outcome::Answered(
                (!is_expected).then(|| format!("response for another key: {echo}")),
            );
        }
        let text = if self.streamed {
            match parse_stream(&String::from_utf8_lossy(body)) {
                Ok(text) => text,
                Err(outcome) => return outcome,
            }
        } else {
            let answer: Value = serde_json::from_slice(body).unwrap_or_default();
            answer["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
        };
        Outcome::Answered(text_mismatch(&self.body, self.tokens, &text))
    }
}

/// Returns the body of a chat request.
pub(crate) fn chat_body(prompt: &str, tokens: u64, streamed: bool) -> Value {
    json!({
        "model": MODEL, "max_tokens": tokens, "stream": streamed,
        "messages": [{ "role": "user", "content": prompt }],
    })
}

/// Returns how a text differs from the expected one, or `None` if it does not.
pub(crate) fn text_mismatch(body: &Value, tokens: u64, text: &str) -> Option<String> {
    let prompt = PromptHash::of_body(body).unwrap();
    check_answer(prompt, tokens, text).err().map(|fault| fault.to_string())
}

fn parse_error(body: Value) -> Outcome {
    let error = &body["error"];
    let code = format!("{}: {}", error["code"], error["message"]);
    match error["run"].as_str() {
        Some("not_run") => Outcome::NotRun(code),
        _ => Outcome::Failed(code),
    }
}

/// Concatenates the tokens of a stream. Returns [`Outcome::Broken`] if the stream has no end
/// marker.
fn parse_stream(stream: &str) -> Result<String, Outcome> {
    let mut text = String::new();
    for data in stream.lines().filter_map(|line| line.strip_prefix("data:")) {
        if data.trim() == "[DONE]" {
            return Ok(text);
        }
        let event: Value = serde_json::from_str(data).map_err(|_| Outcome::Broken)?;
        if !event["error"].is_null() {
            return Err(parse_error(event));
        }
        text += event["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
    }
    Err(Outcome::Broken)
}
