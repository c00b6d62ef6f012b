//! Search for the contents that crash endpoints.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use super::Block;
use super::Blocklist;
use super::CrashPattern;
use super::CrashedRun;
use super::EVIDENCE_RETENTION;
use super::RunStage;
use super::SoundRun;
use super::crash::Crash;
use super::crash::count_explanations;
use crate::ContentHash;
use crate::Timestamp;

/// Number up to which explanations are counted. It exceeds all thresholds, so that contents with
/// different thresholds compare.
const MAX_EXPLANATIONS: usize = 16;

/// Settings of a [`CrashAnalyzer`].
#[derive(Clone, Copy, Debug)]
pub struct CrashConfig {
    /// Crashes at the start of an answer after which a content is blocked. Sound requests are rarely
    /// at this stage.
    pub start_crashes: usize,
    /// The same for a content that had sound runs before.
    pub sound_start_crashes: usize,
    /// Crashes, one after the other, after which a whole request is blocked whatever its stage.
    pub request_crashes: usize,
    /// Crashes, one after the other, after which a part is blocked whatever its stage. Parts are
    /// often present at crashes that they do not cause.
    pub part_crashes: usize,
    /// Crashes, one after the other, after which an item is blocked although its runs produced
    /// output, if they are at least half of all crashes since the first of them.
    pub resumable_crashes: usize,
    /// Time in which the reports of all processes about a crash arrive.
    pub report_time: Duration,
    /// Whether a run that was sent after a crash was ended by another one, however soon that followed.
    /// This holds if only runs are reported that the endpoint received.
    pub reports_received_runs: bool,
    /// Time for which crashes are kept.
    pub retention: Duration,
    /// Maximum number of crashes that are kept.
    pub max_crashes: usize,
    /// Maximum number of blocks.
    pub max_blocks: usize,
}

impl Default for CrashConfig {
    fn default() -> Self {
        Self {
            start_crashes: 2,
            sound_start_crashes: 3,
            request_crashes: 3,
            part_crashes: 6,
            resumable_crashes: 4,
            report_time: Duration::from_millis(150),
            reports_received_runs: false,
            retention: EVIDENCE_RETENTION,
            max_crashes: 1_024,
            max_blocks: 1_024,
        }
    }
}

/// Evidence against one content.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    content: ContentHash,
    is_part: bool,
    had_sound_runs: bool,
    pattern: CrashPattern,
    crashes: usize,
    first: Timestamp,
    last: Timestamp,
}

/// Finds the contents that crash endpoints.
///
/// Requests beside a guilty one break off with it, so being present at a crash proves little. Two
/// hypotheses are therefore kept for each content: that it crashes an endpoint before the first
/// output, or at any time. Runs that had begun without output are few, and two crashes suffice for
/// the first; the second needs more, each by a run that was sent after the previous crash, so that
/// endpoints that are killed together count once. A run with output refutes the first hypothesis, a
/// complete run both.
///
/// A part counts as many crashes as different requests are needed to explain those at which it was
/// present: one request that comes again accuses itself, not its parts. A crash at which a blocked
/// part or request was present is explained and accuses no content of other requests. Contents with
/// the same evidence are blocked together, and sound runs clear those that are innocent.
///
/// An item of a job runs for seconds and is resumed after each crash, so it is present at many that
/// it does not cause. A run that produced output says nothing about the parts of an item, and counts
/// against the item only if it is present at every second crash.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use dogwoodtray_coord::ContentHash;
/// use dogwoodtray_coord::ContentVerdict;
/// use dogwoodtray_coord::Contents;
/// use dogwoodtray_coord::CrashAnalyzer;
/// use dogwoodtray_coord::CrashConfig;
/// use dogwoodtray_coord::CrashedRun;
/// use dogwoodtray_coord::Name;
/// use dogwoodtray_coord::RunStage;
/// use dogwoodtray_coord::Timestamp;
/// use dogwoodtray_coord::TrialSubject;
///
/// let part = ContentHash(7);
/// let mut analyzer = CrashAnalyzer::new(CrashConfig::default());
/// for number in 0..2 {
///     let sent_at = Timestamp::ZERO + Duration::from_secs(number);
///     let run = CrashedRun {
///         contents: Contents { request: ContentHash(100 + number), parts: vec![part] },
///         endpoint: Name::from("e1"),
///         sent_at,
///         ended_at: sent_at + Duration::from_millis(50),
///         stage: RunStage::Starting,
///         sound: Vec::new(),
///     };
///     analyzer.record_crash(run.ended_at, run);
/// }
/// let next = Contents { request: ContentHash(102), parts: vec![part] };
/// let now = Timestamp::ZERO + Duration::from_secs(2);
/// analyzer.tick(now);
/// let verdict = analyzer.blocks().check(TrialSubject::Request, now, &next, None);
/// assert!(matches!(verdict, ContentVerdict::Blocked { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct CrashAnalyzer {
    cfg: CrashConfig,
    /// Crashes by their number, in the order of their first report.
    crashes: VecDeque<Crash>,
    /// Number of the first crash in `crashes`.
    first_number: u64,
    /// Numbers of the crashes that accuse each content.
    by_content: HashMap<ContentHash, Vec<u64>>,
    blocks: Blocklist,
}

impl CrashAnalyzer {
    /// Creates an analyzer without evidence.
    #[must_use]
    pub fn new(cfg: CrashConfig) -> Self {
        Self {
            cfg,
            crashes: VecDeque::new(),
            first_number: 0,
            by_content: HashMap::new(),
            blocks: Blocklist::new(cfg.max_blocks),
        }
    }

    /// Returns the blocked contents.
    #[must_use]
    pub const fn blocks(&self) -> &Blocklist {
        &self.blocks
    }

    /// Returns the blocked contents for changes.
    pub const fn blocks_mut(&mut self) -> &mut Blocklist {
        &mut self.blocks
    }

    /// Returns the number of crashes that are kept.
    #[must_use]
    pub fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the time at which [`tick`](Self::tick) is to be called next, if any crash has not been
    /// analyzed.
    #[must_use]
    pub fn next_tick(&self) -> Option<Timestamp> {
        self.crashes.iter().filter_map(|crash| crash.analyze_at).min()
    }

    /// Returns `true` if a run adds nothing: one of the same request, ended by the same crash, was
    /// recorded, no more runs of that crash are kept, or only later crashes are.
    #[must_use]
    pub fn knows(&self, now: Timestamp, run: &CrashedRun) -> bool {
        let request = run.contents.request;
        let has_run = |crash: &Crash| crash.has_request(request) || crash.is_full();
        let is_full = self.crashes.len() >= self.cfg.max_crashes;
        let is_dropped = is_full && self.crashes.front().is_some_and(|old| run.ended_at < old.at);
        is_dropped
            || now - run.ended_at > self.cfg.retention
            || self.crashes.iter().any(|crash| self.ended(crash, run) && has_run(crash))
    }

    fn ended(&self, crash: &Crash, run: &CrashedRun) -> bool {
        crash.ended(run) && !(self.cfg.reports_received_runs && crash.is_before(run))
    }

    /// Returns the recorded runs, those of the newest crash first.
    pub fn newest_runs(&self) -> impl Iterator<Item = &CrashedRun> {
        self.crashes.iter().rev().flat_map(|crash| &crash.runs)
    }

    /// Returns the time of the last crash that accuses a content.
    #[must_use]
    pub fn last_crash(&self, content: ContentHash) -> Option<Timestamp> {
        self.accusing_crashes(content).last().map(|crash| crash.at)
    }

    /// Returns `true` if several crashes accuse a content and one of them has not been analyzed.
    #[must_use]
    pub fn is_undecided(&self, content: ContentHash) -> bool {
        let crashes = self.accusing_crashes(content);
        crashes.len() > 1 && crashes.iter().any(|crash| crash.analyze_at.is_some())
    }

    /// Records a run that ended because its endpoint crashed. Returns the blocks of its contents that
    /// have changed.
    pub fn record_crash(&mut self, now: Timestamp, mut run: CrashedRun) -> Vec<Block> {
        self.drop_old(now);
        if run.stage == RunStage::Resumable {
            run.contents.parts.clear();
        }
        let contents = run.contents.clone();
        let ended_at = run.ended_at;
        let known = self.crashes.iter().rposition(|crash| self.ended(crash, &run));
        let is_new = |content: &ContentHash| known.is_none_or(|i| !self.crashes[i].has(*content));
        let new_contents: Vec<ContentHash> = contents.iter().filter(is_new).collect();
        let number = match known {
            Some(index) => {
                self.crashes[index].push(run);
                self.first_number + index as u64
            }
            None => {
                self.crashes.push_back(Crash::new(run, now + self.cfg.report_time));
                self.first_number + self.crashes.len() as u64 - 1
            }
        };
        for content in &new_contents {
            self.by_content.entry(*content).or_default().push(number);
        }
        new_contents
            .into_iter()
            .filter_map(|content| self.blocks.record_crash(content, ended_at))
            .collect()
    }

    /// Analyzes the crashes about which all reports should have arrived. Returns the new blocks.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Block> {
        let mut blocks = Vec::new();
        for index in 0..self.crashes.len() {
            let is_due = |crash: &Crash| crash.analyze_at.is_some_and(|at| at <= now);
            if is_due(&self.crashes[index]) {
                self.crashes[index].analyze_at = None;
                self.analyze(index, &mut blocks);
            }
        }
        blocks
    }

    /// Records a sound run. Returns `true` if it cleared a blocked content.
    pub fn record_sound_run(&mut self, now: Timestamp, run: &SoundRun) -> bool {
        let is_refuted = self.blocks.refute(now, run);
        if is_refuted {
            self.analyze_crashes_of(now, run.content);
        }
        is_refuted
    }

    /// Removes the block of a content that another process found innocent at `at`. Returns `true` if
    /// it was blocked.
    pub fn clear(&mut self, at: Timestamp, content: ContentHash) -> bool {
        let was_blocked = self.blocks.clear(at, content);
        if was_blocked {
            self.analyze_crashes_of(at, content);
        }
        was_blocked
    }

    /// Analyzes again the crashes that an innocent content explained.
    fn analyze_crashes_of(&mut self, now: Timestamp, content: ContentHash) {
        for number in self.by_content.get(&content).into_iter().flatten() {
            let index = number.checked_sub(self.first_number).map(usize::try_from);
            if let Some(Ok(index)) = index
                && let Some(crash) = self.crashes.get_mut(index)
            {
                crash.analyze_at = Some(now);
            }
        }
    }

    fn drop_old(&mut self, now: Timestamp) {
        while self.crashes.len() >= self.cfg.max_crashes
            || self.crashes.front().is_some_and(|old| now - old.at > self.cfg.retention)
        {
            let Some(old) = self.crashes.pop_front() else { return };
            for content in old.runs.iter().flat_map(|run| run.contents.iter()) {
                if let Some(numbers) = self.by_content.get_mut(&content) {
                    numbers.retain(|number| *number != self.first_number);
                    if numbers.is_empty() {
                        self.by_content.remove(&content);
                    }
                }
            }
            self.first_number += 1;
        }
    }
}

/// # Analysis
impl CrashAnalyzer {
    /// Blocks the contents that explain a crash, if the evidence suffices.
    fn analyze(&mut self, index: usize, blocks: &mut Vec<Block>) {
        let evidence = self.strongest_evidence(&self.crashes[index]);
        let contents: Vec<ContentHash> = evidence.iter().map(|found| found.content).collect();
        for found in evidence {
            let rivals =
                contents.iter().copied().filter(|content| *content != found.content).collect();
            let block = Block::new(
                found.content,
                found.pattern,
                u32::try_from(found.crashes).unwrap_or(u32::MAX),
                (found.first, found.last),
                found.had_sound_runs,
                rivals,
            );
            if self.blocks.merge(block.clone()) {
                blocks.push(block);
            }
        }
    }

    /// Returns the contents to block on account of a crash. Of those with sufficient evidence they
    /// are those without sound runs, then the ones with most crashes, then whole requests, whose
    /// block affects fewer others.
    fn strongest_evidence(&self, crash: &Crash) -> Vec<Evidence> {
        let mut contents: HashMap<ContentHash, bool> = HashMap::new();
        for run in &crash.runs {
            contents.entry(run.contents.request).or_insert(false);
            run.contents.parts.iter().for_each(|part| {
                contents.insert(*part, true);
            });
        }
        let is_explained = contents
            .iter()
            .any(|(content, is_part)| *is_part && self.blocks.get(*content).is_some());
        if is_explained {
            return Vec::new();
        }
        let found = contents.into_iter().filter(|(content, _)| self.blocks.get(*content).is_none());
        let mut found: Vec<Evidence> =
            found.filter_map(|(content, is_part)| self.evidence(content, is_part)).collect();
        let rank = |found: &Evidence| {
            let is_at_start = found.pattern == CrashPattern::AtStart;
            (is_at_start, !found.had_sound_runs, found.crashes, !found.is_part)
        };
        let best = found.iter().map(rank).max();
        found.retain(|found| Some(rank(found)) == best);
        found.sort_by_key(|found| found.content);
        found
    }

    /// Returns the evidence against a content if it suffices to block it.
    fn evidence(&self, content: ContentHash, is_part: bool) -> Option<Evidence> {
        let mut crashes = self.accusing_crashes(content);
        let (first, last) = (crashes.first()?.at, crashes.last()?.at);
        let had_sound_runs =
            crashes.iter().any(|crash| crash.runs.iter().any(|run| run.sound.contains(&content)));
        let found = |pattern, crashes| {
            Some(Evidence { content, is_part, had_sound_runs, pattern, crashes, first, last })
        };
        let starting: Vec<HashSet<ContentHash>> = crashes
            .iter()
            .map(|crash| crash.requests_with(content, Some(RunStage::Starting)))
            .filter(|requests| !requests.is_empty())
            .collect();
        let start_limit =
            if had_sound_runs { self.cfg.sound_start_crashes } else { self.cfg.start_crashes };
        let at_start =
            if is_part { count_explanations(starting, MAX_EXPLANATIONS) } else { starting.len() };
        if at_start >= start_limit {
            return found(CrashPattern::AtStart, at_start);
        }
        if let Some(in_turn) = self.resumable_crashes(content, &crashes) {
            return found(CrashPattern::AnyTime, in_turn);
        }
        crashes.retain(|crash| !crash.is_resumable(content));
        let limit = if is_part { self.cfg.part_crashes } else { self.cfg.request_crashes };
        let mut in_turn = count_in_turn(content, &crashes);
        if is_part && in_turn >= limit {
            let requests = crashes.iter().map(|crash| crash.requests_with(content, None)).collect();
            in_turn = in_turn.min(count_explanations(requests, MAX_EXPLANATIONS));
        }
        if in_turn >= limit { found(CrashPattern::AnyTime, in_turn) } else { None }
    }

    /// Returns the number of crashes, one after the other, under an item whose runs produced output,
    /// if it suffices to block the item.
    fn resumable_crashes(&self, content: ContentHash, crashes: &[&Crash]) -> Option<usize> {
        let first = crashes.first()?.at;
        let since = self.crashes.iter().filter(|crash| crash.at >= first).count();
        let in_turn = count_in_turn(content, crashes);
        let is_often_present = crashes.len() * 2 >= since;
        let is_resumable = crashes.iter().any(|crash| crash.is_resumable(content));
        (is_resumable && is_often_present && in_turn >= self.cfg.resumable_crashes)
            .then_some(in_turn)
    }

    /// Returns the crashes at which a content was present and that nothing else explains, in the order
    /// of time. Another blocked part explains a crash, and so does a blocked request without the
    /// content. Crashes before the content was found innocent do not count.
    fn accusing_crashes(&self, content: ContentHash) -> Vec<&Crash> {
        let numbers = self.by_content.get(&content).map(Vec::as_slice).unwrap_or_default();
        let cleared_at = self.blocks.cleared_at(content);
        let is_blocked = |other: &ContentHash| self.blocks.get(*other).is_some();
        let is_other_part = |part: &ContentHash| *part != content && is_blocked(part);
        let is_other_cause = |run: &CrashedRun| {
            let contents = &run.contents;
            let is_other_request = !contents.contains(content) && is_blocked(&contents.request);
            is_other_request || contents.parts.iter().any(is_other_part)
        };
        let mut crashes: Vec<&Crash> = numbers
            .iter()
            .filter_map(|number| {
                let index = number.checked_sub(self.first_number)?;
                self.crashes.get(usize::try_from(index).ok()?)
            })
            .filter(|crash| cleared_at.is_none_or(|at| crash.at > at))
            .filter(|crash| !crash.runs.iter().any(is_other_cause))
            .collect();
        crashes.sort_by_key(|crash| crash.at);
        crashes
    }
}

/// Returns the number of crashes by runs with a content that were each sent after the previous one.
fn count_in_turn(content: ContentHash, crashes: &[&Crash]) -> usize {
    let mut count = 0;
    let mut last = None;
    for crash in crashes {
        if last.is_none_or(|at| crash.has_sent_after(content, at)) {
            count += 1;
            last = Some(crash.at);
        }
    }
    count
}
