//! State machine of a publication.

use std::mem;
use std::sync::Arc;
use std::time::Duration;

use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StampedWrite;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Version;
use dogwoodtray_coord::WriteResult;
use dogwoodtray_coord::WriteStep;

use super::plan::CurrentSet;
use super::plan::WritePlan;
use super::request::PublicationRequest;
use super::request::PublicationResult;
use super::request::PublicationStep;
use crate::check::check;
use crate::pointer::Pointer;
use crate::pointer::SetRef;
use crate::pointer::current_key;
use crate::snapshot::Snapshot;

/// Delay before a read is repeated after an unexpected reply.
const READ_RETRY_DELAY: Duration = Duration::from_millis(100);

/// State machine that publishes a set.
///
/// It reads the current set, merges the edits, writes the new set and then updates the pointer.
///
/// The set is written before the pointer refers to it, so a reader that follows the pointer always
/// finds the set. A stored set that no pointer refers to has no effect.
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
/// let PublicationStep::Call(_get) = publication.start() else { panic!("expected a call") };
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
        current: CurrentSet,
        base: SetRef,
    },
    WriteSet {
        write: StampedWrite,
        plan: WritePlan,
    },
    UpdatePointer {
        write: StampedWrite,
        plan: WritePlan,
    },
    /// The pointer refers to another set. If the reply to the pointer write was lost, the set of
    /// this publication may be an ancestor of that set.
    TraceAncestors {
        plan: WritePlan,
        theirs: Pointer,
        ancestor: SetRef,
    },
    Finished,
}

impl Publication {
    /// Creates a publication.
    #[must_use]
    pub const fn new(req: PublicationRequest) -> Self {
        Self { req, state: State::ReadPointer }
    }

    /// Returns the first step. If the set has errors, the publication finishes without a call.
    pub fn start(&mut self) -> PublicationStep {
        let findings = check(&self.req.edited);
        if !findings.is_empty() {
            return self.finish(PublicationResult::Invalid(findings));
        }
        self.call_step()
    }

    /// Returns the call to run, or `None` after the publication has finished.
    #[must_use]
    pub fn next_call(&self) -> Option<StoreOp> {
        let get = |set: &SetRef| StoreOp::Get { key: set.key() };
        match &self.state {
            State::ReadPointer => Some(StoreOp::Get { key: current_key() }),
            State::ReadCurrent { set, .. } => Some(get(set)),
            State::ReadBase { base, .. } => Some(get(base)),
            State::WriteSet { write, .. } | State::UpdatePointer { write, .. } => {
                Some(write.next_call())
            }
            State::TraceAncestors { ancestor, .. } => Some(get(ancestor)),
            State::Finished => None,
        }
    }

    /// Returns whether the new set may be current or may still become current, although the result
    /// is not known yet.
    #[must_use]
    pub const fn may_have_effect(&self) -> bool {
        matches!(self.state, State::UpdatePointer { .. } | State::TraceAncestors { .. })
    }

    /// Processes the reply to the last call and returns the next step.
    pub fn on_reply(&mut self, reply: StoreReply) -> PublicationStep {
        match mem::replace(&mut self.state, State::Finished) {
            State::WriteSet { write, plan } => self.on_set_reply(write, plan, reply),
            State::UpdatePointer { write, plan } => self.on_pointer_reply(write, plan, reply),
            State::Finished => {
                debug_assert!(false, "received a reply after the publication finished");
                PublicationStep::Wait(READ_RETRY_DELAY)
            }
            read_state => match reply {
                StoreReply::Found { version, value } => self.on_read(read_state, version, &value),
                StoreReply::Missing => self.on_missing(read_state),
                StoreReply::Unavailable { retry_after } => self.wait(read_state, retry_after),
                _ => self.wait(read_state, READ_RETRY_DELAY),
            },
        }
    }

    fn wait(&mut self, state: State, wait: Duration) -> PublicationStep {
        self.state = state;
        PublicationStep::Wait(wait)
    }

    fn transition_to(&mut self, state: State) -> PublicationStep {
        self.state = state;
        self.call_step()
    }

    fn call_step(&mut self) -> PublicationStep {
        match self.next_call() {
            Some(op) => PublicationStep::Call(op),
            None => PublicationStep::Wait(READ_RETRY_DELAY),
        }
    }

    fn finish(&mut self, result: PublicationResult) -> PublicationStep {
        self.state = State::Finished;
        PublicationStep::Finished(result)
    }

    fn reject(&mut self, reason: String) -> PublicationStep {
        self.finish(PublicationResult::Refused(reason))
    }
}

/// # Reads
impl Publication {
    fn on_read(&mut self, state: State, version: Version, value: &[u8]) -> PublicationStep {
        match state {
            State::ReadPointer => match Pointer::decode(value) {
                Some(pointer) => self.on_current_pointer(version, pointer.set),
                None => self.reject("config/current is not a pointer to a set".to_owned()),
            },
            State::ReadCurrent { version, set } => match Snapshot::decode(value) {
                Ok((snapshot, _)) => {
                    let expect = Precondition::Version(version);
                    self.on_current(CurrentSet { expect, set: Some(set), snapshot })
                }
                Err(err) => self.reject(format!("the current set {set} cannot be read: {err}")),
            },
            State::ReadBase { current, base } => match Snapshot::decode(value) {
                Ok((snapshot, _)) => self.on_base(&current, &snapshot),
                Err(err) => self.reject(format!("the base {base} cannot be read: {err}")),
            },
            State::TraceAncestors { plan, theirs, ancestor } => match Snapshot::decode(value) {
                Ok((snapshot, _)) => self.on_ancestor(plan, theirs, ancestor, &snapshot),
                Err(err) => {
                    self.finish_unknown(&plan, format!("set {ancestor} cannot be read: {err}"))
                }
            },
            State::WriteSet { .. } | State::UpdatePointer { .. } | State::Finished => {
                unreachable!("no read is pending in this state")
            }
        }
    }

    fn on_missing(&mut self, state: State) -> PublicationStep {
        match state {
            State::ReadPointer => match self.req.base {
                Some(base) => {
                    self.reject(format!("base {base} is given, but nothing is published"))
                }
                None => {
                    let expect = Precondition::Absent;
                    self.on_current(CurrentSet { expect, set: None, snapshot: Snapshot::empty() })
                }
            },
            State::ReadCurrent { set, .. } | State::ReadBase { base: set, .. } => {
                self.reject(format!("set {set} is not in the store"))
            }
            State::TraceAncestors { plan, ancestor, .. } => {
                self.finish_unknown(&plan, format!("set {ancestor} is not in the store"))
            }
            State::WriteSet { .. } | State::UpdatePointer { .. } | State::Finished => {
                unreachable!("no read is pending in this state")
            }
        }
    }

    fn on_current_pointer(&mut self, version: Version, set: SetRef) -> PublicationStep {
        match self.req.base {
            None => self.finish(PublicationResult::BaseNeeded { current: set }),
            Some(base) if base.generation > set.generation => {
                self.reject(format!("base {base} is newer than the current set {set}"))
            }
            Some(_) => self.transition_to(State::ReadCurrent { version, set }),
        }
    }

    fn on_current(&mut self, current: CurrentSet) -> PublicationStep {
        match self.req.base {
            Some(base) if current.set != Some(base) => {
                self.transition_to(State::ReadBase { current, base })
            }
            _ => {
                let base = current.snapshot.clone();
                self.on_base(&current, &base)
            }
        }
    }

    fn on_base(&mut self, current: &CurrentSet, base: &Snapshot) -> PublicationStep {
        match WritePlan::new(&self.req, current, base) {
            Ok(plan) => {
                let bytes = Arc::clone(&plan.bytes);
                let write = StampedWrite::new(plan.set.key(), Precondition::Absent, bytes);
                self.transition_to(State::WriteSet { write, plan })
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
        plan: WritePlan,
        reply: StoreReply,
    ) -> PublicationStep {
        // The key contains the hash of the content, so an equal value counts as written.
        let step = write.on_reply(reply, |value| *value == *plan.bytes);
        match step {
            WriteStep::Call(_) => self.transition_to(State::WriteSet { write, plan }),
            WriteStep::Wait(wait) => self.wait(State::WriteSet { write, plan }, wait),
            WriteStep::Finished(WriteResult::Written { .. }) => {
                let value = plan.pointer_value(&self.req);
                let write = StampedWrite::new(current_key(), plan.expect, value);
                self.transition_to(State::UpdatePointer { write, plan })
            }
            WriteStep::Finished(WriteResult::Fenced { .. }) => {
                self.reject(format!("another content is stored as set {}", plan.set))
            }
            WriteStep::Finished(WriteResult::TooLarge) => {
                let bytes = plan.bytes.len();
                self.reject(format!("the store does not hold a set of {bytes} bytes"))
            }
        }
    }

    fn on_pointer_reply(
        &mut self,
        mut write: StampedWrite,
        plan: WritePlan,
        reply: StoreReply,
    ) -> PublicationStep {
        let stamp = self.req.stamp;
        let is_own_write =
            |value: &[u8]| Pointer::decode(value).is_some_and(|pointer| pointer.stamp == stamp);
        match write.on_reply(reply, is_own_write) {
            WriteStep::Call(_) => self.transition_to(State::UpdatePointer { write, plan }),
            WriteStep::Wait(wait) => self.wait(State::UpdatePointer { write, plan }, wait),
            WriteStep::Finished(WriteResult::Written { .. }) => self.finish(plan.published()),
            WriteStep::Finished(WriteResult::Fenced { current }) => {
                match current.and_then(|(_, value)| Pointer::decode(&value)) {
                    Some(theirs) => self.trace_ancestor(plan, theirs.set, theirs),
                    None => self.finish(plan.conflict(None)),
                }
            }
            WriteStep::Finished(WriteResult::TooLarge) => {
                self.reject("the note is too long for the store".to_owned())
            }
        }
    }

    /// Follows the ancestors of the current set until the set of this publication is found or ruled
    /// out. `ancestor` is the set to examine next.
    fn trace_ancestor(
        &mut self,
        plan: WritePlan,
        ancestor: SetRef,
        theirs: Pointer,
    ) -> PublicationStep {
        if ancestor == plan.set {
            return self.finish(plan.published());
        }
        if ancestor.generation <= plan.set.generation {
            return self.finish(plan.conflict(Some(theirs)));
        }
        self.transition_to(State::TraceAncestors { plan, theirs, ancestor })
    }

    fn finish_unknown(&mut self, plan: &WritePlan, reason: String) -> PublicationStep {
        self.finish(PublicationResult::Unknown { ours: plan.set, reason })
    }

    fn on_ancestor(
        &mut self,
        plan: WritePlan,
        theirs: Pointer,
        ancestor: SetRef,
        snapshot: &Snapshot,
    ) -> PublicationStep {
        let generation = Generation(ancestor.generation.0 - 1);
        let parent = SetRef { generation, hash: snapshot.parent() };
        self.trace_ancestor(plan, parent, theirs)
    }
}
