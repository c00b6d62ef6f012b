//! Settings of the engine stand-in.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use super::faults::EngineFaults;

/// Settings of [`EngineStandin`](super::EngineStandin).
///
/// A step takes `base + per_sequence * sequences + prefill_per_token * prompt tokens`, where only
/// the prompt tokens that are processed in the step count.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Address of the listener. Port 0 selects a free port.
    pub addr: SocketAddr,
    /// Seed of the random loss of cache events.
    pub seed: u64,
    /// Models that are loaded initially and after a crash.
    pub models: Vec<String>,
    /// Duration of a step without sequences.
    pub base: Duration,
    /// Duration that each sequence in the batch adds to a step.
    pub per_sequence: Duration,
    /// Duration that each processed prompt token adds to a step.
    pub prefill_per_token: Duration,
    /// Maximum number of prompt tokens that one step processes.
    pub prefill_chunk_tokens: u64,
    /// Number of prompt characters that count as one token.
    pub chars_per_token: u64,
    /// Number of tokens that are generated for a request without `max_tokens`.
    pub default_max_tokens: u64,
    /// Largest `max_tokens` that is accepted.
    pub max_tokens_limit: u64,
    /// Capacity of the cache in prefixes.
    pub cache_entries: usize,
    /// Number of characters at the start of a prompt that form its prefix.
    pub prefix_chars: usize,
    /// Size of an exported prefix in bytes.
    pub kv_bytes: usize,
    /// Delay of load reports.
    pub load_lag: Duration,
    /// Delay of cache events.
    pub cache_event_lag: Duration,
    /// Probability that a cache event is lost.
    pub cache_event_loss: f64,
    /// Whether orders with a missing or stale fencing token are rejected.
    pub check_fence: bool,
    /// Initial faults.
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

    /// Sets the seed of the random loss of cache events.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the models that are loaded initially and after a crash.
    #[must_use]
    pub fn models(mut self, models: impl IntoIterator<Item = impl Into<String>>) -> Self {
        self.models = models.into_iter().map(Into::into).collect();
        self
    }

    /// Sets the duration of a step: its base, and the time per sequence and per prompt token.
    #[must_use]
    pub fn step(mut self, base: Duration, per_sequence: Duration, per_token: Duration) -> Self {
        self.base = base;
        self.per_sequence = per_sequence;
        self.prefill_per_token = per_token;
        self
    }

    /// Sets the capacity of the cache in prefixes and the length of a prefix in characters.
    #[must_use]
    pub fn cache(mut self, entries: usize, prefix_chars: usize) -> Self {
        self.cache_entries = entries;
        self.prefix_chars = prefix_chars;
        self
    }

    /// Sets the delay of cache events and the probability that an event is lost.
    #[must_use]
    pub fn cache_events(mut self, lag: Duration, loss: f64) -> Self {
        self.cache_event_lag = lag;
        self.cache_event_loss = loss;
        self
    }

    /// Sets the delay of load reports.
    #[must_use]
    pub fn load_lag(mut self, lag: Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets whether orders with a missing or stale fencing token are rejected.
    #[must_use]
    pub fn check_fence(mut self, check: bool) -> Self {
        self.check_fence = check;
        self
    }

    /// Sets the initial faults.
    #[must_use]
    pub fn faults(mut self, faults: EngineFaults) -> Self {
        self.faults = faults;
        self
    }
}
