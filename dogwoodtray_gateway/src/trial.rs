//! Trials of blocked contents, as seen by the request or item that runs as one.

use std::fmt::Display;
use std::rc::Rc;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::TRIAL_RENEWAL_INTERVAL;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialId;
use dogwoodtray_coord::TrialStage;
use dogwoodtray_coord::TrialSubject;
use dogwoodtray_runtime::catalogue;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::contents::content_list;
use crate::node::Node;
use crate::task::TaskGuard;

/// How far a trial got, or how it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialProgress {
    /// It has not been sent. Its caller may have left, or its route moved.
    Open,
    /// The process that assigns places refused it.
    Refused,
    /// No place was free in time.
    NoPlace,
    /// No connection to the endpoint could be opened.
    Unreachable,
    /// The endpoint answered that it did not run the request.
    NotRun,
    /// It was sent, and no answer arrived.
    Sent,
    /// The head of an answer arrived, and no output.
    Head,
    /// The endpoint answered with an error.
    Failure,
    /// The endpoint broke off the exchange and was not found to have crashed.
    BrokenOff,
    /// The endpoint crashed.
    Crashed,
    /// Output arrived.
    Output,
    /// The answer was complete.
    Completed,
}

impl TrialProgress {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Refused => "refused",
            Self::NoPlace => "no place",
            Self::Unreachable => "unreachable",
            Self::NotRun => "not run",
            Self::Sent => "sent",
            Self::Head => "head",
            Self::Failure => "failure",
            Self::BrokenOff => "broken off",
            Self::Crashed => "crashed",
            Self::Output => "output",
            Self::Completed => "completed",
        }
    }

    /// Returns `true` if the endpoint may have begun to run the request.
    const fn may_have_run(self) -> bool {
        !matches!(
            self,
            Self::Open | Self::Refused | Self::NoPlace | Self::Unreachable | Self::NotRun
        )
    }

    /// Returns what a trial that ends like this says about its contents.
    const fn told(self) -> &'static str {
        match self {
            Self::Crashed => "crash",
            Self::Output | Self::Completed => "sound",
            _ => "nothing",
        }
    }
}

/// Name and contents of a trial, as the process that assigns places is to know it.
#[derive(Clone, Debug)]
pub(crate) struct TrialKey {
    pub(crate) id: TrialId,
    pub(crate) subject: TrialSubject,
    pub(crate) contents: Rc<[ContentHash]>,
}

/// Trial of blocked contents, held by the request or item that runs as one.
///
/// Its lease is renewed from the first place that it is granted until it is dropped. Its end is then
/// logged and reported.
#[derive(Debug)]
pub(crate) struct Trial {
    node: Rc<Node>,
    /// Id of the request or the item.
    id: Name,
    key: TrialKey,
    opened_at: Timestamp,
    progress: TrialProgress,
    /// Task that renews the lease.
    renewal: Option<TaskGuard>,
}

impl Trial {
    /// Opens a trial of these contents by a request or an item. It starts when it is granted a place.
    fn open(node: &Rc<Node>, id: &Name, subject: TrialSubject, contents: Vec<ContentHash>) -> Self {
        let key = TrialKey { id: node.next_trial(), subject, contents: contents.into() };
        Self {
            node: Rc::clone(node),
            id: Name::clone(id),
            key,
            opened_at: node.now(),
            progress: TrialProgress::Open,
            renewal: None,
        }
    }

    /// Records that a place was granted, so that the trial has started.
    pub(crate) fn on_granted(&mut self) {
        self.renewal
            .get_or_insert_with(|| spawn_renewal(&self.node, self.key.clone(), self.opened_at));
    }

    /// Returns the trial that is held if it is one of these contents. Otherwise opens another one, unless
    /// there are none.
    pub(crate) fn keep_or_open(
        held: Option<Self>,
        node: &Rc<Node>,
        id: &Name,
        subject: TrialSubject,
        contents: Vec<ContentHash>,
    ) -> Option<Self> {
        let held = held.filter(|trial| *trial.key.contents == *contents);
        if held.is_some() || contents.is_empty() {
            return held;
        }
        Some(Self::open(node, id, subject, contents))
    }

    /// Returns its name and contents.
    pub(crate) const fn key(&self) -> &TrialKey {
        &self.key
    }

    /// Returns `true` if a place was granted, so that the trial has started.
    pub(crate) const fn is_out(&self) -> bool {
        self.renewal.is_some()
    }

    /// Records how far the trial got.
    pub(crate) const fn set_progress(&mut self, progress: TrialProgress) {
        self.progress = progress;
    }
}

fn spawn_renewal(node: &Rc<Node>, key: TrialKey, opened_at: Timestamp) -> TaskGuard {
    let node = Rc::clone(node);
    let task = spawn_local(async move {
        loop {
            sleep(TRIAL_RENEWAL_INTERVAL).await;
            node.report_trial(&key, opened_at, None);
        }
    });
    TaskGuard::new(task.abort_handle())
}

impl Drop for Trial {
    fn drop(&mut self) {
        let contents = content_list(&self.key.contents);
        let open_ms = (self.node.now() - self.opened_at).as_millis();
        let may_have_run = self.progress.may_have_run();
        let fields: [(&str, &dyn Display); 5] = [
            ("contents", &contents),
            ("open_ms", &open_ms),
            ("end", &self.progress.as_str()),
            ("may_have_run", &may_have_run),
            ("told", &self.progress.told()),
        ];
        self.node.events.emit(&catalogue::TRIAL_ENDED, Some(&self.id), &fields);
        metrics::counter!("dogwoodtray_ended_trials_total", "told" => self.progress.told())
            .increment(1);
        let stage = if may_have_run { TrialStage::Ran } else { TrialStage::NotRun };
        self.node.report_trial(&self.key, self.opened_at, Some(stage));
    }
}
