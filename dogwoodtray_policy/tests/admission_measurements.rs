//! Measures admission on a model engine against the targets of section 1.3 of the design.
//!
//! The bounds are the stated targets.

mod support;

use std::collections::HashMap;

use dogwoodtray_policy::AdmissionConfig;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::admission_policy;

use self::support::agent::Agent;
use self::support::agent::Note;
use self::support::engine::KNEE;
use self::support::quantile;
use self::support::workload::Request;
use self::support::workload::Source;

const SECONDS: u64 = 300;
const SEEDS: [u64; 3] = [1, 2, 3];
const BATCH_ID: u64 = 1 << 40;
/// Batch items kept at the agent beyond the free places, as credits are always out.
const BATCH_QUEUED: u32 = 2;
const BATCH: Source =
    Source { per_second: 100.0, swing: 0.0, prompt: 400.0, output: 200.0, stragglers: 0.0 };
const ONLINE: Source =
    Source { per_second: 6.0, swing: 0.6, prompt: 200.0, output: 60.0, stragglers: 0.0 };

/// Result of one run.
#[derive(Debug, Default)]
struct Outcome {
    first_token: Vec<f64>,
    total: Vec<f64>,
    online_tokens: u64,
    batch_tokens: u64,
    preempted: u64,
}

impl Outcome {
    fn first_p99(&mut self) -> f64 {
        quantile(&mut self.first_token, 0.99)
    }

    fn total_p99(&mut self) -> f64 {
        quantile(&mut self.total, 0.99)
    }
}

/// Drives one agent through a trace. Batch items that were preempted resume with what they have.
fn run(name: &str, cfg: AdmissionConfig, trace: &[Request], batch: bool, seed: u64) -> Outcome {
    let mut agent = Agent::new(admission_policy(name, cfg).unwrap());
    let mut outcome = Outcome::default();
    let mut items = BATCH.arrivals(SECONDS * 10, seed ^ 0xb).into_iter().cycle();
    let mut resumable: Vec<(Cost, u32)> = Vec::new();
    let mut next_batch = BATCH_ID;
    let mut batch_waiting: HashMap<u64, ()> = HashMap::new();
    let mut arrivals = trace.iter().enumerate().peekable();
    let mut now = 0;
    loop {
        while batch {
            batch_waiting.retain(|id, ()| agent.work.get(id).is_some_and(|w| w.entered.is_none()));
            let wanted = agent.policy.free_batch() + BATCH_QUEUED;
            if batch_waiting.len() >= wanted as usize {
                break;
            }
            let (cost, output) = resumable.pop().unwrap_or_else(|| {
                let item = items.next().unwrap();
                (item.cost, item.output)
            });
            batch_waiting.insert(next_batch, ());
            agent.arrive(now, next_batch, Class::Batch, cost, output);
            next_batch += 1;
        }
        agent.wake(now);
        let arrival = arrivals.peek().map_or(u64::MAX, |(_, request)| request.at);
        now = arrival.min(agent.step_end.unwrap_or(u64::MAX)).min(SECONDS * 1_000_000);
        if now >= SECONDS * 1_000_000 {
            return outcome;
        }
        if agent.step_end == Some(now) {
            agent.step(now);
        } else if let Some((id, request)) = arrivals.next() {
            agent.arrive(now, id as u64, Class::Online, request.cost, request.output);
        }
        for (id, work, note) in std::mem::take(&mut agent.notes) {
            let took = (now - work.arrived) as f64 / 1e3;
            match (work.class, note) {
                (Class::Online, Note::FirstToken) => outcome.first_token.push(took),
                (Class::Online, Note::Ended) => outcome.total.push(took),
                (Class::Batch, Note::Cancelled { tokens }) => {
                    outcome.preempted += 1;
                    let prompt_tokens = work.cost.prompt_tokens + tokens;
                    let output_tokens = work.output - tokens;
                    resumable.push((Cost { prompt_tokens, output_tokens }, output_tokens));
                }
                _ => (),
            }
            if matches!(note, Note::FirstToken | Note::Token { .. }) {
                match work.class {
                    Class::Online => outcome.online_tokens += 1,
                    Class::Batch => outcome.batch_tokens += 1,
                }
            }
            batch_waiting.remove(&id);
        }
    }
}

/// Batch throughput that the engine reaches alone, with as many streams as the knee allows.
fn capacity(seed: u64) -> f64 {
    let cfg = AdmissionConfig { max_places: KNEE as u32, ..AdmissionConfig::default() };
    run("fifo", cfg, &[], true, seed).batch_tokens as f64
}

#[test]
fn batch_uses_idle_capacity_without_harm_to_the_online_tail() {
    for seed in SEEDS {
        let trace = ONLINE.arrivals(SECONDS, seed);
        let capacity = capacity(seed);
        for (name, weight) in [
            ("fifo", 0.5),
            ("fixed-limit", 0.5),
            ("admission", 0.0),
            ("admission", 0.5),
            ("admission", 1.0),
        ] {
            let cfg = AdmissionConfig { batch_weight: weight, ..AdmissionConfig::default() };
            let mut off = run(name, cfg, &trace, false, seed);
            let mut on = run(name, cfg, &trace, true, seed);
            let idle = capacity - on.online_tokens as f64;
            let share = on.batch_tokens as f64 / idle;
            println!(
                "seed {seed} {name} weight {weight}: batch share {share:.3}, first token p99 {:.1} -> {:.1} ms ({:.3}), total p99 {:.0} -> {:.0} ms ({:.3}), preempted {}",
                off.first_p99(),
                on.first_p99(),
                on.first_p99() / off.first_p99(),
                off.total_p99(),
                on.total_p99(),
                on.total_p99() / off.total_p99(),
                on.preempted,
            );
        }
    }
}
