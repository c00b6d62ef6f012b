//! Planned requests.

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
use crate::Shape;

/// Odd constant that spreads the seeds of the streams of one run.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Distance of the seeds of jobs from those of online streams.
const JOB_SEEDS: u64 = 1 << 32;

/// One online request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Planned {
    /// Time since the start.
    pub(crate) at: Duration,
    /// Index of its stream.
    pub(crate) stream: usize,
    /// Index within its stream.
    pub(crate) number: usize,
    pub(crate) tokens: u64,
    pub(crate) prefix: Option<u32>,
}

/// Chat request with the answer that it must get.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Question {
    pub(crate) id: String,
    pub(crate) body: Value,
    pub(crate) prompt: PromptHash,
    pub(crate) tokens: u64,
}

/// Plans all online requests of a run, in order of time.
///
/// # Errors
///
/// Returns an error for rates that are not valid, and for more requests than the bound.
pub(crate) fn plan(cfg: &LoadConfig) -> Result<Vec<Planned>, LoadError> {
    let mut planned = Vec::new();
    for (stream, online) in cfg.streams.iter().enumerate() {
        let mut rng = rng_of(cfg.seed, stream as u64);
        let times =
            online.arrivals.draw(cfg.span(), cfg.max_requests.saturating_add(1), &mut rng)?;
        planned.extend(times.into_iter().enumerate().map(|(number, at)| Planned {
            at,
            stream,
            number,
            tokens: online.shape.tokens.draw(&mut rng),
            prefix: online.shape.draw_prefix(&mut rng),
        }));
    }
    if planned.len() > cfg.max_requests {
        let message = format!("more than {} requests are planned", cfg.max_requests);
        return Err(LoadError::Config(message));
    }
    planned.sort_by_key(|request| request.at);
    Ok(planned)
}

/// Writes a planned request out.
pub(crate) fn question(cfg: &LoadConfig, shape: &Shape, planned: &Planned) -> Question {
    let id = format!("{}-{:x}-{}-{}", cfg.label, cfg.seed, shape.name, planned.number);
    let prefix =
        planned.prefix.map(|n| filler(&format!("{} {n}:", shape.name), shape.prefix_chars));
    let text = prefix.unwrap_or_default() + &filler(&id, shape.prompt_chars);
    written(cfg, id, &text, planned.tokens, true)
}

/// Writes the items of a job out.
pub(crate) fn job_items(
    cfg: &LoadConfig,
    stream: usize,
    shape: &JobShape,
    job: usize,
) -> Vec<Question> {
    let key = job_key(cfg, shape, job);
    let mut rng = rng_of(cfg.seed, JOB_SEEDS + ((stream as u64) << 16) + job as u64);
    let items = (0..shape.items).map(|item| {
        let tokens = shape.draw_tokens(&mut rng);
        let text = filler(&format!("{key}-{item}"), shape.prompt_chars);
        written(cfg, format!("item-{item}"), &text, tokens, false)
    });
    items.collect()
}

/// Returns the key under which a job is submitted.
pub(crate) fn job_key(cfg: &LoadConfig, shape: &JobShape, job: usize) -> String {
    format!("{}-{:x}-{}-{job}", cfg.label, cfg.seed, shape.name)
}

fn written(cfg: &LoadConfig, id: String, text: &str, tokens: u64, stream: bool) -> Question {
    let mut body = json!({
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": tokens,
        "stream": stream,
    });
    if let Some(model) = &cfg.model {
        body["model"] = json!(model);
    }
    // The text is always present, so the hash always exists.
    let prompt = PromptHash::of_body(&body).unwrap_or(PromptHash(0));
    Question { id, body, prompt, tokens }
}

fn rng_of(seed: u64, stream: u64) -> StdRng {
    StdRng::seed_from_u64(seed ^ SEED_STEP.wrapping_mul(stream + 1))
}

/// Returns a text that starts with a name and has a certain length, if the name is not longer.
fn filler(name: &str, chars: usize) -> String {
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
