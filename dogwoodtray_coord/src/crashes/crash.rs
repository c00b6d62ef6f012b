//! Crash of an endpoint, with the runs that it ended.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::CrashedRun;
use super::RunStage;
use super::TIME_MARGIN;
use crate::ContentHash;
use crate::Name;
use crate::Timestamp;

/// Time within which reports about an endpoint are about the same crash.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of runs that are kept of one crash.
const MAX_RUNS: usize = 64;

/// Crash of an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    endpoint: Name,
    pub(super) at: Timestamp,
    /// Runs that the crash ended, as far as they have been reported.
    pub(super) runs: Vec<CrashedRun>,
    /// Time at which the reports of all processes should have arrived; `None` once the crash has
    /// been analyzed.
    pub(super) analyze_at: Option<Timestamp>,
}

impl Crash {
    pub(super) fn new(run: CrashedRun, analyze_at: Timestamp) -> Self {
        Self {
            endpoint: Name::clone(&run.endpoint),
            at: run.ended_at,
            runs: vec![run],
            analyze_at: Some(analyze_at),
        }
    }

    /// Returns `true` if this crash ended the run.
    pub(super) fn ended(&self, run: &CrashedRun) -> bool {
        let apart = (run.ended_at - self.at).max(self.at - run.ended_at);
        run.endpoint == self.endpoint && apart < CRASH_WINDOW
    }

    /// Returns `true` if the run was sent after this crash.
    pub(super) fn is_before(&self, run: &CrashedRun) -> bool {
        run.sent_at > self.at + TIME_MARGIN
    }

    /// Adds another run that this crash ended.
    pub(super) fn push(&mut self, run: CrashedRun) {
        if !self.is_full() {
            self.runs.push(run);
        }
    }

    /// Returns `true` if no more runs are kept.
    pub(super) const fn is_full(&self) -> bool {
        self.runs.len() >= MAX_RUNS
    }

    /// Returns `true` if a run with the content was ended.
    pub(super) fn has(&self, content: ContentHash) -> bool {
        self.runs.iter().any(|run| run.contents.contains(content))
    }

    /// Returns `true` if a run of the whole request was ended.
    pub(super) fn has_request(&self, request: ContentHash) -> bool {
        self.runs.iter().any(|run| run.contents.request == request)
    }

    /// Returns `true` if the content is an item whose run had produced output.
    pub(super) fn is_resumable(&self, content: ContentHash) -> bool {
        let mut runs = self.runs.iter().filter(|run| run.stage == RunStage::Resumable);
        runs.any(|run| run.contents.request == content)
    }

    /// Returns the requests with a content that were ended at a stage, or at any one.
    pub(super) fn requests_with(
        &self,
        content: ContentHash,
        stage: Option<RunStage>,
    ) -> HashSet<ContentHash> {
        let is_at_stage = |run: &&CrashedRun| stage.is_none_or(|stage| run.stage == stage);
        let runs = self.runs.iter().filter(is_at_stage);
        runs.filter(|run| run.contents.contains(content)).map(|run| run.contents.request).collect()
    }

    /// Returns `true` if a run with the content was sent after a time.
    pub(super) fn has_sent_after(&self, content: ContentHash, time: Timestamp) -> bool {
        self.runs.iter().any(|run| run.sent_at > time && run.contents.contains(content))
    }
}

/// Returns how many different requests are needed to explain crashes, each given by the requests
/// that it ended, up to `limit`. A request that comes again counts once, however many crashes it
/// causes, and requests that ran beside it add nothing.
pub(super) fn count_explanations(mut crashes: Vec<HashSet<ContentHash>>, limit: usize) -> usize {
    let mut count = 0;
    while !crashes.is_empty() && count < limit {
        let mut occurrences: HashMap<ContentHash, usize> = HashMap::new();
        for request in crashes.iter().flatten() {
            *occurrences.entry(*request).or_default() += 1;
        }
        let most = occurrences.into_iter().max_by_key(|(request, n)| (*n, *request));
        let Some((request, _)) = most else { break };
        crashes.retain(|requests| !requests.contains(&request));
        count += 1;
    }
    count
}
