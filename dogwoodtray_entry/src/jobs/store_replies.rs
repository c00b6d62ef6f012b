//! Dispatch of store replies to the components that started the calls.

use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Timestamp;

use super::api::CallId;
use super::api::JobAction;
use super::calls::Context;
use super::calls::Owner;
use super::claim::ClaimResult;
use super::core::JobCore;
use super::driven_job::DrivenJob;
use super::header;
use super::header::Header;
use super::reply::JobReply;
use super::request::RequestState;
use super::sweep::Sweep;

/// # Store replies
impl JobCore {
    pub(crate) fn on_store_reply(
        &mut self,
        now: Timestamp,
        call: CallId,
        reply: StoreReply,
        out: &mut Vec<JobAction>,
    ) {
        let Some((owner, op, tries)) = self.env.calls.take(call) else {
            return;
        };
        let mut cx = self.env.context(now, out);
        cx.tries = tries;
        match owner {
            Owner::Intake(id) => {
                let Some(intake) = self.intakes.get_mut(&id) else {
                    return;
                };
                let Some(reply) = intake.on_reply(id, op, reply, &mut cx) else {
                    return;
                };
                if let JobReply::Accepted { job, .. } = &reply {
                    self.watch.add(Name::clone(job), &cx);
                }
                cx.out.push(JobAction::Reply { token: intake.token(), reply });
                self.intakes.remove(&id);
            }
            Owner::Request(id) => {
                let Some(request) = self.requests.get_mut(&id) else {
                    return;
                };
                match request.on_reply(id, op, reply, &mut cx) {
                    RequestState::InProgress => {}
                    RequestState::Ended => {
                        self.requests.remove(&id);
                    }
                    RequestState::Cancelled { job, header } => {
                        self.requests.remove(&id);
                        if let Some(driver) = &header.driver
                            && driver.incarnation != self.env.identity.incarnation
                        {
                            let addr = Name::clone(&driver.addr);
                            self.cancel_notifications.send(addr, Name::clone(&job), now, out);
                        }
                        self.on_job_cancelled(&job, out);
                        self.delete(now, header::index_key(&job), out);
                        self.sweep_segments(now, &job, &header, out);
                    }
                }
            }
            Owner::Sweep(id) => {
                let sweep = self.sweeps.get_mut(&id);
                if sweep.is_some_and(|sweep| sweep.on_reply(id, op, reply, &mut cx)) {
                    self.sweeps.remove(&id);
                }
            }
            Owner::Scan => {
                let driven = &self.driven;
                self.watch.on_page(op, reply, |job| driven.contains_key(job), &mut cx);
            }
            Owner::Claim(job, claim_id) => {
                let Some(claim) =
                    self.claims.get_mut(&job).filter(|claim| claim.claim_id == claim_id)
                else {
                    return;
                };
                let result = claim.on_reply(op, reply, &mut cx);
                self.on_claim_result(now, &job, result, out);
            }
            Owner::Drive(job, claim_id, call) => {
                self.on_drive_reply(now, &job, claim_id, call, (op, reply, tries), out);
            }
        }
    }

    fn on_claim_result(
        &mut self,
        now: Timestamp,
        job: &Name,
        result: ClaimResult,
        out: &mut Vec<JobAction>,
    ) {
        if matches!(result, ClaimResult::InProgress) {
            return;
        }
        let claim_id = self.claims.remove(job).map(|claim| claim.claim_id).unwrap_or_default();
        match result {
            ClaimResult::InProgress => {}
            ClaimResult::Acquired { header, version, started } => {
                self.watch.remove(job);
                if header.epoch > Epoch::default().next() {
                    self.sweep_segments(now, job, &header, out);
                }
                let driven = DrivenJob::new(
                    Name::clone(job),
                    claim_id,
                    *header,
                    version,
                    started,
                    self.env.cfg.max_header_age,
                );
                self.driven.insert(Name::clone(job), driven);
            }
            ClaimResult::HeldByOther { driver, epoch } => {
                self.watch.on_driver(job, driver, epoch, now);
            }
            ClaimResult::Ended { header } => {
                self.watch.remove(job);
                self.delete(now, header::index_key(job), out);
                self.sweep_segments(now, job, &header, out);
            }
            ClaimResult::NoHeader => {
                if self.watch.on_no_header(job, &self.env.context(now, out)) {
                    self.sweep(now, out, |id, cx| Sweep::orphan(id, Name::clone(job), cx));
                }
            }
            ClaimResult::Conflicted => {
                let wait = self.env.cfg.rank_stagger;
                self.watch.check_later(job, wait, now);
            }
        }
    }

    fn sweep(
        &mut self,
        now: Timestamp,
        out: &mut Vec<JobAction>,
        start: impl FnOnce(u64, &mut Context) -> Sweep,
    ) {
        let mut cx = self.env.context(now, out);
        let id = cx.unique_id();
        let sweep = start(id, &mut cx);
        self.sweeps.insert(id, sweep);
    }

    pub(crate) fn delete(&mut self, now: Timestamp, key: ObjectKey, out: &mut Vec<JobAction>) {
        self.sweep(now, out, |id, cx| Sweep::delete(id, key, cx));
    }

    pub(crate) fn sweep_segments(
        &mut self,
        now: Timestamp,
        job: &Name,
        header: &Header,
        out: &mut Vec<JobAction>,
    ) {
        let job = Name::clone(job);
        let header = header.clone();
        self.sweep(now, out, |id, cx| Sweep::segments(id, job, header, cx));
    }
}
