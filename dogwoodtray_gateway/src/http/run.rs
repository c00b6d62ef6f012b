//! Run of an online request at one endpoint.

use std::fmt::Display;
use std::rc::Rc;

use dogwoodtray_coord::Contents;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::PlaceOutcome;

use crate::node::Node;
use crate::observed_run::ObservedRun;
use crate::observed_run::RunKind;
use crate::places::GapMonitor;
use crate::places::PlacePermit;
use crate::trial::Trial;
use crate::trial::TrialProgress;

/// Run of a request at an endpoint. Holds the place there, which is released when it is dropped.
#[derive(Debug)]
pub(crate) struct Run {
    permit: PlacePermit,
    observed: ObservedRun,
}

impl Run {
    /// Starts a run of a request with this id that is about to be sent.
    pub(crate) fn start(
        node: &Rc<Node>,
        request: &Name,
        contents: &Rc<Contents>,
        mut permit: PlacePermit,
        is_stream: bool,
        trial: Option<Trial>,
    ) -> Self {
        let kind = if is_stream { RunKind::Stream } else { RunKind::Plain };
        permit.set_may_have_run(true);
        let observed = ObservedRun::start(node, request, contents, &permit.endpoint, kind, trial);
        Self { permit, observed }
    }

    /// Returns the id of the endpoint.
    pub(crate) const fn endpoint(&self) -> &Name {
        &self.permit.endpoint
    }

    /// Returns the place at the endpoint.
    pub(crate) const fn permit(&mut self) -> &mut PlacePermit {
        &mut self.permit
    }

    /// Returns an observer of the gaps between the events of the answer.
    pub(crate) fn gap_monitor(&self) -> GapMonitor {
        self.permit.gap_monitor()
    }

    /// Sets the outcome that is reported when the place is released.
    pub(crate) const fn set_outcome(&mut self, outcome: PlaceOutcome) {
        self.permit.set_outcome(outcome);
    }

    /// Records that the endpoint did not run the request. Returns the trial, which another run may use.
    pub(crate) const fn on_not_run(&mut self, progress: TrialProgress) -> Option<Trial> {
        self.permit.set_may_have_run(false);
        self.observed.on_not_run(progress)
    }

    /// Records that the head of an answer arrived by which the endpoint failed.
    pub(crate) const fn on_failure(&mut self) {
        self.observed.on_failure();
    }

    /// Records that the head of the response arrived.
    pub(crate) const fn on_head(&mut self) {
        self.observed.on_head();
    }

    /// Records that a part of the output arrived.
    pub(crate) fn on_output(&mut self) {
        self.observed.on_output();
    }

    /// Records that the response is complete.
    pub(crate) fn on_completed(&mut self) {
        self.observed.on_completed();
    }

    /// Records that the endpoint broke off the exchange before its end.
    pub(crate) fn on_broken_off(&mut self, reason: &dyn Display) {
        self.observed.on_broken_off(reason);
    }

    /// Waits until a crash of the endpoint is reported.
    pub(crate) async fn reported(&mut self) {
        self.observed.reported().await;
    }
}
