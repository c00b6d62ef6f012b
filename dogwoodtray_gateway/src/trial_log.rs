//! Trials of blocked contents, as the processes record them that decide who may start one.

use std::fmt::Display;
use std::time::Duration;

use dogwoodtray_coord::Block;
use dogwoodtray_coord::Blocklist;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::TRIAL_PAUSE;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialEnd;
use dogwoodtray_coord::TrialId;
use dogwoodtray_coord::TrialStage;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::millis;
use dogwoodtray_runtime::time_ago;
use dogwoodtray_runtime::trial_stage_to_wire;
use dogwoodtray_wire::messages;

use crate::node::Node;
use crate::node::NodeRole;
use crate::peers::DISPATCHER_KEY;
use crate::trial::TrialKey;

/// Trial whose request for a place is pending.
#[derive(Clone, Debug)]
pub(crate) struct TrialRequest {
    key: TrialKey,
    requested_at: Timestamp,
}

/// # Start
impl Node {
    /// Returns the name of the next trial of this process.
    pub(crate) fn next_trial(&self) -> TrialId {
        let number = self.crashes.last_trial.get() + 1;
        self.crashes.last_trial.set(number);
        TrialId { holder: Incarnation(self.places.holder()), number }
    }

    /// Records that a place is requested for a trial. Returns the time until the next one if another
    /// request or item has taken it.
    pub(crate) fn request_trial(
        &self,
        place: PlaceId,
        trial: Option<&TrialKey>,
    ) -> Result<(), Duration> {
        let Some(trial) = trial else { return Ok(()) };
        if !self.may_start_trials() {
            return Err(TRIAL_PAUSE);
        }
        let now = self.now();
        let analyzer = self.crashes.analyzer.borrow();
        analyzer.blocks().check_trial(trial.subject, now, &trial.contents, trial.id)?;
        self.crashes
            .requested_trials
            .borrow_mut()
            .insert(place, TrialRequest { key: trial.clone(), requested_at: now });
        Ok(())
    }

    /// Starts the trial for which a place was requested that is granted now, if any. Returns the time
    /// until the next one if another request or item has taken it meanwhile.
    pub(crate) fn start_trial(&self, place: PlaceId) -> Result<(), Duration> {
        let requested = self.crashes.requested_trials.borrow_mut().remove(&place);
        let Some(TrialRequest { key, requested_at }) = requested else { return Ok(()) };
        let changed = {
            let mut analyzer = self.crashes.analyzer.borrow_mut();
            let blocks = analyzer.blocks_mut();
            blocks.start_trial(key.subject, self.now(), &key.contents, key.id, requested_at)?
        };
        for block in &changed {
            let trials = block.trials.iter().count();
            let fields: [(&str, &dyn Display); 3] =
                [("content", &block.content), ("crashes", &block.crashes), ("trials", &trials)];
            self.events.emit(&catalogue::CONTENT_TRIED, None, &fields);
        }
        self.broadcast_blocks(&changed);
        Ok(())
    }

    /// Returns `true` if this process decides who starts a trial. Of the drivers that are in touch only
    /// the first one does, so that they do not start trials of one content at the same time. A gateway is
    /// asked by itself, and only if it reaches no driver.
    fn may_start_trials(&self) -> bool {
        self.cfg.role == NodeRole::Gateway
            || self.peers.ranked(self, DISPATCHER_KEY).first() == Some(&self.cfg.node)
    }

    /// Records that a request for a place is not pending any more.
    pub(crate) fn on_place_released(&self, place: PlaceId) {
        self.crashes.requested_trials.borrow_mut().remove(&place);
    }

    /// Records that the requests of a process are not pending any more.
    pub(crate) fn on_places_removed(&self, holder: u64) {
        self.crashes.requested_trials.borrow_mut().retain(|place, _| place.holder != holder);
    }
}

/// # Renewal and end
impl Node {
    /// Reports that a trial of this process goes on, or the stage in which it ended.
    pub(crate) fn report_trial(
        &self,
        trial: &TrialKey,
        requested_at: Timestamp,
        end: Option<TrialStage>,
    ) {
        let report = messages::TrialReport {
            holder: trial.id.holder.0,
            number: trial.id.number,
            contents: trial.contents.iter().map(|content| content.0).collect(),
            requested_ago_ms: millis(self.now() - requested_at),
            end: end.map_or_else(Default::default, trial_stage_to_wire).into(),
        };
        if self.send_to_first_drivers(&report.clone().into()) {
            self.on_trial_report(&report);
        }
    }

    /// Handles the report of the holder of a trial.
    pub(crate) fn on_trial_report(&self, report: &messages::TrialReport) {
        let now = self.now();
        let id = TrialId { holder: Incarnation(report.holder), number: report.number };
        let requested_at = time_ago(now, report.requested_ago_ms);
        let contents: Vec<ContentHash> = report.contents.iter().copied().map(ContentHash).collect();
        let may_have_run = match report.end() {
            messages::TrialStage::NotRun => false,
            messages::TrialStage::Ran => true,
            // It goes on.
            _ => {
                return self
                    .change_trial(|blocks| blocks.renew_trial(now, &contents, id, requested_at));
            }
        };
        let end = TrialEnd { id, requested_at, may_have_run };
        self.change_trial(|blocks| blocks.end_trial(now, &contents, end));
    }

    fn change_trial(&self, change: impl FnOnce(&mut Blocklist) -> Vec<Block>) {
        let changed = change(self.crashes.analyzer.borrow_mut().blocks_mut());
        self.broadcast_blocks(&changed);
    }
}
