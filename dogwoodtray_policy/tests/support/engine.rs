//! Simulation of an engine with continuous batching.

/// Number of streams above which the engine is compute-bound.
pub(crate) const KNEE_STREAMS: usize = 32;
/// Maximum number of prompt tokens processed in one step.
const PREFILL_CHUNK: u32 = 512;

/// Components of the time of a step, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EngineProfile {
    pub(crate) name: &'static str,
    /// Time of a step without streams.
    base: f64,
    /// Time added by each stream.
    stream: f64,
    /// Additional time for each stream above the knee.
    beyond_knee: f64,
    /// Time added by each prompt token.
    prefill: f64,
}

/// Step time grows noticeably with the number of streams and of prompt tokens.
pub(crate) const SLOPED: EngineProfile = EngineProfile {
    name: "sloped",
    base: 20_000.0,
    stream: 50.0,
    beyond_knee: 1_000.0,
    prefill: 20.0,
};
/// Step time is bound by memory bandwidth up to the knee; prompts add almost nothing.
pub(crate) const FLAT: EngineProfile =
    EngineProfile { name: "flat", base: 20_000.0, stream: 5.0, beyond_knee: 1_000.0, prefill: 4.0 };

/// A stream inside the engine.
#[derive(Clone, Debug)]
pub(crate) struct Stream {
    pub(crate) id: u64,
    pub(crate) prompt_left: u32,
    pub(crate) output_left: u32,
    pub(crate) produced: u32,
    pub(crate) cancelled: bool,
}

impl Stream {
    pub(crate) fn new(id: u64, prompt_left: u32, output_left: u32) -> Self {
        Self { id, prompt_left, output_left: output_left.max(1), produced: 0, cancelled: false }
    }
}

/// Output of a step for one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepOutput {
    pub(crate) id: u64,
    pub(crate) tokens: u32,
    pub(crate) ended: bool,
}

/// An engine that admits every stream immediately and advances all streams in steps.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) streams: Vec<Stream>,
    /// Factor applied to the time of each step.
    pub(crate) step_time_factor: f64,
    profile: EngineProfile,
    prefill: Vec<(usize, u32)>,
}

impl Engine {
    pub(crate) fn new(profile: EngineProfile) -> Self {
        Self { streams: Vec::new(), step_time_factor: 1.0, profile, prefill: Vec::new() }
    }

    /// Removes the cancelled streams and starts a step. Returns those streams and the step time.
    pub(crate) fn begin_step(&mut self) -> (Vec<Stream>, u64) {
        let (cancelled, streams) = self.streams.drain(..).partition(|s| s.cancelled);
        self.streams = streams;
        self.prefill.clear();
        let mut budget = PREFILL_CHUNK;
        for (index, stream) in self.streams.iter().enumerate() {
            let tokens = stream.prompt_left.min(budget);
            budget -= tokens;
            self.prefill.push((index, tokens));
        }
        let inside = self.streams.len();
        let micros = self.profile.base
            + self.profile.stream * inside as f64
            + self.profile.beyond_knee * inside.saturating_sub(KNEE_STREAMS) as f64
            + self.profile.prefill * f64::from(PREFILL_CHUNK - budget);
        (cancelled, (micros * self.step_time_factor) as u64)
    }

    /// Ends the step. Streams that were added during it take part in the next one.
    pub(crate) fn end_step(&mut self) -> Vec<StepOutput> {
        let mut produced = Vec::new();
        for (index, tokens) in self.prefill.drain(..) {
            let stream = &mut self.streams[index];
            stream.prompt_left -= tokens;
            if stream.prompt_left > 0 {
                continue;
            }
            stream.produced += 1;
            stream.output_left -= 1;
            let ended = stream.output_left == 0;
            produced.push(StepOutput { id: stream.id, tokens: stream.produced, ended });
        }
        self.streams.retain(|s| s.output_left > 0);
        produced
    }
}
