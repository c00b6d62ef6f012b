//! The state machine.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Expect;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::StampedWrite;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Version;
use dogwoodtray_coord::WriteResult;
use dogwoodtray_coord::WriteStep;

use super::plan::Current;
use super::plan::Plan;
use super::request::PublicationRequest;
use super::request::PublicationResult;
use super::request::PublicationStep;
use crate::check::check;
use crate::pointer::Pointer;
use crate::pointer::SetRef;
use crate::pointer::current_key;
use crate::snapshot::Snapshot;

/// Wait before a read whose reply does not fit is repeated.
const READ_AGAIN: Duration = Duration::from_millis(100);

/// Publishes a set: reads the current one, merges, writes the new set, then moves the pointer.
///
/// The set is written before the pointer names it, so a reader that follows the pointer always
/// finds the set. A set that no pointer ever names is harmless.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use dogwoodtray_config::{ObjectSet, Publication, PublicationRequest};
/// use dogwoodtray_config::{PublicationResult, PublicationStep};
/// use dogwoodtray_coord::{StoreReply, WriteStamp};
///
/// let request = PublicationRequest {
///     base: None,
///     edited: ObjectSet::new(),
///     stamp: WriteStamp::default(),
///     note: Arc::from("first"),
/// };
/// let mut publication = Publication::new(request);
/// let PublicationStep::Call(_get) = publication.start() else { panic!("a call comes first") };
/// let step = publication.on_reply(StoreReply::Missing);
/// assert_eq!(step, PublicationStep::Finished(PublicationResult::Unchanged { set: None }));
/// ```
#[derive(Clone, Debug)]
pub struct Publication {
    req: PublicationRequest,
    state: State,
}

#[derive(Clone, Debug)]
enum State {
    ReadPointer,
    ReadCurrent {
        version: Version,
        set: SetRef,
    },
    ReadBase {
        current: Current,
        base: SetRef,
    },
    WriteSet {
        write: StampedWrite,
        plan: Plan,
    },
    MovePointer {
        write: StampedWrite,
        plan: Plan,
    },
    /// The pointer is beyond ours. Our own write may be among its ancestors, if its reply was lost.
    Trace {
        plan: Plan,
        theirs: Pointer,
        at: SetRef,
    },
    Ended,
}

impl Publication {
    /// Creates a publication.
    #[must_use]
    pub const fn new(req: PublicationRequest) -> Self {
        Self { req, state: State::ReadPointer }
    }

    /// Returns the first step. A set with errors ends the publication without a call.
    pub fn start(&mut self) -> PublicationStep {
        let findings = check(&self.req.edited);
        if !findings.is_empty() {
            return self.finish(PublicationResult::Invalid(findings));
        }
        self.call()
    }

    /// Returns the call to run now; `None` after the end.
    #[must_use]
    pub fn next_call(&self) -> Option<StoreOp> {
        let get = |set: &SetRef| StoreOp::Get { key: set.key() };
        match &self.state {
            State::ReadPointer => Some(StoreOp::Get { key: current_key() }),
            State::ReadCurrent { set, .. } => Some(get(set)),
            State::ReadBase { base, .. } => Some(get(base)),
            State::WriteSet { write, .. } | State::MovePointer { write, .. } => {
                Some(write.next_call())
            }
            State::Trace { at, .. } => Some(get(at)),
            State::Ended => None,
        }
    }

    /// Tells whether the new set may be in force, or may come into force, although no result is
    /// known yet.
    #[must_use]
    pub const fn may_have_effect(&self) -> bool {
        matches!(self.state, State::MovePointer { .. } | State::Trace { .. })
    }

    /// Takes the reply of the last call.
    pub fn on_reply(&mut self, reply: StoreReply) -> PublicationStep {
        match mem::replace(&mut self.state, State::Ended) {
            State::WriteSet { write, plan } => self.on_set_reply(write, plan, reply),
            State::MovePointer { write, plan } => self.on_pointer_reply(write, plan, reply),
            State::Ended => {
                debug_assert!(false, "a reply after the end of the publication");
                PublicationStep::Wait(READ_AGAIN)
            }
            reading => match reply {
                StoreReply::Found { version, value } => self.on_read(reading, version, &value),
                StoreReply::Missing => self.on_missing(reading),
                StoreReply::Unavailable { retry_after } => self.wait(reading, retry_after),
                _ => self.wait(reading, READ_AGAIN),
            },
        }
    }

    fn wait(&mut self, state: State, wait: Duration) -> PublicationStep {
        self.state = state;
        PublicationStep::Wait(wait)
    }

    fn enter(&mut self, state: State) -> PublicationStep {
        self.state = state;
        self.call()
    }

    fn call(&mut self) -> PublicationStep {
        match self.next_call() {
            Some(op) => PublicationStep::Call(op),
            None => PublicationStep::Wait(READ_AGAIN),
        }
    }

    fn finish(&mut self, result: PublicationResult) -> PublicationStep {
        self.state = State::Ended;
        PublicationStep::Finished(result)
    }

    fn refuse(&mut self, reason: String) -> PublicationStep {
        self.finish(PublicationResult::Refused(reason))
    }
}

/// # Reads
impl Publication {
    fn on_read(&mut self, state: State, version: Version, value: &[u8]) -> PublicationStep {
        match state {
            State::ReadPointer => match Pointer::decode(value) {
                Some(pointer) => self.on_current_pointer(version, pointer.set),
                None => self.refuse("config/current is not a pointer to a set".to_owned()),
            },
            State::ReadCurrent { version, set } => match Snapshot::decode(value) {
                Ok((snapshot, _)) => {
                    let expect = Expect::Version(version);
                    self.on_current(Current { expect, set: Some(set), snapshot })
                }
                Err(err) => self.refuse(format!("the current set {set} cannot be read: {err}")),
            },
            State::ReadBase { current, base } => match Snapshot::decode(value) {
                Ok((snapshot, _)) => self.on_base(&current, &snapshot),
                Err(err) => self.refuse(format!("the base {base} cannot be read: {err}")),
            },
            State::Trace { plan, theirs, at } => match Snapshot::decode(value) {
                Ok((snapshot, _)) => self.on_ancestor(plan, theirs, at, &snapshot),
                Err(err) => self.lose_track(&plan, format!("set {at} cannot be read: {err}")),
            },
            State::WriteSet { .. } | State::MovePointer { .. } | State::Ended => {
                unreachable!("not a reading state")
            }
        }
    }

    fn on_missing(&mut self, state: State) -> PublicationStep {
        match state {
            State::ReadPointer => match self.req.base {
                Some(base) => {
                    self.refuse(format!("base {base} is given, but nothing is published"))
                }
                None => {
                    let expect = Expect::Absent;
                    self.on_current(Current { expect, set: None, snapshot: Snapshot::empty() })
                }
            },
            State::ReadCurrent { set, .. } | State::ReadBase { base: set, .. } => {
                self.refuse(format!("set {set} is not in the store"))
            }
            State::Trace { plan, at, .. } => {
                self.lose_track(&plan, format!("set {at} is not in the store"))
            }
            State::WriteSet { .. } | State::MovePointer { .. } | State::Ended => {
                unreachable!("not a reading state")
            }
        }
    }

    fn on_current_pointer(&mut self, version: Version, set: SetRef) -> PublicationStep {
        match self.req.base {
            None => self.finish(PublicationResult::BaseNeeded { current: set }),
            Some(base) if base.generation > set.generation => {
                self.refuse(format!("base {base} is newer than the current set {set}"))
            }
            Some(_) => self.enter(State::ReadCurrent { version, set }),
        }
    }

    fn on_current(&mut self, current: Current) -> PublicationStep {
        match self.req.base {
            Some(base) if current.set != Some(base) => {
                self.enter(State::ReadBase { current, base })
            }
            _ => {
                let base = current.snapshot.clone();
                self.on_base(&current, &base)
            }
        }
    }

    fn on_base(&mut self, current: &Current, base: &Snapshot) -> PublicationStep {
        match Plan::new(&self.req, current, base) {
            Ok(plan) => {
                let bytes = Arc::clone(&plan.bytes);
                let write = StampedWrite::new(plan.set.key(), Expect::Absent, bytes);
                self.enter(State::WriteSet { write, plan })
            }
            Err(result) => self.finish(result),
        }
    }
}

/// # Writes
impl Publication {
    fn on_set_reply(
        &mut self,
        mut write: StampedWrite,
        plan: Plan,
        reply: StoreReply,
    ) -> PublicationStep {
        // The name holds the hash of the content, so an equal value is as good as an own write.
        let step = write.on_reply(reply, |value| *value == *plan.bytes);
        match step {
            WriteStep::Call(_) => self.enter(State::WriteSet { write, plan }),
            WriteStep::Wait(wait) => self.wait(State::WriteSet { write, plan }, wait),
            WriteStep::Finished(WriteResult::Written { .. }) => {
                let value = plan.pointer_value(&self.req);
                let write = StampedWrite::new(current_key(), plan.expect, value);
                self.enter(State::MovePointer { write, plan })
            }
            WriteStep::Finished(WriteResult::Fenced { .. }) => {
                self.refuse(format!("another content is stored as set {}", plan.set))
            }
            WriteStep::Finished(WriteResult::TooLarge) => {
                let bytes = plan.bytes.len();
                self.refuse(format!("the store does not hold a set of {bytes} bytes"))
            }
        }
    }

    fn on_pointer_reply(
        &mut self,
        mut write: StampedWrite,
        plan: Plan,
        reply: StoreReply,
    ) -> PublicationStep {
        let stamp = self.req.stamp;
        let is_mine =
            |value: &[u8]| Pointer::decode(value).is_some_and(|pointer| pointer.stamp == stamp);
        match write.on_reply(reply, is_mine) {
            WriteStep::Call(_) => self.enter(State::MovePointer { write, plan }),
            WriteStep::Wait(wait) => self.wait(State::MovePointer { write, plan }, wait),
            WriteStep::Finished(WriteResult::Written { .. }) => self.finish(plan.published()),
            WriteStep::Finished(WriteResult::Fenced { current }) => {
                match current.and_then(|(_, value)| Pointer::decode(&value)) {
                    Some(theirs) => self.trace(plan, theirs.set, theirs),
                    None => self.finish(plan.conflict(None)),
                }
            }
            WriteStep::Finished(WriteResult::TooLarge) => {
                self.refuse("the note is too long for the store".to_owned())
            }
        }
    }

    /// Decides whether `at` descends from our set, reading its ancestors as far as needed.
    fn trace(&mut self, plan: Plan, at: SetRef, theirs: Pointer) -> PublicationStep {
        if at == plan.set {
            return self.finish(plan.published());
        }
        if at.generation <= plan.set.generation {
            return self.finish(plan.conflict(Some(theirs)));
        }
        self.enter(State::Trace { plan, theirs, at })
    }

    fn lose_track(&mut self, plan: &Plan, reason: String) -> PublicationStep {
        self.finish(PublicationResult::Unknown { ours: plan.set, reason })
    }

    fn on_ancestor(
        &mut self,
        plan: Plan,
        theirs: Pointer,
        at: SetRef,
        snapshot: &Snapshot,
    ) -> PublicationStep {
        let generation = Generation(at.generation.0 - 1);
        let parent = SetRef { generation, hash: snapshot.parent() };
        self.trace(plan, parent, theirs)
    }
}
