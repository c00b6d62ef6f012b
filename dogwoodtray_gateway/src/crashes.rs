//! Exchange of evidence about endpoint crashes, and of the contents that are blocked for them.
//!
//! Processes report crashed runs to the drivers that rank first for assigning places. These decide
//! which contents are blocked and tell all processes. Every process holds the list, so that a new
//! driver knows it and a process that loses its links keeps it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_coord::Block;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::ContentVerdict;
use dogwoodtray_coord::Contents;
use dogwoodtray_coord::CrashAnalyzer;
use dogwoodtray_coord::CrashConfig;
use dogwoodtray_coord::CrashPattern;
use dogwoodtray_coord::CrashedRun;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::SoundRun;
use dogwoodtray_coord::SoundRuns;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialId;
use dogwoodtray_coord::TrialSubject;
use dogwoodtray_policy::PlaceId;
use dogwoodtray_runtime::LinkHandle;
use dogwoodtray_runtime::block_from_wire;
use dogwoodtray_runtime::block_to_wire;
use dogwoodtray_runtime::catalogue;
use dogwoodtray_runtime::crash_report;
use dogwoodtray_runtime::crashed_run;
use dogwoodtray_runtime::millis;
use dogwoodtray_wire::messages;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::contents::content_list;
use crate::node::Node;
use crate::node::NodeRole;
use crate::peers::DISPATCHER_KEY;
use crate::trial::TrialKey;
use crate::trial_log::TrialRequest;

/// Number of drivers that are told what all processes are to know. The second one continues if the
/// first is lost.
const INFORMED_DRIVERS: usize = 2;

/// Maximum number of blocks in one frame; about 20 KB.
const MAX_BLOCKS_PER_FRAME: usize = 256;

/// What a process knows of crashes and of sound runs.
#[derive(Debug)]
pub(crate) struct Crashes {
    pub(crate) analyzer: RefCell<CrashAnalyzer>,
    sound_runs: RefCell<SoundRuns>,
    /// Whether a task waits for the next analysis.
    is_tick_scheduled: Cell<bool>,
    /// Notified when a content is cleared.
    cleared: Notify,
    /// Number of the last trial of this process.
    pub(crate) last_trial: Cell<u64>,
    /// Trials whose requests for places are pending at this process.
    pub(crate) requested_trials: RefCell<HashMap<PlaceId, TrialRequest>>,
}

impl Crashes {
    pub(crate) fn new() -> Self {
        Self {
            analyzer: RefCell::new(CrashAnalyzer::new(CrashConfig::default())),
            sound_runs: RefCell::default(),
            is_tick_scheduled: Cell::new(false),
            cleared: Notify::new(),
            last_trial: Cell::new(0),
            requested_trials: RefCell::default(),
        }
    }
}

/// # Requests
impl Node {
    /// Returns the blocked contents of a request if it may run as a trial of them, none if it has none,
    /// or the time until the next trial if it must not run. `trial` names the one that it holds.
    pub(crate) fn check_contents(
        &self,
        request: &Name,
        contents: &Contents,
        trial: Option<TrialId>,
    ) -> Result<Vec<ContentHash>, Duration> {
        let verdict = self.content_verdict(TrialSubject::Request, contents, trial);
        let (content, retry_after) = match verdict {
            ContentVerdict::Allowed => return Ok(Vec::new()),
            ContentVerdict::Trial(contents) => return Ok(contents),
            ContentVerdict::Blocked { content, retry_after } => (content, retry_after),
        };
        let crashes = self.crash_count(content);
        let retry_after_ms = retry_after.as_millis();
        let fields: [(&str, &dyn Display); 3] =
            [("content", &content), ("crashes", &crashes), ("retry_after_ms", &retry_after_ms)];
        self.events.emit(&catalogue::REQUEST_BLOCKED, Some(request), &fields);
        metrics::counter!("dogwoodtray_blocked_requests_total").increment(1);
        Err(retry_after)
    }

    /// Returns how a request or item with these contents is to be treated. `trial` names the one that
    /// it holds.
    pub(crate) fn content_verdict(
        &self,
        subject: TrialSubject,
        contents: &Contents,
        trial: Option<TrialId>,
    ) -> ContentVerdict {
        self.crashes.analyzer.borrow().blocks().check(subject, self.now(), contents, trial)
    }

    /// Returns `true` if a content is blocked that is not a part of the trial that is held.
    pub(crate) fn is_newly_blocked(&self, contents: &Contents, trial: Option<&TrialKey>) -> bool {
        let tried = trial.map(|trial| &*trial.contents).unwrap_or_default();
        let analyzer = self.crashes.analyzer.borrow();
        let is_blocked = |content: &ContentHash| analyzer.blocks().get(*content).is_some();
        contents.iter().any(|content| is_blocked(&content) && !tried.contains(&content))
    }

    /// Returns the number of crashes that are attributed to a blocked content.
    pub(crate) fn crash_count(&self, content: ContentHash) -> u32 {
        self.crashes.analyzer.borrow().blocks().get(content).map_or(0, |block| block.crashes)
    }

    /// Waits until a blocked content is cleared.
    pub(crate) async fn content_cleared(&self) {
        self.crashes.cleared.notified().await;
    }
}

/// # Evidence
impl Node {
    /// Reports a run that ended because its endpoint crashed.
    pub(crate) fn report_crash(self: &Rc<Self>, mut run: CrashedRun) {
        let now = self.now();
        run.sound = self.crashes.sound_runs.borrow().known(&run.contents);
        let report = crash_report(now, &run);
        if self.send_to_first_drivers(&report.into()) {
            self.analyze_crash(run);
        }
    }

    /// Handles the report of another process.
    pub(crate) fn on_crash_report(self: &Rc<Self>, report: messages::CrashReport) {
        self.analyze_crash(crashed_run(self.now(), report));
    }

    fn analyze_crash(self: &Rc<Self>, run: CrashedRun) {
        let endpoint = Name::clone(&run.endpoint);
        let changed = self.crashes.analyzer.borrow_mut().record_crash(self.now(), run);
        for block in &changed {
            let trials = block.trials.iter().count();
            let fields: [(&str, &dyn Display); 4] = [
                ("content", &block.content),
                ("crashes", &block.crashes),
                ("trials", &trials),
                ("endpoint", &endpoint),
            ];
            self.events.emit(&catalogue::BLOCKED_CONTENT_CRASHED, None, &fields);
        }
        self.broadcast_blocks(&changed);
        self.schedule_analysis();
    }

    /// Starts a task that analyzes the reported crashes once all reports should have arrived.
    fn schedule_analysis(self: &Rc<Self>) {
        let next = self.crashes.analyzer.borrow().next_tick();
        let Some(at) = next.filter(|_| !self.crashes.is_tick_scheduled.replace(true)) else {
            return;
        };
        let node = Rc::clone(self);
        spawn_local(async move {
            sleep(at - node.now()).await;
            node.crashes.is_tick_scheduled.set(false);
            let blocks = node.crashes.analyzer.borrow_mut().tick(node.now());
            node.on_new_blocks(&blocks);
            node.schedule_analysis();
        });
    }

    fn on_new_blocks(self: &Rc<Self>, blocks: &[Block]) {
        for block in blocks {
            let pattern = pattern_text(block.pattern);
            let rivals = content_list(&block.rivals);
            let fields: [(&str, &dyn Display); 4] = [
                ("content", &block.content),
                ("crashes", &block.crashes),
                ("pattern", &pattern),
                ("rivals", &rivals),
            ];
            self.events.emit(&catalogue::CONTENT_BLOCKED, None, &fields);
            metrics::counter!("dogwoodtray_content_blocks_total").increment(1);
        }
        self.refute_blocks(blocks);
        self.broadcast_blocks(blocks);
    }

    /// Records that an endpoint produced output for a request, or completed it.
    pub(crate) fn record_sound_run(
        self: &Rc<Self>,
        contents: &Contents,
        sent_at: Timestamp,
        completed: bool,
    ) {
        let now = self.now();
        self.crashes.sound_runs.borrow_mut().record(now, contents, sent_at, completed);
        if self.crashes.analyzer.borrow().blocks().is_empty() {
            return;
        }
        for content in contents.iter() {
            self.report_sound_run(SoundRun { content, sent_at, completed });
        }
    }

    /// Reports a run to the drivers if it shows that a blocked content is innocent.
    fn report_sound_run(self: &Rc<Self>, run: SoundRun) {
        let is_refuted = {
            let analyzer = self.crashes.analyzer.borrow();
            analyzer.blocks().get(run.content).is_some_and(|block| block.is_refuted_by(&run))
        };
        if !is_refuted {
            return;
        }
        let report = messages::SoundRunReport {
            content: run.content.0,
            sent_ago_ms: millis(self.now() - run.sent_at),
            completed: run.completed,
        };
        self.send_to_first_drivers(&report.into());
        self.clear_content(&run);
    }

    /// Handles the report of another process.
    pub(crate) fn on_sound_run_report(self: &Rc<Self>, report: &messages::SoundRunReport) {
        self.clear_content(&SoundRun {
            content: ContentHash(report.content),
            sent_at: self.now().saturating_sub(Duration::from_millis(report.sent_ago_ms.into())),
            completed: report.completed,
        });
    }

    /// Clears a content that a run shows to be innocent.
    fn clear_content(self: &Rc<Self>, run: &SoundRun) {
        if !self.crashes.analyzer.borrow_mut().record_sound_run(self.now(), run) {
            return;
        }
        let fields: [(&str, &dyn Display); 2] =
            [("content", &run.content), ("completed", &run.completed)];
        self.events.emit(&catalogue::CONTENT_CLEARED, None, &fields);
        self.crashes.cleared.notify_waiters();
        self.count_blocks();
        self.schedule_analysis();
        if self.cfg.role == NodeRole::Driver {
            let cleared = vec![run.content.0];
            self.peers.broadcast_to_accepted(messages::BlockSet { blocked: Vec::new(), cleared });
        }
    }

    /// Sends a report to the drivers that analyze crashes and assign places. Returns `true` if this
    /// process is one of them, or none can be reached.
    pub(crate) fn send_to_first_drivers(&self, report: &messages::Frame) -> bool {
        let mut is_analyzer = false;
        let mut sent = 0;
        for name in self.peers.ranked(self, DISPATCHER_KEY).iter().take(INFORMED_DRIVERS) {
            if *name == self.cfg.node {
                is_analyzer = true;
            } else if let Some(link) = self.peers.link_to(name)
                && link.send(report.clone())
            {
                sent += 1;
            }
        }
        is_analyzer || sent == 0
    }

    /// Forwards a report for a gateway that cannot reach a driver.
    pub(crate) fn forward_report(&self, report: &messages::Frame) {
        if self.dispatcher().is_some() {
            self.send_to_first_drivers(report);
        }
    }
}

/// # Blocks
impl Node {
    /// Sends all blocks on a new link.
    pub(crate) fn send_blocks(&self, link: &LinkHandle) {
        let blocks: Vec<Block> = self.crashes.analyzer.borrow().blocks().iter().cloned().collect();
        for group in blocks.chunks(MAX_BLOCKS_PER_FRAME) {
            link.send(self.block_set(group));
        }
    }

    /// Applies the blocks of another process. Processes that dialed a gateway because they reach no
    /// driver receive them from it.
    pub(crate) fn on_block_set(self: &Rc<Self>, set: messages::BlockSet, from: NodeRole) {
        let now = self.now();
        let blocks: Vec<Block> =
            set.blocked.iter().map(|blocked| block_from_wire(now, blocked)).collect();
        {
            let mut analyzer = self.crashes.analyzer.borrow_mut();
            for content in &set.cleared {
                analyzer.clear(now, ContentHash(*content));
            }
            for block in &blocks {
                analyzer.blocks_mut().merge(block.clone());
            }
        }
        if !set.cleared.is_empty() {
            self.crashes.cleared.notify_waiters();
        }
        self.count_blocks();
        self.schedule_analysis();
        self.refute_blocks(&blocks);
        self.relay_driver_frame(set, from);
    }

    /// Reports sound runs of this process that show that blocked contents are innocent.
    fn refute_blocks(self: &Rc<Self>, blocks: &[Block]) {
        for block in blocks {
            let refutation = self.crashes.sound_runs.borrow().refutation(block);
            if let Some(run) = refutation {
                self.report_sound_run(run);
            }
        }
    }

    pub(crate) fn broadcast_blocks(&self, blocks: &[Block]) {
        self.count_blocks();
        if self.cfg.role == NodeRole::Driver && !blocks.is_empty() {
            self.peers.broadcast_to_accepted(self.block_set(blocks));
        }
    }

    fn block_set(&self, blocks: &[Block]) -> messages::BlockSet {
        let now = self.now();
        let blocked = blocks.iter().map(|block| block_to_wire(now, block)).collect();
        messages::BlockSet { blocked, cleared: Vec::new() }
    }

    fn count_blocks(&self) {
        let count = self.crashes.analyzer.borrow().blocks().len();
        metrics::gauge!("dogwoodtray_blocked_contents").set(count as f64);
    }
}

const fn pattern_text(pattern: CrashPattern) -> &'static str {
    match pattern {
        CrashPattern::AtStart => "at start",
        CrashPattern::AnyTime => "any time",
    }
}
