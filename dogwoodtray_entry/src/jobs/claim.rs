//! Claiming a job.

use std::time::Duration;

use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StampedWrite;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Version;
use dogwoodtray_coord::WriteResult;
use dogwoodtray_coord::WriteStep;

use super::calls::Context;
use super::calls::Owner;
use super::header;
use super::header::Driver;
use super::header::Header;
use super::header::JobState;

/// Attempt to claim a job that may need a driver: reads its header and, if the job has no live
/// driver, writes a claim.
#[derive(Debug)]
pub(crate) struct Claim {
    job: Name,
    pub(crate) claim_id: u64,
    /// Claim whose holder is considered dead and which may be replaced.
    dead_claim: Option<(Incarnation, Epoch)>,
    write: Option<HeaderWrite>,
}

#[derive(Debug)]
struct HeaderWrite {
    write: StampedWrite,
    next: Header,
    started: Timestamp,
}

/// Result of an attempt to claim a job.
#[derive(Debug)]
pub(crate) enum ClaimResult {
    /// Store calls are in flight.
    InProgress,
    /// This process holds the claim and drives the job.
    Acquired { header: Box<Header>, version: Version, started: Timestamp },
    /// Another process holds the claim.
    HeldByOther { driver: Driver, epoch: Epoch },
    /// The job has ended.
    Ended { header: Box<Header> },
    /// The job has no header, or the header marks an abandoned submission.
    NoHeader,
    /// Another process wrote the header concurrently, or the header is damaged; check again later.
    Conflicted,
}

impl Claim {
    /// Starts by reading the header.
    pub(crate) fn start(
        job: Name,
        dead_claim: Option<(Incarnation, Epoch)>,
        cx: &mut Context,
    ) -> Self {
        let claim_id = cx.unique_id();
        let key = header::key(&job);
        cx.call(Owner::Claim(Name::clone(&job), claim_id), StoreOp::Get { key });
        Self { job, claim_id, dead_claim, write: None }
    }

    /// Returns the epoch of the claim being written.
    pub(crate) fn epoch(&self) -> Option<Epoch> {
        self.write.as_ref().map(|write| write.next.epoch)
    }

    /// Handles the reply to the last store call.
    pub(crate) fn on_reply(
        &mut self,
        op: StoreOp,
        reply: StoreReply,
        cx: &mut Context,
    ) -> ClaimResult {
        let owner = Owner::Claim(Name::clone(&self.job), self.claim_id);
        let Some(claim) = &mut self.write else {
            return self.on_header_read(owner, op, reply, cx);
        };
        let stamp = claim.next.stamp;
        let is_own_write = |value: &[u8]| header::has_stamp(value, stamp);
        match claim.write.on_reply(reply, is_own_write) {
            WriteStep::Call(op) => cx.call_later(owner, op, Duration::ZERO),
            WriteStep::Wait(wait) => cx.call_later(owner, claim.write.next_call(), wait),
            WriteStep::Finished(WriteResult::Written { version }) => {
                let header = Box::new(claim.next.clone());
                return ClaimResult::Acquired { header, version, started: claim.started };
            }
            WriteStep::Finished(_) => return ClaimResult::Conflicted,
        }
        ClaimResult::InProgress
    }

    fn on_header_read(
        &mut self,
        owner: Owner,
        op: StoreOp,
        reply: StoreReply,
        cx: &mut Context,
    ) -> ClaimResult {
        match reply {
            StoreReply::Found { version, value } => self.on_found(owner, version, &value, cx),
            StoreReply::Missing => ClaimResult::NoHeader,
            StoreReply::Unavailable { retry_after } => {
                cx.call_later(owner, op, retry_after);
                ClaimResult::InProgress
            }
            _ => {
                cx.call_later(owner, op, Duration::ZERO);
                ClaimResult::InProgress
            }
        }
    }

    fn on_found(
        &mut self,
        owner: Owner,
        version: Version,
        value: &[u8],
        cx: &mut Context,
    ) -> ClaimResult {
        let Some(header) = Header::decode(value) else {
            return ClaimResult::Conflicted;
        };
        match header.state {
            JobState::Open => {}
            JobState::Cancelled | JobState::Finished => {
                return ClaimResult::Ended { header: Box::new(header) };
            }
            JobState::Abandoned => return ClaimResult::NoHeader,
        }
        if let Some(driver) = &header.driver {
            let is_own = driver.incarnation == cx.identity.incarnation;
            let is_dead = self.dead_claim == Some((driver.incarnation, header.epoch));
            if !is_own && !is_dead {
                return ClaimResult::HeldByOther { driver: driver.clone(), epoch: header.epoch };
            }
        }
        let mut next = header;
        next.claim(Driver {
            name: Name::clone(&cx.identity.name),
            addr: Name::clone(&cx.identity.addr),
            incarnation: cx.identity.incarnation,
        });
        next.stamp = cx.new_stamp();
        let key = header::key(&self.job);
        let write = StampedWrite::new(key, Precondition::Version(version), next.encode());
        cx.call(owner, write.next_call());
        self.write = Some(HeaderWrite { write, next, started: cx.now });
        ClaimResult::InProgress
    }
}
