//! Conditional write that is retried until its result is certain.

use std::sync::Arc;
use std::time::Duration;

use crate::ObjectKey;
use crate::Precondition;
use crate::StoreOp;
use crate::StoreReply;
use crate::Version;

/// Final result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect.
    Written {
        /// Version after the write.
        version: Version,
    },
    /// Another writer changed the object first; the write did not and will not take effect.
    Fenced {
        /// Current version and value of the object; `None` if it does not exist.
        current: Option<(Version, Arc<[u8]>)>,
    },
    /// The value exceeds the size limit of the store.
    TooLarge,
}

/// Next step for the owner of a [`StampedWrite`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteStep {
    /// Run this call and pass its reply to [`StampedWrite::on_reply`].
    Call(StoreOp),
    /// Wait, then run [`StampedWrite::next_call`].
    Wait(Duration),
    /// The write ended.
    Finished(WriteResult),
}

/// Conditional write that is retried until its result is certain.
///
/// After a lost reply, the object is read back and its value is checked for the stamp of this
/// write. The write is repeated only if the object still has the expected version, which is safe
/// because the write is conditional.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use dogwoodtray_coord::{ObjectKey, Precondition, StampedWrite, StoreReply, Version};
/// use dogwoodtray_coord::{WriteResult, WriteStep};
///
/// let key = ObjectKey::new("jobs", "a");
/// let mut write = StampedWrite::new(key, Precondition::Absent, Arc::from(&b"stamp-1"[..]));
/// let is_mine = |value: &[u8]| value == b"stamp-1";
///
/// // The reply is lost, and the object read back contains the stamp of this writer.
/// let step = write.on_reply(StoreReply::Ambiguous, is_mine);
/// assert!(matches!(step, WriteStep::Call(_)));
/// let found = StoreReply::Found { version: Version(7), value: Arc::from(&b"stamp-1"[..]) };
/// let step = write.on_reply(found, is_mine);
/// assert_eq!(step, WriteStep::Finished(WriteResult::Written { version: Version(7) }));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StampedWrite {
    key: ObjectKey,
    expect: Precondition,
    value: Arc<[u8]>,
    is_reading_back: bool,
}

impl StampedWrite {
    /// Creates a write. The value must contain a stamp that no other write uses.
    #[must_use]
    pub const fn new(key: ObjectKey, expect: Precondition, value: Arc<[u8]>) -> Self {
        Self { key, expect, value, is_reading_back: false }
    }

    /// Returns the call to run now.
    #[must_use]
    pub fn next_call(&self) -> StoreOp {
        if self.is_reading_back {
            return StoreOp::Get { key: self.key.clone() };
        }
        StoreOp::Put { key: self.key.clone(), expect: self.expect, value: Arc::clone(&self.value) }
    }

    /// Processes the reply to the last call. `is_mine` returns `true` for a value that contains the
    /// stamp of this write.
    pub fn on_reply(&mut self, reply: StoreReply, is_mine: impl Fn(&[u8]) -> bool) -> WriteStep {
        match reply {
            StoreReply::Unavailable { retry_after } => WriteStep::Wait(retry_after),
            StoreReply::Written { version } => {
                WriteStep::Finished(WriteResult::Written { version })
            }
            StoreReply::TooLarge => WriteStep::Finished(WriteResult::TooLarge),
            // The conflict may be with this write, if an earlier reply was lost. Read it back.
            StoreReply::Ambiguous | StoreReply::Conflict => {
                self.is_reading_back = true;
                WriteStep::Call(self.next_call())
            }
            StoreReply::Found { version, value } => self.on_found(version, value, is_mine),
            StoreReply::Missing => self.on_missing(),
            StoreReply::Deleted | StoreReply::Listed { .. } => {
                debug_assert!(false, "the reply is not to a Get or Put call");
                WriteStep::Wait(Duration::ZERO)
            }
        }
    }

    fn on_found(
        &mut self,
        version: Version,
        value: Arc<[u8]>,
        is_mine: impl Fn(&[u8]) -> bool,
    ) -> WriteStep {
        if is_mine(&value) {
            return WriteStep::Finished(WriteResult::Written { version });
        }
        if self.expect == Precondition::Version(version) {
            return self.retry_put();
        }
        WriteStep::Finished(WriteResult::Fenced { current: Some((version, value)) })
    }

    fn on_missing(&mut self) -> WriteStep {
        if self.expect == Precondition::Absent {
            return self.retry_put();
        }
        WriteStep::Finished(WriteResult::Fenced { current: None })
    }

    fn retry_put(&mut self) -> WriteStep {
        self.is_reading_back = false;
        WriteStep::Call(self.next_call())
    }
}
