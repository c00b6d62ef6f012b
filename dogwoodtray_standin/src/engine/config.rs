//! Settings.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use super::faults::EngineFaults;

/// Settings of [`EngineStandin`](super::EngineStandin).
///
/// A step takes `base + per_sequence * sequences inside + prefill_per_token * new prompt tokens`.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Address of the listener. Port 0 picks a free one.
    pub addr: SocketAddr,
    /// Seed of the gaps between cache events.
    pub seed: u64,
    /// Models that are loaded at the start.
    pub models: Vec<String>,
    /// Duration of a step with nothing inside.
    pub base: Duration,
    /// Duration that each sequence inside adds to a step.
    pub per_sequence: Duration,
    /// Duration that each new prompt token adds to a step.
    pub prefill_per_token: Duration,
    /// Most prompt tokens that one step processes.
    pub prefill_chunk_tokens: u64,
    /// Characters of a prompt that count as one token.
    pub chars_per_token: u64,
    /// Tokens that are generated for a request without `max_tokens`.
    pub default_max_tokens: u64,
    /// Largest `max_tokens` that is accepted.
    pub max_tokens_limit: u64,
    /// Prefixes that the cache holds.
    pub cache_entries: usize,
    /// Characters at the start of a prompt that form its prefix.
    pub prefix_chars: usize,
    /// Size of an exported prefix in bytes.
    pub kv_bytes: usize,
    /// Time by which load reports lag.
    pub load_lag: Duration,
    /// Time by which cache events lag.
    pub cache_event_lag: Duration,
    /// Probability that a cache event is lost.
    pub cache_event_loss: f64,
    /// Whether orders with an old fencing token are refused.
    pub check_fence: bool,
    /// Faults at the start.
    pub faults: EngineFaults,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            seed: 0,
            models: vec!["standin".to_owned()],
            base: Duration::from_millis(5),
            per_sequence: Duration::from_micros(200),
            prefill_per_token: Duration::from_micros(20),
            prefill_chunk_tokens: 512,
            chars_per_token: 4,
            default_max_tokens: 16,
            max_tokens_limit: 100_000,
            cache_entries: 64,
            prefix_chars: 256,
            kv_bytes: 4_096,
            load_lag: Duration::from_millis(500),
            cache_event_lag: Duration::from_millis(500),
            cache_event_loss: 0.1,
            check_fence: true,
            faults: EngineFaults::default(),
        }
    }
}

impl EngineConfig {
    /// Sets the address of the listener.
    #[must_use]
    pub fn addr(mut self, addr: SocketAddr) -> Self {
        self.addr = addr;
        self
    }

    /// Sets the seed of the gaps between cache events.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the models that are loaded at the start.
    #[must_use]
    pub fn models(mut self, models: impl IntoIterator<Item = impl Into<String>>) -> Self {
        self.models = models.into_iter().map(Into::into).collect();
        self
    }

    /// Sets the parts of the duration of a step.
    #[must_use]
    pub fn step(mut self, base: Duration, per_sequence: Duration, per_token: Duration) -> Self {
        self.base = base;
        self.per_sequence = per_sequence;
        self.prefill_per_token = per_token;
        self
    }

    /// Sets the size of the cache and the length of a prefix.
    #[must_use]
    pub fn cache(mut self, entries: usize, prefix_chars: usize) -> Self {
        self.cache_entries = entries;
        self.prefix_chars = prefix_chars;
        self
    }

    /// Sets how late and how incomplete cache events are.
    #[must_use]
    pub fn cache_events(mut self, lag: Duration, loss: f64) -> Self {
        self.cache_event_lag = lag;
        self.cache_event_loss = loss;
        self
    }

    /// Sets the time by which load reports lag.
    #[must_use]
    pub fn load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets whether orders with an old fencing token are refused.
    #[must_use]
    pub fn check_fence(mut self, check: bool) -> Self {
        self.check_fence = check;
        self
    }

    /// Sets the faults at the start.
    #[must_use]
    pub fn faults(mut self, faults: EngineFaults) -> Self {
        self.faults = faults;
        self
    }
}
