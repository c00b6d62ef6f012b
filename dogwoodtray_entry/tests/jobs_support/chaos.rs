//! Seeded random failure schedules.

use std::collections::BTreeMap;
use std::time::Duration;

use dogwoodtray_coord::Name;
use dogwoodtray_entry::jobs::JobConfig;
use dogwoodtray_entry::jobs::JobEvent;
use dogwoodtray_entry::jobs::JobReply;
use dogwoodtray_entry::jobs::JobState;
use dogwoodtray_entry::jobs::ReplyToken;
use rand::Rng;

use super::Faults;
use super::Simulation;
use super::agents::EndRates;
use super::oracle;
use super::oracle::Expected;
use super::submission;

const KEYS: u64 = 4;
const STEPS: u32 = 30;
const DUE_S: u64 = 400;

/// Failures and events that a schedule may contain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScheduleOptions {
    pub(crate) faults: Faults,
    pub(crate) kills: bool,
    pub(crate) pauses: bool,
    pub(crate) outages: bool,
    pub(crate) cancels: bool,
    pub(crate) drains: bool,
}

impl ScheduleOptions {
    /// Enables all failures of section 1.5 that can affect a job core.
    pub(crate) fn all() -> Self {
        let faults = Faults {
            refuse: 20,
            lose_reply: 30,
            lose_request: 20,
            apply_late: 20,
            lose_notification: 500,
            ..Faults::default()
        };
        Self { faults, kills: true, pauses: true, outages: true, cancels: true, drains: true }
    }
}

/// Totals over all jobs of one or more schedules.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Totals {
    pub(crate) jobs: u64,
    pub(crate) takeovers: u64,
    pub(crate) cancelled: u64,
    pub(crate) runs: u64,
    pub(crate) refused: u64,
    pub(crate) unknown: u64,
    pub(crate) garbage: u64,
}

struct SentSubmission {
    key: u64,
    token: ReplyToken,
}

/// Runs one schedule and returns the violations found by the oracle.
pub(crate) fn run(seed: u64, options: ScheduleOptions, totals: &mut Totals) -> Vec<String> {
    let cfg = JobConfig { orphan_age: Duration::from_secs(20), ..JobConfig::default() };
    let mut sim = Simulation::new(seed, 3, cfg);
    sim.faults = options.faults;
    sim.agents.end_rates =
        EndRates { failed: 30, crashed: 30, preempted: 50, not_run: 50, unknown: 30 };
    sim.agents.endpoints = 3;
    sim.agents.places = 4;
    sim.agents.run_ms = 50..2_500;
    let shapes: Vec<(u32, bool)> =
        (0..KEYS).map(|_| (sim.rng.random_range(1..120), sim.rng.random_bool(0.5))).collect();
    let mut sent = Vec::new();
    let mut cancels = Vec::new();
    for _ in 0..STEPS {
        random_step(&mut sim, options, &shapes, &mut sent, &mut cancels);
        let wait = sim.rng.random_range(1..2_500);
        sim.run(Duration::from_millis(wait));
        sim.stop_drained();
    }
    sim.faults = Faults {
        ignore_version: options.faults.ignore_version,
        strip_intents: options.faults.strip_intents,
        ..Faults::default()
    };
    sim.set_down(false);
    for index in 0..sim.processes.len() {
        sim.pause(index, false);
    }
    sim.agents.run_ms = 50..200;
    sim.agents.end_rates = EndRates::default();
    let reader = sim.start_process();
    let end = sim.now + Duration::from_secs(DUE_S + 120);
    // Submissions in progress end within their timeout, accepted or not.
    sim.run(Duration::from_secs(40));
    while sim.now < end && !sim.names("open-jobs").is_empty() {
        sim.run(Duration::from_secs(1));
    }
    check_results(&mut sim, reader, &shapes, &sent, &cancels, totals)
}

fn random_live_process(sim: &mut Simulation) -> usize {
    let live: Vec<usize> = (0..sim.processes.len())
        .filter(|i| sim.processes[*i].alive && !sim.processes[*i].draining)
        .collect();
    live[sim.rng.random_range(0..live.len())]
}

fn random_step(
    sim: &mut Simulation,
    options: ScheduleOptions,
    shapes: &[(u32, bool)],
    sent: &mut Vec<SentSubmission>,
    cancels: &mut Vec<ReplyToken>,
) {
    let index = random_live_process(sim);
    match sim.rng.random_range(0..12) {
        0..=4 => {
            let key = sim.rng.random_range(0..KEYS);
            let (count, idempotent) = shapes[key as usize];
            let job = submission(&format!("key-{key}"), count, idempotent, DUE_S);
            sent.push(SentSubmission { key, token: sim.submit(index, job) });
        }
        5 if options.kills => {
            sim.kill(index);
            sim.start_process();
        }
        6 if options.pauses => {
            let paused = sim.processes[index].paused;
            sim.pause(index, !paused);
        }
        7 if options.outages => sim.set_down(true),
        8 | 9 => {
            sim.set_down(false);
            for index in 0..sim.processes.len() {
                sim.pause(index, false);
            }
        }
        10 if options.cancels => {
            let jobs = sim.names("jobs");
            if !jobs.is_empty() {
                let job = Name::clone(&jobs[sim.rng.random_range(0..jobs.len())]);
                cancels.push(sim.request(index, |token| JobEvent::Cancel { token, job }));
            }
        }
        11 if options.drains => {
            sim.start_process();
            sim.drain(index);
        }
        _ => {}
    }
}

fn check_results(
    sim: &mut Simulation,
    reader: usize,
    shapes: &[(u32, bool)],
    sent: &[SentSubmission],
    cancels: &[ReplyToken],
    totals: &mut Totals,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut cancelled = BTreeMap::new();
    let jobs = sim.names("jobs");
    for token in cancels {
        if let Some((at, JobReply::Cancelled { counts })) = sim.reply(*token).cloned() {
            let job = sim.cancelled_job(*token);
            cancelled.entry(job).or_insert((at, counts));
        }
    }
    let mut stored_jobs = BTreeMap::new();
    for job in jobs {
        let header = sim.header(&job).unwrap();
        if header.state == JobState::Abandoned {
            continue;
        }
        let key: u64 = header.key.as_ref().unwrap()[4..].parse().unwrap();
        stored_jobs.insert(key, Name::clone(&job));
        totals.jobs += 1;
        totals.takeovers += header.epoch.0.saturating_sub(1);
        totals.cancelled += u64::from(header.state == JobState::Cancelled);
        let (items, idempotent) = shapes[key as usize];
        let cancelled = cancelled.get(&job).copied();
        let expected = Expected { job: Name::clone(&job), items, idempotent, cancelled };
        let found = oracle::check(sim, reader, &expected);
        violations.extend(found.into_iter().map(|violation| format!("key {key}: {violation}")));
        totals.garbage += sim.unlisted_segments(&job, &header);
    }
    for SentSubmission { key, token } in sent {
        match sim.reply(*token) {
            Some((_, JobReply::Accepted { .. })) if !stored_jobs.contains_key(key) => {
                violations.push(format!("key {key} was accepted, but its job does not exist"));
            }
            Some((_, JobReply::Conflict { .. })) => {
                violations.push(format!("a resubmission of key {key} was reported as a conflict"));
            }
            Some((_, JobReply::NotRun(_))) => totals.refused += 1,
            Some((_, JobReply::Unknown { .. })) => totals.unknown += 1,
            _ => {}
        }
    }
    // If all submissions of a key were reported as not run, no job may exist for the key.
    for (key, job) in stored_jobs {
        let mut replies = sent.iter().filter(|sent| sent.key == key).map(|s| sim.reply(s.token));
        if replies.all(|reply| matches!(reply, Some((_, JobReply::NotRun(_))))) {
            violations
                .push(format!("{job} runs although all submissions of key {key} were rejected"));
        }
    }
    if !sim.names("open-jobs").is_empty() {
        violations.push("index entries were not removed".to_owned());
    }
    totals.runs += sim.agents.runs.len() as u64;
    violations
}
