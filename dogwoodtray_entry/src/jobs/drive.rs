//! Execution of the jobs claimed by this process.

use std::time::Duration;

use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Timestamp;

use super::api::ItemAttemptEnd;
use super::api::JobAction;
use super::attempts::Attempt;
use super::attempts::Attempts;
use super::calls::Context;
use super::calls::DriveCall;
use super::commit::CommitPace;
use super::commit::CommitState;
use super::core::JobCore;
use super::driven_job::DrivenJob;
use super::driven_job::Ending;
use super::header;
use super::header::FailureCause;
use super::header::JobState;
use super::plan::ConfirmResult;

/// # Dispatch and commits
impl JobCore {
    /// Advances all driven jobs: ends jobs, dispatches items and starts commits.
    pub(crate) fn advance_jobs(&mut self, now: Timestamp, out: &mut Vec<JobAction>) {
        self.end_jobs(now, out);
        self.credits.expire(now);
        if self.draining_since.is_none() {
            for model in self.credits.models() {
                self.dispatch(now, &model, out);
            }
        }
        self.commit_jobs(now, out);
    }

    fn end_jobs(&mut self, now: Timestamp, out: &mut Vec<JobAction>) {
        let draining = self.draining_since.is_some();
        let timeout = self.env.cfg.drain_timeout;
        let drain_over = self.draining_since.is_some_and(|since| now - since >= timeout);
        for job in self.driven.values_mut() {
            if job.ending.is_none() {
                job.ending = if self.env.unix_ms >= job.header.due_unix_ms {
                    Some(Ending::FailRemaining(FailureCause::Deadline))
                } else if self.closed_models.contains(&job.header.model) {
                    Some(Ending::FailRemaining(FailureCause::ServiceClosed))
                } else if draining {
                    Some(Ending::Release)
                } else {
                    continue;
                };
                job.intents_to_store.clear();
            }
            let stop = matches!(job.ending, Some(Ending::FailRemaining(_))) || drain_over;
            if stop && job.running > 0 {
                self.attempts.cancel(job.stop_attempts(), out);
            }
        }
    }

    fn commit_jobs(&mut self, now: Timestamp, out: &mut Vec<JobAction>) {
        let jobs = u32::try_from(self.driven.len()).unwrap_or(u32::MAX);
        let non_idempotent = self.driven.values().filter(|job| !job.header.idempotent).count();
        let cfg = &self.env.cfg;
        let pace = CommitPace {
            // At the limit nothing is dispatched until a commit stores pending outcomes.
            outcomes: if self.is_unstored_limit_reached() {
                Duration::ZERO
            } else {
                cfg.commit_delay.max(cfg.commit_spacing * jobs)
            },
            intents: cfg.intent_spacing * u32::try_from(non_idempotent).unwrap_or(u32::MAX),
        };
        let mut cx = self.env.context(now, out);
        for job in self.driven.values_mut() {
            job.commit_if_due(pace, &mut cx);
        }
    }

    /// Assigns the places offered for a model to its jobs, in order of increasing slack.
    fn dispatch(&mut self, now: Timestamp, model: &Name, out: &mut Vec<JobAction>) {
        let unix_ms = self.env.unix_ms;
        let mut order: Vec<(i64, Name)> = self
            .driven
            .values()
            .filter(|job| job.header.model == *model && job.ending.is_none())
            .map(|job| (job.slack_ms(unix_ms), Name::clone(&job.job)))
            .collect();
        order.sort();
        for (_, name) in &order {
            while !self.is_unstored_limit_reached() && self.dispatch_next(now, name, model, out) {}
        }
        for (_, name) in &order {
            while !self.is_unstored_limit_reached()
                && self.dispatch_straggler(now, name, model, out)
            {}
        }
    }

    /// Returns `true` if the unstored outcomes of the process have reached their limit.
    fn is_unstored_limit_reached(&self) -> bool {
        let mut count = 0;
        let mut bytes = 0;
        for job in self.driven.values() {
            let unstored = job.unstored();
            count += unstored.0;
            bytes += unstored.1;
        }
        count >= self.env.cfg.max_unstored_outcomes || bytes >= self.env.cfg.max_unstored_bytes
    }

    fn dispatch_next(
        &mut self,
        now: Timestamp,
        name: &Name,
        model: &Name,
        out: &mut Vec<JobAction>,
    ) -> bool {
        let places = self.credits.places(model);
        let Some(job) = self.driven.get_mut(name).filter(|_| places > 0) else {
            return false;
        };
        let mut cx = self.env.context(now, out);
        let Some(item) = job.next_item(places, &mut cx) else {
            return false;
        };
        let excluded_endpoint = job.active.get(&item).and_then(|active| active.excluded_endpoint);
        let endpoint =
            self.credits.take(model, excluded_endpoint).or_else(|| self.credits.take(model, None));
        let Some(endpoint) = endpoint else {
            debug_assert!(false, "the number of places was checked before");
            return false;
        };
        job.send(item, endpoint, &mut self.attempts, &mut cx);
        true
    }

    /// Dispatches a second attempt at a straggler to another endpoint.
    fn dispatch_straggler(
        &mut self,
        now: Timestamp,
        name: &Name,
        model: &Name,
        out: &mut Vec<JobAction>,
    ) -> bool {
        if self.credits.places(model) == 0 {
            return false;
        }
        let Some(job) = self.driven.get_mut(name) else {
            return false;
        };
        let mut cx = self.env.context(now, out);
        let Some((item, first)) = job.straggler(&self.attempts, &mut cx) else {
            return false;
        };
        let excluded_endpoint = self.attempts.get(first).map(|attempt| attempt.endpoint);
        let Some(endpoint) = self.credits.take(model, excluded_endpoint) else {
            return false;
        };
        job.send(item, endpoint, &mut self.attempts, &mut cx);
        true
    }
}

/// # Event handlers
impl JobCore {
    pub(crate) fn on_item_ended(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        end: ItemAttemptEnd,
        out: &mut Vec<JobAction>,
    ) {
        let Some(attempt) = self.attempts.take(id) else {
            self.late_attempt_ends += 1;
            return;
        };
        let job = self.driven.get_mut(&attempt.job).filter(|job| job.claim_id == attempt.claim_id);
        let Some(job) = job else {
            return;
        };
        let redundant = job.on_attempt_end(&self.env.cfg, now, id, &attempt, end);
        self.attempts.cancel(redundant, out);
    }

    /// Stops a cancelled job. A commit in flight continues, because its result determines whether
    /// its segment has to be deleted.
    pub(crate) fn on_job_cancelled(&mut self, job: &Name, out: &mut Vec<JobAction>) {
        let Some(driven) = self.driven.get_mut(job) else {
            return;
        };
        self.attempts.cancel(driven.stop_attempts(), out);
        if driven.commit.is_none() {
            self.driven.remove(job);
            return;
        }
        driven.ending = Some(Ending::Cancelled);
    }

    pub(crate) fn on_drive_reply(
        &mut self,
        now: Timestamp,
        name: &Name,
        claim_id: u64,
        call: DriveCall,
        (op, reply, tries): (StoreOp, StoreReply, u32),
        out: &mut Vec<JobAction>,
    ) {
        let Some(job) = self.driven.get_mut(name).filter(|job| job.claim_id == claim_id) else {
            return;
        };
        let mut cx = self.env.context(now, out);
        cx.tries = tries;
        match call {
            DriveCall::Segment => job.on_segment_reply(op, reply, &mut cx),
            DriveCall::Chunk(chunk) => job.on_chunk_reply(chunk, op, reply, &mut cx),
            DriveCall::Confirm => {
                if job.on_confirm_reply(op, reply, &mut cx) == ConfirmResult::Lost {
                    self.drop_job(now, name, None, out);
                }
            }
            DriveCall::Header => match job.on_header_reply(reply, &mut cx) {
                CommitState::Stored if job.ending == Some(Ending::Cancelled) => {
                    self.drop_job(now, name, None, out);
                }
                CommitState::InProgress | CommitState::Stored => {}
                CommitState::Ended => self.on_job_ended(now, name, out),
                CommitState::Fenced(unlisted_segment) => {
                    self.drop_job(now, name, unlisted_segment, out);
                }
            },
        }
    }

    fn on_job_ended(&mut self, now: Timestamp, name: &Name, out: &mut Vec<JobAction>) {
        let Some(mut job) = self.driven.remove(name) else {
            return;
        };
        self.attempts.cancel(job.stop_attempts(), out);
        if job.header.state == JobState::Open {
            return;
        }
        self.delete(now, header::index_key(name), out);
        if job.header.epoch.0 > 1 {
            self.sweep_segments(now, name, &job.header, out);
        }
    }

    /// Stops driving a job that was cancelled or claimed by another process.
    fn drop_job(
        &mut self,
        now: Timestamp,
        name: &Name,
        unlisted_segment: Option<ObjectKey>,
        out: &mut Vec<JobAction>,
    ) {
        let Some(mut job) = self.driven.remove(name) else {
            return;
        };
        self.attempts.cancel(job.stop_attempts(), out);
        if let Some(key) = unlisted_segment {
            self.delete(now, key, out);
        }
        self.watch.add(Name::clone(name), &self.env.context(now, out));
    }
}

impl DrivenJob {
    /// Removes the running attempts and returns them, so that the caller cancels them.
    pub(crate) fn stop_attempts(&mut self) -> Vec<AttemptId> {
        let attempts = self.attempts();
        for active in self.active.values_mut() {
            active.running.clear();
        }
        self.running = 0;
        self.running_items = 0;
        attempts
    }

    /// Dispatches an attempt at an item whose chunk is in memory.
    fn send(&mut self, item: u32, endpoint: u64, attempts: &mut Attempts, cx: &mut Context) {
        let (chunk, first) = self.header.chunk_of(item);
        let loaded = self.chunks.get(&chunk).and_then(|loaded| {
            debug_assert_eq!(loaded.first, first, "chunk start differs from the header");
            loaded.items.get((item - first) as usize)
        });
        let Some((custom_id, body)) = loaded.cloned() else {
            debug_assert!(false, "the chunk was loaded before the item was chosen");
            return;
        };
        let attempt = attempts.add(
            cx.identity.incarnation,
            Attempt {
                job: Name::clone(&self.job),
                claim_id: self.claim_id,
                item,
                custom_id,
                endpoint,
                sent_at: cx.now,
                started: false,
            },
        );
        let active = self.active.entry(item).or_default();
        self.running_items += u32::from(active.running.is_empty());
        active.running.push(attempt);
        self.running += 1;
        cx.out.push(JobAction::Dispatch {
            endpoint,
            attempt,
            job: Name::clone(&self.job),
            epoch: self.header.epoch,
            item,
            model: Name::clone(&self.header.model),
            content: ContentHash::of(&body),
            body,
            idempotent: self.header.idempotent,
            deadline: Duration::from_millis(self.header.due_unix_ms.saturating_sub(cx.unix_ms)),
            resume_from: active.tokens,
            partial: active.partial.clone(),
        });
    }
}
