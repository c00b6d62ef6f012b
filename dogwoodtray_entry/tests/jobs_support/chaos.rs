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
use super::World;
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
    let mut world = World::new(seed, 3, cfg);
    world.faults = options.faults;
    world.agents.end_rates =
        EndRates { failed: 30, crashed: 30, preempted: 50, not_run: 50, unknown: 30 };
    world.agents.endpoints = 3;
    world.agents.places = 4;
    world.agents.run_ms = 50..2_500;
    let shapes: Vec<(u32, bool)> =
        (0..KEYS).map(|_| (world.rng.random_range(1..120), world.rng.random_bool(0.5))).collect();
    let mut sent = Vec::new();
    let mut cancels = Vec::new();
    for _ in 0..STEPS {
        random_step(&mut world, options, &shapes, &mut sent, &mut cancels);
        let wait = world.rng.random_range(1..2_500);
        world.run(Duration::from_millis(wait));
        world.stop_drained();
    }
    world.faults = Faults {
        ignore_version: options.faults.ignore_version,
        strip_intents: options.faults.strip_intents,
        ..Faults::default()
    };
    world.set_down(false);
    for index in 0..world.processes.len() {
        world.pause(index, false);
    }
    world.agents.run_ms = 50..200;
    world.agents.end_rates = EndRates::default();
    let reader = world.start_process();
    let end = world.now + Duration::from_secs(DUE_S + 120);
    // Submissions in progress end within their timeout, accepted or not.
    world.run(Duration::from_secs(40));
    while world.now < end && !world.names("open-jobs").is_empty() {
        world.run(Duration::from_secs(1));
    }
    check_results(&mut world, reader, &shapes, &sent, &cancels, totals)
}

fn random_live_process(world: &mut World) -> usize {
    let live: Vec<usize> = (0..world.processes.len())
        .filter(|i| world.processes[*i].alive && !world.processes[*i].draining)
        .collect();
    live[world.rng.random_range(0..live.len())]
}

fn random_step(
    world: &mut World,
    options: ScheduleOptions,
    shapes: &[(u32, bool)],
    sent: &mut Vec<SentSubmission>,
    cancels: &mut Vec<ReplyToken>,
) {
    let index = random_live_process(world);
    match world.rng.random_range(0..12) {
        0..=4 => {
            let key = world.rng.random_range(0..KEYS);
            let (count, idempotent) = shapes[key as usize];
            let job = submission(&format!("key-{key}"), count, idempotent, DUE_S);
            sent.push(SentSubmission { key, token: world.submit(index, job) });
        }
        5 if options.kills => {
            world.kill(index);
            world.start_process();
        }
        6 if options.pauses => {
            let paused = world.processes[index].paused;
            world.pause(index, !paused);
        }
        7 if options.outages => world.set_down(true),
        8 | 9 => {
            world.set_down(false);
            for index in 0..world.processes.len() {
                world.pause(index, false);
            }
        }
        10 if options.cancels => {
            let jobs = world.names("jobs");
            if !jobs.is_empty() {
                let job = Name::clone(&jobs[world.rng.random_range(0..jobs.len())]);
                cancels.push(world.request(index, |token| JobEvent::Cancel { token, job }));
            }
        }
        11 if options.drains => {
            world.start_process();
            world.drain(index);
        }
        _ => {}
    }
}

fn check_results(
    world: &mut World,
    reader: usize,
    shapes: &[(u32, bool)],
    sent: &[SentSubmission],
    cancels: &[ReplyToken],
    totals: &mut Totals,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut cancelled = BTreeMap::new();
    let jobs = world.names("jobs");
    for token in cancels {
        if let Some((at, JobReply::Cancelled { counts })) = world.reply(*token).cloned() {
            let job = world.cancelled_job(*token);
            cancelled.entry(job).or_insert((at, counts));
        }
    }
    let mut stored_jobs = BTreeMap::new();
    for job in jobs {
        let header = world.header(&job).unwrap();
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
        let found = oracle::check(world, reader, &expected);
        violations.extend(found.into_iter().map(|violation| format!("key {key}: {violation}")));
        totals.garbage += world.unlisted_segments(&job, &header);
    }
    for SentSubmission { key, token } in sent {
        match world.reply(*token) {
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
        let mut replies = sent.iter().filter(|sent| sent.key == key).map(|s| world.reply(s.token));
        if replies.all(|reply| matches!(reply, Some((_, JobReply::NotRun(_))))) {
            violations
                .push(format!("{job} runs although all submissions of key {key} were rejected"));
        }
    }
    if !world.names("open-jobs").is_empty() {
        violations.push("index entries were not removed".to_owned());
    }
    totals.runs += world.agents.runs.len() as u64;
    violations
}
