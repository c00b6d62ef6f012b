//! Run at one endpoint, observed for what it says about its contents.

use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Contents;
use dogwoodtray_coord::CrashedRun;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RunStage;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_runtime::catalogue;
use tokio::task::JoinHandle;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::contents::content_list;
use crate::model::Endpoint;
use crate::net::is_refused;
use crate::node::Node;
use crate::trial::Trial;
use crate::trial::TrialProgress;

/// Time that a retry waits until the crash of an endpoint is confirmed and reported. A refused
/// connection takes one round trip.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(30);

/// Time after which a run that was aborted before any output is checked for a crash of its endpoint.
/// A content that crashes endpoints does so within about 150 ms, also when the run is aborted.
pub(crate) const ABORT_CHECK_DELAY: Duration = Duration::from_millis(200);

/// What an endpoint runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunKind {
    /// Request whose output arrives with the head of the response.
    Plain,
    /// Request whose output arrives after the head of the response.
    Stream,
    /// Item of a job. Its next run continues after the output of this one.
    Item,
}

/// How far a run got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The request was sent; it is unknown whether it began.
    Sent,
    /// The head of the response arrived.
    Begun,
    /// Output arrived after the head.
    Output,
}

impl Progress {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Begun => "head",
            Self::Output => "output",
        }
    }
}

/// Run of a request or an item at an endpoint.
#[derive(Debug)]
pub(crate) struct ObservedRun {
    node: Rc<Node>,
    /// Id of the request or the item.
    id: Name,
    contents: Rc<Contents>,
    endpoint: Name,
    kind: RunKind,
    sent_at: Timestamp,
    progress: Progress,
    /// Whether the endpoint answered that it failed, which may have been before it began on the content.
    has_failed: bool,
    /// Whether the exchange ended by itself.
    has_ended: bool,
    /// Trial that the run is, if its contents are blocked.
    trial: Option<Trial>,
    /// Task that confirms and reports a crash of the endpoint.
    confirmation: Option<JoinHandle<()>>,
}

impl ObservedRun {
    /// Starts the observation of a run that is about to be sent.
    pub(crate) fn start(
        node: &Rc<Node>,
        id: &Name,
        contents: &Rc<Contents>,
        endpoint: &Name,
        kind: RunKind,
        mut trial: Option<Trial>,
    ) -> Self {
        if let Some(trial) = &mut trial {
            trial.set_progress(TrialProgress::Sent);
        }
        Self {
            node: Rc::clone(node),
            id: Name::clone(id),
            contents: Rc::clone(contents),
            endpoint: Name::clone(endpoint),
            kind,
            sent_at: node.now(),
            progress: Progress::Sent,
            has_failed: false,
            has_ended: false,
            trial,
            confirmation: None,
        }
    }

    /// Records that the endpoint did not run the request. Returns the trial, which another run may use.
    pub(crate) const fn on_not_run(&mut self, progress: TrialProgress) -> Option<Trial> {
        self.set_trial_progress(progress);
        self.trial.take()
    }

    /// Records that the head of an answer arrived by which the endpoint failed.
    pub(crate) const fn on_failure(&mut self) {
        self.progress = Progress::Begun;
        self.has_failed = true;
        self.set_trial_progress(TrialProgress::Failure);
    }

    /// Records that the head of the response arrived.
    pub(crate) const fn on_head(&mut self) {
        self.progress = Progress::Begun;
        self.set_trial_progress(TrialProgress::Head);
    }

    const fn set_trial_progress(&mut self, progress: TrialProgress) {
        if let Some(trial) = &mut self.trial {
            trial.set_progress(progress);
        }
    }

    /// Records that a part of the output arrived.
    pub(crate) fn on_output(&mut self) {
        if self.progress != Progress::Output && !self.has_failed {
            self.progress = Progress::Output;
            self.set_trial_progress(TrialProgress::Output);
            self.node.record_sound_run(&self.contents, self.sent_at, false);
        }
    }

    /// Returns `true` if a part of the output arrived.
    pub(crate) fn has_output(&self) -> bool {
        self.progress == Progress::Output
    }

    /// Records that the response is complete.
    pub(crate) fn on_completed(&mut self) {
        self.has_ended = true;
        if self.has_failed {
            return;
        }
        self.set_trial_progress(TrialProgress::Completed);
        self.node.record_sound_run(&self.contents, self.sent_at, true);
    }

    /// Records that the endpoint broke off the exchange before its end.
    ///
    /// Starts to find out whether it crashed.
    pub(crate) fn on_broken_off(&mut self, reason: &dyn Display) {
        let ran_ms = (self.node.now() - self.sent_at).as_millis();
        let parts = content_list(&self.contents.parts);
        let fields: [(&str, &dyn Display); 6] = [
            ("endpoint", &self.endpoint),
            ("reason", reason),
            ("stage", &self.progress.as_str()),
            ("ran_ms", &ran_ms),
            ("content", &self.contents.request),
            ("parts", &parts),
        ];
        self.node.events.emit(&catalogue::RUN_BROKEN_OFF, Some(&self.id), &fields);
        metrics::counter!("dogwoodtray_broken_runs_total", "stage" => self.progress.as_str())
            .increment(1);
        self.has_ended = true;
        self.set_trial_progress(TrialProgress::BrokenOff);
        self.confirmation = self.confirm_crash(Duration::ZERO);
    }

    /// Waits until a crash of the endpoint is reported, so that the next attempt takes it into
    /// account.
    pub(crate) async fn reported(&mut self) {
        if let Some(confirmation) = self.confirmation.take() {
            // A confirmation that takes longer goes on in its task.
            let _ = timeout(CONFIRMATION_TIMEOUT, confirmation).await;
        }
    }

    /// Starts a task that reports a crash if the endpoint is gone unexpectedly after a delay: it is
    /// still listed as ready, and its address refuses connections. One that was cut off, reset a
    /// connection or was stopped as planned does not.
    fn confirm_crash(&mut self, delay: Duration) -> Option<JoinHandle<()>> {
        let endpoint = self.node.directory.borrow().endpoint(&self.endpoint).cloned()?;
        let run = CrashedRun {
            contents: Contents::clone(&self.contents),
            endpoint: Name::clone(&endpoint.id),
            sent_at: self.sent_at,
            ended_at: self.node.now(),
            stage: self.stage(),
            sound: Vec::new(),
        };
        let (node, id) = (Rc::clone(&self.node), Name::clone(&self.id));
        // The trial ends once it is known whether the endpoint crashed.
        let trial = self.trial.take();
        Some(spawn_local(async move {
            sleep(delay).await;
            confirm_crash(node, id, endpoint, run, trial).await;
        }))
    }

    const fn stage(&self) -> RunStage {
        match (self.progress, self.kind) {
            (Progress::Begun, RunKind::Stream | RunKind::Item) => RunStage::Starting,
            (Progress::Output, RunKind::Item) => RunStage::Resumable,
            _ => RunStage::Running,
        }
    }
}

impl Drop for ObservedRun {
    /// Checks whether an item that was aborted before any output crashed its endpoint all the same.
    fn drop(&mut self) {
        if self.kind == RunKind::Item && self.progress == Progress::Begun && !self.has_ended {
            self.confirm_crash(ABORT_CHECK_DELAY);
        }
    }
}

async fn confirm_crash(
    node: Rc<Node>,
    id: Name,
    endpoint: Rc<Endpoint>,
    run: CrashedRun,
    trial: Option<Trial>,
) {
    if !is_refused(endpoint.addr).await {
        return;
    }
    if let Some(mut trial) = trial {
        trial.set_progress(TrialProgress::Crashed);
    }
    let at_start = run.stage == RunStage::Starting;
    let fields: [(&str, &dyn Display); 3] =
        [("endpoint", &endpoint.id), ("at_start", &at_start), ("content", &run.contents.request)];
    node.events.emit(&catalogue::ENDPOINT_CRASHED, Some(&id), &fields);
    metrics::counter!("dogwoodtray_crashed_runs_total").increment(1);
    node.report_crash(run);
}
