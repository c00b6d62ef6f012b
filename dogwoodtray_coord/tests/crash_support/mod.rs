//! Simulation in virtual time of endpoints that crash, and of the processes that report it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::ContentVerdict;
use dogwoodtray_coord::Contents;
use dogwoodtray_coord::CrashAnalyzer;
use dogwoodtray_coord::CrashConfig;
use dogwoodtray_coord::CrashedRun;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RunStage;
use dogwoodtray_coord::SoundRun;
use dogwoodtray_coord::SoundRuns;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::TrialId;
use dogwoodtray_coord::TrialSubject;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time from sending a request to the head of its response.
const HEAD_MS: u64 = 15;

/// Time from the head to the first output of a sound request.
const OUTPUT_MS: u64 = 10;

/// Maximum delay of a report.
const REPORT_MS: u64 = 100;

/// Time for which an endpoint is down after a crash.
const DOWN_MS: u64 = 3_500;

/// Interval of a step.
const STEP_MS: u64 = 5;

/// First of the hashes of guilty contents.
const GUILTY_BASE: u64 = 1 << 32;

/// Way to find the contents that crash endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Way {
    /// Nothing is blocked.
    None,
    /// A request is refused for good after two crashes at which it ran.
    WholeRequests,
    /// Each content is refused for good after this number of crashes at which it ran.
    Presence(u32),
    /// The analyzer.
    Analyzer,
}

/// Load and faults of a simulation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) way: Way,
    pub(crate) seconds: u64,
    pub(crate) endpoints: usize,
    pub(crate) per_second: u64,
    /// Number of guilty parts at once.
    pub(crate) guilty_parts: u64,
    /// Share of the requests that have one of them, per thousand.
    pub(crate) guilty_per_mille: u32,
    /// Whether the guilty content is a whole request that comes again.
    pub(crate) is_whole: bool,
    /// Time from the head of a response to the crash.
    pub(crate) crash_ms: u64,
    /// Number of endpoints that are killed every 400 ms from second 4 to 8.
    pub(crate) kills: usize,
    /// Number of guilty parts that sound requests had until second 3.
    pub(crate) turned: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            seed: 1,
            way: Way::Analyzer,
            seconds: 24,
            endpoints: 18,
            per_second: 80,
            guilty_parts: 1,
            guilty_per_mille: 50,
            is_whole: false,
            crash_ms: 80,
            kills: 0,
            turned: 0,
        }
    }
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcome {
    /// Crashes that guilty requests caused.
    pub(crate) crashes: u32,
    /// Largest number of crashes by one guilty content.
    pub(crate) most_by_one: u32,
    /// Crashes by guilty requests that were sent later than 3 s after the fifth one of their content.
    pub(crate) late: u32,
    pub(crate) sound: u32,
    /// Sound requests that were refused because of their contents.
    pub(crate) refused: u32,
    /// Contents that are blocked in the end although they are innocent.
    pub(crate) blocked_innocent: usize,
    /// Largest number of crashes on record.
    pub(crate) max_records: usize,
}

#[derive(Clone, Debug)]
struct Running {
    contents: Contents,
    sent_at: Timestamp,
    ends_at: Timestamp,
    crashes_at: Option<Timestamp>,
    had_output: bool,
}

enum Finder {
    None,
    /// Crashes by the request that ran.
    Whole(BTreeMap<ContentHash, BTreeSet<u64>>),
    Presence(u32, HashMap<ContentHash, u32>),
    Analyzer(Box<CrashAnalyzer>),
}

pub(crate) struct CrashSimulation {
    load: Load,
    rng: StdRng,
    now: Timestamp,
    endpoints: Vec<(Option<Timestamp>, Vec<Running>)>,
    finder: Finder,
    sound_runs: SoundRuns,
    reports: BTreeMap<(Timestamp, u64), CrashedRun>,
    next_request: u64,
    by_content: HashMap<ContentHash, (u32, Timestamp)>,
    outcome: Outcome,
}

pub(crate) fn simulate(load: Load) -> Outcome {
    let finder = match load.way {
        Way::None => Finder::None,
        Way::WholeRequests => Finder::Whole(BTreeMap::new()),
        Way::Presence(limit) => Finder::Presence(limit, HashMap::new()),
        Way::Analyzer => Finder::Analyzer(Box::new(CrashAnalyzer::new(CrashConfig::default()))),
    };
    let mut simulation = CrashSimulation {
        load,
        rng: StdRng::seed_from_u64(load.seed),
        now: Timestamp::ZERO,
        endpoints: vec![(None, Vec::new()); load.endpoints],
        finder,
        sound_runs: SoundRuns::new(),
        reports: BTreeMap::new(),
        next_request: 1 << 40,
        by_content: HashMap::new(),
        outcome: Outcome::default(),
    };
    for step in 0..load.seconds * 1_000 / STEP_MS {
        simulation.now = Timestamp::ZERO + Duration::from_millis(step * STEP_MS);
        simulation.step(step * STEP_MS);
    }
    simulation.finish()
}

impl CrashSimulation {
    fn step(&mut self, ms: u64) {
        self.receive_reports();
        for index in 0..self.endpoints.len() {
            self.advance(index);
        }
        if self.load.kills > 0 && (4_000..8_000).contains(&ms) && ms.is_multiple_of(400) {
            for _ in 0..self.load.kills {
                let index = self.rng.random_range(0..self.endpoints.len());
                self.crash(index);
            }
        }
        let arrivals = self.load.per_second * STEP_MS;
        let count =
            arrivals / 1_000 + u64::from(self.rng.random_range(0..1_000) < arrivals % 1_000);
        for _ in 0..count {
            self.arrive(ms);
        }
    }

    fn arrive(&mut self, ms: u64) {
        let is_guilty = ms >= 3_000 && self.rng.random_range(0..1_000) < self.load.guilty_per_mille;
        let first = ContentHash(self.rng.random_range(0..20));
        let second = ContentHash(100 + self.rng.random_range(0..950));
        self.next_request += 1;
        let mut contents =
            Contents { request: ContentHash(self.next_request), parts: vec![first, second] };
        let guilty =
            ContentHash(GUILTY_BASE + self.rng.random_range(0..self.load.guilty_parts.max(1)));
        if is_guilty && self.load.is_whole {
            contents = Contents { request: guilty, parts: vec![ContentHash(3), ContentHash(103)] };
        } else if is_guilty {
            contents.parts.insert(1, guilty);
        } else if ms < 3_000 && self.rng.random_range(0..100) < 5 && self.load.turned > 0 {
            let turned = self.rng.random_range(0..self.load.turned);
            contents.parts.insert(1, ContentHash(GUILTY_BASE + turned));
        }
        self.outcome.sound += u32::from(!is_guilty);
        if self.is_refused(&contents) {
            self.outcome.refused += u32::from(!is_guilty);
            return;
        }
        let up: Vec<usize> = (0..self.endpoints.len())
            .filter(|index| self.endpoints[*index].0.is_none_or(|up_at| up_at <= self.now))
            .collect();
        if up.is_empty() {
            return;
        }
        let index = up[self.rng.random_range(0..up.len())];
        if is_guilty && let Some((5.., fifth_at)) = self.by_content.get(&guilty) {
            self.outcome.late += u32::from(self.now > *fifth_at + Duration::from_secs(3));
        }
        let run_ms = self.rng.random_range(300..1_100);
        self.endpoints[index].1.push(Running {
            contents,
            sent_at: self.now,
            ends_at: self.now + Duration::from_millis(run_ms),
            crashes_at: is_guilty
                .then(|| self.now + Duration::from_millis(HEAD_MS + self.load.crash_ms)),
            had_output: false,
        });
    }

    fn is_refused(&mut self, contents: &Contents) -> bool {
        match &mut self.finder {
            Finder::None => false,
            Finder::Whole(crashes) => {
                crashes.get(&contents.request).is_some_and(|crashes| crashes.len() >= 2)
            }
            Finder::Presence(limit, counts) => {
                contents.iter().any(|content| counts.get(&content).is_some_and(|n| n >= limit))
            }
            Finder::Analyzer(analyzer) => {
                let id = TrialId { holder: Incarnation(1), number: contents.request.0 };
                match analyzer.blocks().check(TrialSubject::Request, self.now, contents, None) {
                    ContentVerdict::Allowed => false,
                    ContentVerdict::Trial(trial) => analyzer
                        .blocks_mut()
                        .start_trial(TrialSubject::Request, self.now, &trial, id, self.now)
                        .is_err(),
                    ContentVerdict::Blocked { .. } => true,
                }
            }
        }
    }

    fn advance(&mut self, index: usize) {
        let now = self.now;
        let runs = &mut self.endpoints[index].1;
        if let Some(run) = runs.iter().find(|run| run.crashes_at.is_some_and(|at| at <= now)) {
            let guilty = run.contents.iter().find(|c| c.0 >= GUILTY_BASE && c.0 < 1 << 40);
            let guilty = guilty.unwrap_or_default();
            let entry = self.by_content.entry(guilty).or_insert((0, now));
            entry.0 += 1;
            if entry.0 == 5 {
                entry.1 = now;
            }
            self.outcome.most_by_one = self.outcome.most_by_one.max(entry.0);
            self.outcome.crashes += 1;
            return self.crash(index);
        }
        let output_after = Duration::from_millis(HEAD_MS + OUTPUT_MS);
        let mut sound = Vec::new();
        for run in runs.iter_mut() {
            let is_late = self.load.crash_ms > 250;
            if !run.had_output
                && now >= run.sent_at + output_after
                && (run.crashes_at.is_none() || is_late)
            {
                run.had_output = true;
                sound.push((run.contents.clone(), run.sent_at, false));
            }
        }
        runs.retain(|run| {
            let is_done = run.crashes_at.is_none() && run.ends_at <= now;
            if is_done {
                sound.push((run.contents.clone(), run.sent_at, true));
            }
            !is_done
        });
        for (contents, sent_at, completed) in sound {
            self.sound_runs.record(now, &contents, sent_at, completed);
            for content in contents.iter() {
                self.on_sound_run(&SoundRun { content, sent_at, completed });
            }
        }
    }

    fn on_sound_run(&mut self, run: &SoundRun) {
        if let Finder::Analyzer(analyzer) = &mut self.finder {
            analyzer.record_sound_run(self.now, run);
        }
    }

    fn crash(&mut self, index: usize) {
        let (up_at, runs) = &mut self.endpoints[index];
        *up_at = Some(self.now + Duration::from_millis(DOWN_MS));
        for run in std::mem::take(runs) {
            let had_head = self.now >= run.sent_at + Duration::from_millis(HEAD_MS);
            let is_starting = had_head && !run.had_output;
            let report = CrashedRun {
                endpoint: Name::from(format!("e{index}")),
                sent_at: run.sent_at,
                ended_at: self.now,
                stage: if is_starting { RunStage::Starting } else { RunStage::Running },
                sound: self.sound_runs.known(&run.contents),
                contents: run.contents,
            };
            let at = self.now + Duration::from_millis(self.rng.random_range(0..REPORT_MS));
            self.next_request += 1;
            self.reports.insert((at, self.next_request), report);
        }
    }

    fn receive_reports(&mut self) {
        while let Some(entry) = self.reports.first_entry().filter(|entry| entry.key().0 <= self.now)
        {
            let run = entry.remove();
            match &mut self.finder {
                Finder::None => {}
                Finder::Whole(crashes) => {
                    let crash_id =
                        run.ended_at.as_micros() ^ ContentHash::of(run.endpoint.as_bytes()).0;
                    crashes.entry(run.contents.request).or_default().insert(crash_id);
                }
                Finder::Presence(_, counts) => {
                    for content in run.contents.iter() {
                        *counts.entry(content).or_default() += 1;
                    }
                }
                Finder::Analyzer(analyzer) => {
                    analyzer.record_crash(self.now, run);
                }
            }
        }
        if let Finder::Analyzer(analyzer) = &mut self.finder {
            for block in analyzer.tick(self.now) {
                if let Some(run) = self.sound_runs.refutation(&block) {
                    analyzer.record_sound_run(self.now, &run);
                }
            }
            self.outcome.max_records = self.outcome.max_records.max(analyzer.crash_count());
        }
    }

    fn finish(mut self) -> Outcome {
        let is_guilty = |content: &ContentHash| content.0 >= GUILTY_BASE && content.0 < 1 << 40;
        self.outcome.blocked_innocent = match &self.finder {
            Finder::None | Finder::Whole(_) => 0,
            Finder::Presence(limit, counts) => {
                let innocent = counts.iter().filter(|(content, _)| content.0 < 1 << 32);
                innocent.filter(|(_, n)| *n >= limit).count()
            }
            Finder::Analyzer(analyzer) => {
                let blocked = analyzer.blocks().iter().map(|block| block.content);
                blocked.filter(|content| !is_guilty(content) && content.0 < 1 << 32).count()
            }
        };
        self.outcome
    }
}
