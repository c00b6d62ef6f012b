//! Planned requests and jobs.

use std::fmt::Write;
use std::time::Duration;

use dogwoodtray_standin::PromptHash;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use crate::JobShape;
use crate::LoadConfig;
use crate::LoadError;
use crate::RequestShape;

/// Odd multiplier that derives distinct seeds for the streams of one run.
const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Offset that separates the seeds of jobs from the seeds of online streams.
const JOB_SEED_OFFSET: u64 = 1 << 32;

/// Planned online request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PlannedRequest {
    /// Planned send time, relative to the start of the run.
    pub(crate) offset: Duration,
    /// Index of the stream in the configuration.
    pub(crate) stream: usize,
    /// Index within the stream.
    pub(crate) number: usize,
    pub(crate) tokens: u64,
    /// Index of the shared prompt prefix.
    pub(crate) prefix: Option<u32>,
}

/// Chat request with the parameters of its expected answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ChatRequest {
    pub(crate) id: String,
    pub(crate) body: Value,
    pub(crate) prompt: PromptHash,
    pub(crate) tokens: u64,
}

/// Plans all online requests of a run, sorted by send time.
///
/// # Errors
///
/// Returns an error if a rate is invalid or if more requests are planned than allowed.
pub(crate) fn plan_requests(cfg: &LoadConfig) -> Result<Vec<PlannedRequest>, LoadError> {
    let mut planned = Vec::new();
    for (stream, online) in cfg.streams.iter().enumerate() {
        let mut rng = stream_rng(cfg.seed, stream as u64);
        let times = online.arrivals.sample_times(
            cfg.total_duration(),
            cfg.max_requests.saturating_add(1),
            &mut rng,
        )?;
        planned.extend(times.into_iter().enumerate().map(|(number, offset)| PlannedRequest {
            offset,
            stream,
            number,
            tokens: online.shape.tokens.sample(&mut rng),
            prefix: online.shape.sample_prefix(&mut rng),
        }));
    }
    if planned.len() > cfg.max_requests {
        let message = format!("more than {} requests are planned", cfg.max_requests);
        return Err(LoadError::Config(message));
    }
    planned.sort_by_key(|request| request.offset);
    Ok(planned)
}

/// Builds the chat request of a planned request.
pub(crate) fn build_online_request(
    cfg: &LoadConfig,
    shape: &RequestShape,
    planned: &PlannedRequest,
) -> ChatRequest {
    let id = format!("{}-{:x}-{}-{}", cfg.label, cfg.seed, shape.name, planned.number);
    let prefix =
        planned.prefix.map(|n| filler_text(&format!("{} {n}:", shape.name), shape.prefix_chars));
    let text = prefix.unwrap_or_default() + &filler_text(&id, shape.prompt_chars);
    build_chat_request(cfg, id, &text, planned.tokens, true)
}

/// Builds the chat requests of the items of a job.
pub(crate) fn build_job_items(
    cfg: &LoadConfig,
    stream: usize,
    shape: &JobShape,
    job: usize,
) -> Vec<ChatRequest> {
    let key = job_key(cfg, shape, job);
    let mut rng = stream_rng(cfg.seed, JOB_SEED_OFFSET + ((stream as u64) << 16) + job as u64);
    let items = (0..shape.items).map(|item| {
        let tokens = shape.sample_tokens(&mut rng);
        let text = filler_text(&format!("{key}-{item}"), shape.prompt_chars);
        build_chat_request(cfg, format!("item-{item}"), &text, tokens, false)
    });
    items.collect()
}

/// Returns the idempotency key of a job.
pub(crate) fn job_key(cfg: &LoadConfig, shape: &JobShape, job: usize) -> String {
    format!("{}-{:x}-{}-{job}", cfg.label, cfg.seed, shape.name)
}

fn build_chat_request(
    cfg: &LoadConfig,
    id: String,
    text: &str,
    tokens: u64,
    stream: bool,
) -> ChatRequest {
    let mut body = json!({
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": tokens,
        "stream": stream,
    });
    if let Some(model) = &cfg.model {
        body["model"] = json!(model);
    }
    // The body always has a prompt, so the hash always exists.
    let prompt = PromptHash::of_body(&body).unwrap_or(PromptHash(0));
    ChatRequest { id, body, prompt, tokens }
}

fn stream_rng(seed: u64, stream: u64) -> StdRng {
    StdRng::seed_from_u64(seed ^ SEED_MULTIPLIER.wrapping_mul(stream + 1))
}

/// Returns a text of `chars` characters that starts with `name`, or `name` if it is longer.
fn filler_text(name: &str, chars: usize) -> String {
    let mut text = name.to_owned();
    let mut word = 0;
    while text.len() < chars {
        // Writing to a string can't fail.
        let _ = write!(text, " word{word}");
        word += 1;
    }
    text.truncate(chars.max(name.len()));
    text
}
