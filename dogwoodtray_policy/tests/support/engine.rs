//! A continuous-batching engine.

/// Streams from which the engine is bound by computation.
pub(crate) const KNEE: usize = 32;
/// Prompt tokens processed in one step at most.
const PREFILL_CHUNK: u32 = 512;

/// Times of a step, in microseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) name: &'static str,
    /// Time of a step without streams.
    base: f64,
    /// Time that each stream adds.
    stream: f64,
    /// Time that each stream beyond the knee adds on top.
    over_knee: f64,
    /// Time that each prompt token adds.
    prefill: f64,
}

/// Steps grow noticeably with every stream and with every prompt.
pub(crate) const SLOPED: Shape =
    Shape { name: "sloped", base: 20_000.0, stream: 50.0, over_knee: 1_000.0, prefill: 20.0 };
/// Steps are bound by memory bandwidth up to the knee, and prompts ride along almost for free.
pub(crate) const FLAT: Shape =
    Shape { name: "flat", base: 20_000.0, stream: 5.0, over_knee: 1_000.0, prefill: 4.0 };

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

/// What a step did to one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Produced {
    pub(crate) id: u64,
    pub(crate) tokens: u32,
    pub(crate) ended: bool,
}

/// An engine that admits every stream at once and advances all of them in steps.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) streams: Vec<Stream>,
    /// Factor on the time of each step.
    pub(crate) slow: f64,
    shape: Shape,
    prefill: Vec<(usize, u32)>,
}

impl Engine {
    pub(crate) fn new(shape: Shape) -> Self {
        Self { streams: Vec::new(), slow: 1.0, shape, prefill: Vec::new() }
    }

    /// Drops cancelled streams, starts a step and returns them with the time of the step.
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
        let micros = self.shape.base
            + self.shape.stream * inside as f64
            + self.shape.over_knee * inside.saturating_sub(KNEE) as f64
            + self.shape.prefill * f64::from(PREFILL_CHUNK - budget);
        (cancelled, (micros * self.slow) as u64)
    }

    /// Ends the step. Streams that joined during it take part in the next one.
    pub(crate) fn end_step(&mut self) -> Vec<Produced> {
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
            produced.push(Produced { id: stream.id, tokens: stream.produced, ended });
        }
        self.streams.retain(|s| s.output_left > 0);
        produced
    }
}
