//! Parsing of chat requests.

use dogwoodtray_coord::ContentHash;
use serde_json::Value;

use super::config::EngineConfig;
use crate::answer::PromptHash;
use crate::answer::prompt_text;
use crate::http::Call;
use crate::http::Failure;
use crate::http::bad_request;

/// Parsed chat request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    pub(crate) prompt: PromptHash,
    /// Key of the prompt prefix in the cache.
    pub(crate) prefix: String,
    pub(crate) prompt_tokens: u64,
    /// Number of prompt tokens in the prefix.
    pub(crate) prefix_tokens: u64,
    pub(crate) max_tokens: u64,
    pub(crate) resume_from: u64,
    pub(crate) stream: bool,
}

impl ChatRequest {
    /// Parses a request.
    ///
    /// # Errors
    ///
    /// Returns a failure with status 400 that describes what is invalid.
    pub(crate) fn parse(call: &Call, cfg: &EngineConfig) -> Result<Self, Failure> {
        let body: Value = call.json()?;
        let text = prompt_text(&body).map_err(bad_request)?;
        let max_tokens = optional_u64(&body, "max_tokens")?.unwrap_or(cfg.default_max_tokens);
        if max_tokens > cfg.max_tokens_limit {
            return Err(bad_request(format!("max_tokens is larger than {}", cfg.max_tokens_limit)));
        }
        let resume_from = optional_u64(&body, "resume_from")?.unwrap_or_default();
        if resume_from > max_tokens {
            return Err(bad_request("resume_from is larger than max_tokens"));
        }
        let prefix_text: String = text.chars().take(cfg.prefix_chars).collect();
        let prefix = match optional_field(&body, "prefix", Value::as_str)? {
            Some(prefix) => prefix.to_owned(),
            None => ContentHash::of(prefix_text.as_bytes()).to_string(),
        };
        let prompt_tokens = token_count(text.chars().count(), cfg);
        let prefix_tokens = token_count(prefix_text.chars().count(), cfg).min(prompt_tokens);
        let stream = optional_field(&body, "stream", Value::as_bool)?.unwrap_or(false);
        let model = optional_field(&body, "model", Value::as_str)?.unwrap_or_default();
        let model = model.to_owned();
        let prompt = PromptHash::from_text(&text);
        Ok(Self {
            model,
            prompt,
            prefix,
            prompt_tokens,
            prefix_tokens,
            max_tokens,
            resume_from,
            stream,
        })
    }

    /// Returns the number of tokens to process before the first new token. It is at least one,
    /// because the engine always processes the last token of the prompt.
    pub(crate) fn prefill_tokens(&self, cache_hit: bool) -> u64 {
        let cached = if cache_hit { self.prefix_tokens } else { 0 };
        (self.prompt_tokens + self.resume_from).saturating_sub(cached).max(1)
    }
}

fn token_count(chars: usize, cfg: &EngineConfig) -> u64 {
    (chars as u64).div_ceil(cfg.chars_per_token.max(1))
}

fn optional_u64(body: &Value, name: &str) -> Result<Option<u64>, Failure> {
    optional_field(body, name, Value::as_u64)
}

fn optional_field<'a, T>(
    body: &'a Value,
    name: &str,
    convert: impl FnOnce(&'a Value) -> Option<T>,
) -> Result<Option<T>, Failure> {
    match body.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => {
            convert(value).map(Some).ok_or_else(|| bad_request(format!("{name} is not valid")))
        }
    }
}
