//! Garbage collection of store objects that no job references.

use std::time::Duration;

use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Epoch;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StampedWrite;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Version;
use dogwoodtray_coord::WriteResult;
use dogwoodtray_coord::WriteStamp;
use dogwoodtray_coord::WriteStep;

use super::bitmap::Bitmap;
use super::calls::Context;
use super::calls::Owner;
use super::header;
use super::header::Counts;
use super::header::Header;
use super::header::JobState;
use super::segment;

const LIST_PAGE_SIZE: u32 = 500;

/// Garbage removal in progress. If the process stops before it completes, the remaining objects are
/// found again: index entries by the scan, segments by the next claim.
#[derive(Debug)]
pub(crate) struct Sweep {
    step: Step,
    /// Number of calls without a final reply.
    open_calls: usize,
}

#[derive(Debug)]
enum Step {
    /// Read the version of an object, then delete it.
    Delete,
    /// List the segments of a job and delete those that the header does not list.
    Segments { job: Name, header: Box<Header> },
    /// Mark a submission with an index entry but no header as abandoned, then delete its objects.
    Orphan { job: Name, to_delete: Vec<(ObjectKey, Version)>, write: Option<Tombstone> },
}

/// Write of a header that marks a submission as abandoned, with the stamp of the write.
type Tombstone = (StampedWrite, WriteStamp);

impl Sweep {
    /// Deletes an object that is never needed again.
    pub(crate) fn delete(id: u64, key: ObjectKey, cx: &mut Context) -> Self {
        cx.call(Owner::Sweep(id), StoreOp::Get { key });
        Self { step: Step::Delete, open_calls: 1 }
    }

    /// Deletes the segments that the header does not list, if they belong to older claims or the
    /// job has ended. No later header can list them, because a header write of the process that
    /// wrote them fails on the version.
    pub(crate) fn segments(id: u64, job: Name, header: Header, cx: &mut Context) -> Self {
        cx.call(Owner::Sweep(id), list(segment::KIND, &job, None));
        Self { step: Step::Segments { job, header: Box::new(header) }, open_calls: 1 }
    }

    /// Removes a submission that was never completed. The versions of its objects are read first,
    /// then a header that marks it as abandoned is written; see [`super::intake::Intake`].
    pub(crate) fn orphan(id: u64, job: Name, cx: &mut Context) -> Self {
        cx.call(Owner::Sweep(id), StoreOp::Get { key: header::index_key(&job) });
        Self { step: Step::Orphan { job, to_delete: Vec::new(), write: None }, open_calls: 1 }
    }

    /// Handles a store reply. Returns `true` when the removal has ended.
    pub(crate) fn on_reply(
        &mut self,
        id: u64,
        op: StoreOp,
        reply: StoreReply,
        cx: &mut Context,
    ) -> bool {
        if let Step::Orphan { write: Some(_), .. } = &self.step
            && !matches!(op, StoreOp::Delete { .. })
        {
            self.on_tombstone_reply(id, reply, cx);
            return self.open_calls == 0;
        }
        match reply {
            StoreReply::Unavailable { retry_after } => {
                cx.call_later(Owner::Sweep(id), op, retry_after);
            }
            StoreReply::Ambiguous => cx.call_later(Owner::Sweep(id), op, Duration::ZERO),
            StoreReply::Found { version, value } => self.on_found(id, op, version, &value, cx),
            StoreReply::Listed { entries, more } => self.on_listed(id, entries, more, cx),
            StoreReply::Missing if matches!(op, StoreOp::Get { .. }) => {
                self.on_missing(id, &op, cx);
            }
            _ => self.open_calls -= 1,
        }
        self.open_calls == 0
    }

    fn on_found(&mut self, id: u64, op: StoreOp, version: Version, value: &[u8], cx: &mut Context) {
        let StoreOp::Get { key } = op else {
            return;
        };
        match &mut self.step {
            Step::Delete => {
                cx.call(Owner::Sweep(id), StoreOp::Delete { key, expect: version });
            }
            Step::Segments { .. } => self.open_calls -= 1,
            Step::Orphan { job, to_delete, write } => {
                if &*key.kind == header::INDEX_KIND {
                    to_delete.push((key, version));
                    cx.call(Owner::Sweep(id), list(header::ITEMS_KIND, job, None));
                    return;
                }
                let abandoned =
                    Header::decode(value).is_some_and(|h| h.state == JobState::Abandoned);
                if !abandoned {
                    self.open_calls -= 1;
                    return;
                }
                *write = Some(tombstone(job, Precondition::Version(version), cx));
                self.write_tombstone(id, cx);
            }
        }
    }

    fn on_missing(&mut self, id: u64, op: &StoreOp, cx: &mut Context) {
        match (&mut self.step, op) {
            (Step::Orphan { job, write, .. }, StoreOp::Get { key })
                if &*key.kind == header::KIND =>
            {
                *write = Some(tombstone(job, Precondition::Absent, cx));
                self.write_tombstone(id, cx);
            }
            _ => self.open_calls -= 1,
        }
    }

    fn on_listed(&mut self, id: u64, entries: Vec<(Name, Version)>, more: bool, cx: &mut Context) {
        let last = entries.last().map(|(name, _)| Name::clone(name));
        match &mut self.step {
            Step::Delete => {}
            Step::Segments { job, header } => {
                for (name, expect) in entries {
                    let Some((epoch, seq)) = segment::parse_name(&name) else {
                        continue;
                    };
                    let unlistable = epoch < header.epoch || header.state != JobState::Open;
                    if unlistable && !header.lists(epoch, seq) {
                        let key = ObjectKey::new(segment::KIND, name);
                        cx.call(Owner::Sweep(id), StoreOp::Delete { key, expect });
                        self.open_calls += 1;
                    }
                }
                if more {
                    cx.call(Owner::Sweep(id), list(segment::KIND, job, last));
                    return;
                }
                self.open_calls -= 1;
            }
            Step::Orphan { job, to_delete, .. } => {
                for (name, version) in entries {
                    to_delete.push((ObjectKey::new(header::ITEMS_KIND, name), version));
                }
                let op = if more {
                    list(header::ITEMS_KIND, job, last)
                } else {
                    StoreOp::Get { key: header::key(job) }
                };
                cx.call(Owner::Sweep(id), op);
            }
        }
    }

    fn write_tombstone(&mut self, id: u64, cx: &mut Context) {
        if let Step::Orphan { write: Some((write, _)), .. } = &self.step {
            cx.call(Owner::Sweep(id), write.next_call());
        }
    }

    fn on_tombstone_reply(&mut self, id: u64, reply: StoreReply, cx: &mut Context) {
        let Step::Orphan { to_delete, write: Some((write, stamp)), .. } = &mut self.step else {
            return;
        };
        let stamp = *stamp;
        let is_own_write = |value: &[u8]| header::has_stamp(value, stamp);
        match write.on_reply(reply, is_own_write) {
            WriteStep::Call(op) => cx.call_later(Owner::Sweep(id), op, Duration::ZERO),
            WriteStep::Wait(wait) => cx.call_later(Owner::Sweep(id), write.next_call(), wait),
            WriteStep::Finished(WriteResult::Written { .. }) => {
                for (key, expect) in to_delete.drain(..) {
                    cx.call(Owner::Sweep(id), StoreOp::Delete { key, expect });
                    self.open_calls += 1;
                }
                self.open_calls -= 1;
            }
            WriteStep::Finished(_) => self.open_calls -= 1,
        }
    }
}

fn list(kind: &str, job: &Name, after: Option<Name>) -> StoreOp {
    let prefix = Name::from(format!("{job}."));
    StoreOp::List { kind: Name::from(kind), prefix, after, limit: LIST_PAGE_SIZE }
}

fn tombstone(job: &Name, expect: Precondition, cx: &mut Context) -> Tombstone {
    let header = Header {
        organization: Name::from(""),
        key: None,
        content: ContentHash::default(),
        model: Name::from(""),
        idempotent: false,
        due_unix_ms: 0,
        chunks: Vec::new(),
        state: JobState::Abandoned,
        rest: None,
        epoch: Epoch::default(),
        driver: None,
        stamp: cx.new_stamp(),
        counts: Counts::default(),
        ended: Bitmap::default(),
        intents: Default::default(),
        lost: Vec::new(),
        tries: Default::default(),
        segments: Vec::new(),
    };
    (StampedWrite::new(header::key(job), expect, header.encode()), header.stamp)
}
