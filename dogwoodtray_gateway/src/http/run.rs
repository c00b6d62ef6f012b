//! Run of an online request at one endpoint.

use std::fmt::Display;
use std::rc::Rc;

use dogwoodtray_coord::Contents;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::PlaceOutcome;
use dogwoodtray_runtime::catalogue;

use crate::contents::content_list;
use crate::node::Node;
use crate::places::PlacePermit;

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

/// Run of a request at an endpoint. Holds the place there, which is released when it is dropped.
#[derive(Debug)]
pub(crate) struct Run {
    node: Rc<Node>,
    request: Name,
    contents: Rc<Contents>,
    permit: PlacePermit,
    sent_at: Timestamp,
    progress: Progress,
}

impl Run {
    /// Starts a run of a request with this id that is about to be sent.
    pub(crate) fn start(
        node: &Rc<Node>,
        request: &Name,
        contents: &Rc<Contents>,
        permit: PlacePermit,
    ) -> Self {
        Self {
            node: Rc::clone(node),
            request: Name::clone(request),
            contents: Rc::clone(contents),
            permit,
            sent_at: node.now(),
            progress: Progress::Sent,
        }
    }

    /// Returns the id of the endpoint.
    pub(crate) const fn endpoint(&self) -> &Name {
        &self.permit.endpoint
    }

    /// Returns the place at the endpoint.
    pub(crate) const fn permit(&mut self) -> &mut PlacePermit {
        &mut self.permit
    }

    /// Sets the outcome that is reported when the place is released.
    pub(crate) const fn set_outcome(&mut self, outcome: PlaceOutcome) {
        self.permit.set_outcome(outcome);
    }

    /// Records that the head of the response arrived.
    pub(crate) fn on_head(&mut self) {
        self.progress = Progress::Begun;
    }

    /// Records that a part of the output arrived.
    pub(crate) fn on_output(&mut self) {
        self.progress = Progress::Output;
    }

    /// Records that the endpoint broke off the exchange before its end.
    pub(crate) fn on_broken_off(&self, reason: &dyn Display) {
        let ran_ms = (self.node.now() - self.sent_at).as_millis();
        let parts = content_list(&self.contents.parts);
        let fields: [(&str, &dyn Display); 6] = [
            ("endpoint", self.endpoint()),
            ("reason", reason),
            ("stage", &self.progress.as_str()),
            ("ran_ms", &ran_ms),
            ("content", &self.contents.request),
            ("parts", &parts),
        ];
        self.node.events.emit(&catalogue::RUN_BROKEN_OFF, Some(&self.request), &fields);
        metrics::counter!("dogwoodtray_broken_runs_total", "stage" => self.progress.as_str())
            .increment(1);
    }
}
