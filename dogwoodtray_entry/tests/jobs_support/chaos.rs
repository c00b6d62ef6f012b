//! Seeded schedules of failures.

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
use super::agents::Ends;
use super::oracle;
use super::oracle::Expected;
use super::submission;

const KEYS: u64 = 4;
const STEPS: u32 = 30;
const DUE_S: u64 = 400;

/// What a schedule may contain.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mix {
    pub(crate) faults: Faults,
    pub(crate) kills: bool,
    pub(crate) pauses: bool,
    pub(crate) outages: bool,
    pub(crate) cancels: bool,
    pub(crate) drains: bool,
}

impl Mix {
    /// All failures of section 1.5 that a job core can meet.
    pub(crate) fn all() -> Self {
        let faults = Faults {
            refuse: 20,
            lose_reply: 30,
            lose_request: 20,
            late: 20,
            lose_note: 500,
            ..Faults::default()
        };
        Self { faults, kills: true, pauses: true, outages: true, cancels: true, drains: true }
    }
}

/// Sums over the jobs of one or more schedules.
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

struct Sent {
    key: u64,
    token: ReplyToken,
}

/// Runs one schedule and returns the violations.
pub(crate) fn run(seed: u64, mix: Mix, totals: &mut Totals) -> Vec<String> {
    let cfg = JobConfig { orphan_age: Duration::from_secs(20), ..JobConfig::default() };
    let mut world = World::new(seed, 3, cfg);
    world.faults = mix.faults;
    world.agents.ends = Ends { failed: 30, crashed: 30, preempted: 50, not_run: 50, unknown: 30 };
    world.agents.endpoints = 3;
    world.agents.places = 4;
    world.agents.run_ms = 50..2_500;
    let shapes: Vec<(u32, bool)> =
        (0..KEYS).map(|_| (world.rng.random_range(1..120), world.rng.random_bool(0.5))).collect();
    let mut sent = Vec::new();
    let mut cancels = Vec::new();
    for _ in 0..STEPS {
        step(&mut world, mix, &shapes, &mut sent, &mut cancels);
        let wait = world.rng.random_range(1..2_500);
        world.run(Duration::from_millis(wait));
        world.reap();
    }
    world.faults = Faults {
        ignore_version: mix.faults.ignore_version,
        strip_intents: mix.faults.strip_intents,
        ..Faults::default()
    };
    world.set_down(false);
    for index in 0..world.procs.len() {
        world.pause(index, false);
    }
    world.agents.run_ms = 50..200;
    world.agents.ends = Ends::default();
    let reader = world.start_proc();
    let end = world.now + Duration::from_secs(DUE_S + 120);
    // Submissions in hand end within their timeout, accepted or not.
    world.run(Duration::from_secs(40));
    while world.now < end && !world.names("open-jobs").is_empty() {
        world.run(Duration::from_secs(1));
    }
    judge(&mut world, reader, &shapes, &sent, &cancels, totals)
}

fn live(world: &mut World) -> usize {
    let live: Vec<usize> = (0..world.procs.len())
        .filter(|i| world.procs[*i].alive && !world.procs[*i].draining)
        .collect();
    live[world.rng.random_range(0..live.len())]
}

fn step(
    world: &mut World,
    mix: Mix,
    shapes: &[(u32, bool)],
    sent: &mut Vec<Sent>,
    cancels: &mut Vec<ReplyToken>,
) {
    let index = live(world);
    match world.rng.random_range(0..12) {
        0..=4 => {
            let key = world.rng.random_range(0..KEYS);
            let (count, idempotent) = shapes[key as usize];
            let job = submission(&format!("key-{key}"), count, idempotent, DUE_S);
            sent.push(Sent { key, token: world.submit(index, job) });
        }
        5 if mix.kills => {
            world.kill(index);
            world.start_proc();
        }
        6 if mix.pauses => {
            let paused = world.procs[index].paused;
            world.pause(index, !paused);
        }
        7 if mix.outages => world.set_down(true),
        8 | 9 => {
            world.set_down(false);
            for index in 0..world.procs.len() {
                world.pause(index, false);
            }
        }
        10 if mix.cancels => {
            let jobs = world.names("jobs");
            if !jobs.is_empty() {
                let job = Name::clone(&jobs[world.rng.random_range(0..jobs.len())]);
                cancels.push(world.ask(index, |token| JobEvent::Cancel { token, job }));
            }
        }
        11 if mix.drains => {
            world.start_proc();
            world.drain(index);
        }
        _ => {}
    }
}

fn judge(
    world: &mut World,
    reader: usize,
    shapes: &[(u32, bool)],
    sent: &[Sent],
    cancels: &[ReplyToken],
    totals: &mut Totals,
) -> Vec<String> {
    let mut faults = Vec::new();
    let mut cancelled = BTreeMap::new();
    let jobs = world.names("jobs");
    for token in cancels {
        if let Some((at, JobReply::Cancelled { counts })) = world.reply(*token).cloned() {
            let job = world.cancelled_job(*token);
            cancelled.entry(job).or_insert((at, counts));
        }
    }
    let mut there = BTreeMap::new();
    for job in jobs {
        let header = world.header(&job).unwrap();
        if header.state == JobState::Abandoned {
            continue;
        }
        let key: u64 = header.key.as_ref().unwrap()[4..].parse().unwrap();
        there.insert(key, Name::clone(&job));
        totals.jobs += 1;
        totals.takeovers += header.epoch.0.saturating_sub(1);
        totals.cancelled += u64::from(header.state == JobState::Cancelled);
        let (items, idempotent) = shapes[key as usize];
        let cancelled = cancelled.get(&job).copied();
        let expected = Expected { job: Name::clone(&job), items, idempotent, cancelled };
        let found = oracle::check(world, reader, &expected);
        faults.extend(found.into_iter().map(|fault| format!("key {key}: {fault}")));
        totals.garbage += world.unlisted_segments(&job, &header);
    }
    for Sent { key, token } in sent {
        match world.reply(*token) {
            Some((_, JobReply::Accepted { .. })) if !there.contains_key(key) => {
                faults.push(format!("key {key} was accepted and is not there"));
            }
            Some((_, JobReply::Conflict { .. })) => {
                faults.push(format!("key {key} conflicts with itself"));
            }
            Some((_, JobReply::NotRun(_))) => totals.refused += 1,
            Some((_, JobReply::Unknown { .. })) => totals.unknown += 1,
            _ => {}
        }
    }
    // A key whose every submission was refused as not run must not exist.
    for (key, job) in there {
        let mut replies = sent.iter().filter(|sent| sent.key == key).map(|s| world.reply(s.token));
        if replies.all(|reply| matches!(reply, Some((_, JobReply::NotRun(_))))) {
            faults.push(format!("{job} runs though all submissions of {key} were refused"));
        }
    }
    if !world.names("open-jobs").is_empty() {
        faults.push("index entries are left".to_owned());
    }
    totals.runs += world.agents.runs.len() as u64;
    faults
}
