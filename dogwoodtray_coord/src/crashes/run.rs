//! Runs as evidence.

use super::Contents;
use crate::ContentHash;
use crate::Name;
use crate::Timestamp;

/// How far a run got before its endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunStage {
    /// The endpoint had begun to answer and had produced no output.
    Starting,
    /// The endpoint had produced output, or it is unknown whether it had begun.
    Running,
    /// The endpoint had produced output after which the next run continues.
    Resumable,
}

impl RunStage {
    /// Returns the stage of a run that has begun. The next run of an item continues after its output.
    #[must_use]
    pub const fn new(has_output: bool, is_item: bool) -> Self {
        match (has_output, is_item) {
            (false, _) => Self::Starting,
            (true, true) => Self::Resumable,
            (true, false) => Self::Running,
        }
    }
}

/// Run that ended because its endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CrashedRun {
    /// Contents of the request.
    pub contents: Contents,
    /// Endpoint that crashed.
    pub endpoint: Name,
    /// Time at which the request was sent to the endpoint.
    pub sent_at: Timestamp,
    /// Time at which the run broke off.
    pub ended_at: Timestamp,
    /// How far the run got.
    pub stage: RunStage,
    /// Those of the contents of which the reporting process knows an earlier sound run.
    pub sound: Vec<ContentHash>,
}

/// Run that shows that a content does not crash the endpoints that answer it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SoundRun {
    /// Content of the request.
    pub content: ContentHash,
    /// Time at which the request was sent to the endpoint.
    pub sent_at: Timestamp,
    /// Whether the answer was complete. Otherwise it had produced output.
    pub completed: bool,
}
