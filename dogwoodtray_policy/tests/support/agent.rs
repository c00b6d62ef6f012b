//! Simulation of one engine with an admission policy.

use std::collections::HashMap;

use dogwoodtray_coord::Timestamp;
use dogwoodtray_policy::AdmissionAction;
use dogwoodtray_policy::AdmissionEvent;
use dogwoodtray_policy::AdmissionPolicy;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;
use dogwoodtray_policy::WorkId;

use super::engine::Engine;
use super::engine::EngineProfile;
use super::engine::Stream;

const TICK_US: u64 = 100_000;

/// Work at the agent, queued or running.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    pub(crate) class: Class,
    pub(crate) cost: Cost,
    pub(crate) output: u32,
    pub(crate) arrived: u64,
    pub(crate) entered: Option<u64>,
}

/// An event of a piece of work.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WorkEvent {
    FirstToken,
    Token {
        tokens: u32,
    },
    Ended,
    Refused,
    /// Left the engine before its end, after `tokens` tokens of this attempt.
    Cancelled {
        tokens: u32,
    },
}

/// An agent and its engine in virtual time.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) policy: Box<dyn AdmissionPolicy>,
    pub(crate) engine: Engine,
    pub(crate) work: HashMap<u64, Work>,
    /// End of the current step; `None` while the engine is idle.
    pub(crate) step_end: Option<u64>,
    pub(crate) steps: u64,
    next_tick: u64,
    actions: Vec<AdmissionAction>,
    pub(crate) events: Vec<(u64, Work, WorkEvent)>,
}

impl Agent {
    pub(crate) fn new(policy: Box<dyn AdmissionPolicy>, profile: EngineProfile) -> Self {
        Self {
            policy,
            engine: Engine::new(profile),
            work: HashMap::new(),
            step_end: None,
            steps: 0,
            next_tick: TICK_US,
            actions: Vec::new(),
            events: Vec::new(),
        }
    }

    pub(crate) fn arrive(&mut self, now: u64, id: u64, class: Class, cost: Cost, output: u32) {
        self.work.insert(id, Work { class, cost, output, arrived: now, entered: None });
        let event = AdmissionEvent::Arrive { id: WorkId(id), class, cost, deadline: None };
        self.handle(now, event);
    }

    pub(crate) fn withdraw(&mut self, now: u64, id: u64) {
        let Some(work) = self.work.get(&id) else { return };
        if work.entered.is_none() {
            self.work.remove(&id);
        }
        self.handle(now, AdmissionEvent::Withdrawn { id: WorkId(id) });
        self.cancel(id);
    }

    /// Ends the current step and begins the next one, if there is work.
    pub(crate) fn step(&mut self, now: u64) {
        debug_assert_eq!(self.step_end, Some(now));
        self.steps += 1;
        for produced in self.engine.end_step() {
            let (id, tokens) = (WorkId(produced.id), produced.tokens);
            let work_event =
                if tokens == 1 { WorkEvent::FirstToken } else { WorkEvent::Token { tokens } };
            self.events.push((produced.id, self.work[&produced.id], work_event));
            let event = match tokens {
                1 => AdmissionEvent::FirstToken { id },
                _ => AdmissionEvent::Progress { id, tokens },
            };
            self.handle(now, event);
            if produced.ended {
                self.remove_work(now, produced.id, WorkEvent::Ended);
            }
        }
        if now >= self.next_tick {
            self.next_tick = now + TICK_US;
            self.handle(now, AdmissionEvent::Tick);
        }
        self.step_end = None;
        self.start_step(now);
    }

    /// Begins a step if none is running and there is work.
    pub(crate) fn start_step(&mut self, now: u64) {
        if self.step_end.is_some() {
            return;
        }
        // The places of cancelled streams may admit other work, which takes part in this step.
        loop {
            let (cancelled, micros) = self.engine.begin_step();
            self.step_end = (!self.engine.streams.is_empty()).then_some(now + micros);
            if cancelled.is_empty() {
                return;
            }
            for stream in cancelled {
                self.remove_work(now, stream.id, WorkEvent::Cancelled { tokens: stream.produced });
            }
        }
    }

    pub(crate) fn count_inside(&self, class: Class) -> usize {
        let is_class = |s: &&Stream| self.work[&s.id].class == class;
        self.engine.streams.iter().filter(is_class).count()
    }

    pub(crate) fn handle(&mut self, now: u64, event: AdmissionEvent) {
        let mut actions = std::mem::take(&mut self.actions);
        self.policy.handle(Timestamp(now), event, &mut actions);
        for action in actions.drain(..) {
            match action {
                AdmissionAction::Forward { id } => self.forward(now, id.0),
                AdmissionAction::Preempt { id } => self.cancel(id.0),
                AdmissionAction::Refuse { id, .. } => {
                    if let Some(work) = self.work.remove(&id.0) {
                        self.events.push((id.0, work, WorkEvent::Refused));
                    }
                }
            }
        }
        self.actions = actions;
    }

    fn forward(&mut self, now: u64, id: u64) {
        let work = self.work.get_mut(&id).unwrap();
        assert!(work.entered.replace(now).is_none(), "work {id} was forwarded twice");
        self.engine.streams.push(Stream::new(id, work.cost.prompt_tokens, work.output));
    }

    fn cancel(&mut self, id: u64) {
        if let Some(stream) = self.engine.streams.iter_mut().find(|s| s.id == id) {
            stream.cancelled = true;
        }
    }

    fn remove_work(&mut self, now: u64, id: u64, work_event: WorkEvent) {
        let work = self.work.remove(&id).unwrap();
        self.events.push((id, work, work_event));
        self.handle(now, AdmissionEvent::Finished { id: WorkId(id) });
    }
}
