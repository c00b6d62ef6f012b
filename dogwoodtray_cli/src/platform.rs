//! Calls to the platform that wait for their result.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use dogwoodtray_config::Pointer;
use dogwoodtray_config::Publication;
use dogwoodtray_config::PublicationRequest;
use dogwoodtray_config::PublicationResult;
use dogwoodtray_config::PublicationStep;
use dogwoodtray_config::SET_KIND;
use dogwoodtray_config::SetRef;
use dogwoodtray_config::Snapshot;
use dogwoodtray_config::current_key;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_platform::HttpStore;
use dogwoodtray_platform::HttpStoreConfig;
use dogwoodtray_platform::Store;
use quick_error::quick_error;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// Names in one page of a list.
const LIST_LIMIT: u32 = 1000;

/// Wait before a call with an unexpected reply is repeated.
const CALL_AGAIN: Duration = Duration::from_millis(100);

quick_error! {
    /// Reason why the platform gave no result.
    #[derive(Debug)]
    #[allow(unreachable_pub, reason = "quick_error! accepts `pub` only")]
    pub enum PlatformError {
        Runtime(err: io::Error) {
            display("cannot start the client: {err}")
            source(err)
        }
        Unreachable(addr: SocketAddr, after: Duration) {
            display("the platform at {addr} gave no result within {} s", after.as_secs())
        }
        UnknownResult(addr: SocketAddr, after: Duration) {
            display("the platform at {addr} gave no result within {} s after the set was written; \
                     it may be in force or come into force, which `diff` shows", after.as_secs())
        }
        Damaged(key: ObjectKey, reason: String) {
            display("{key} cannot be read: {reason}")
        }
        NoSuchSet(generation: u64) {
            display("no set of generation {generation} is in the store")
        }
        SeveralSets(generation: u64, names: String) {
            display("several sets of generation {generation} are in the store, of which one was \
                     accepted; name it in full: {names}")
        }
    }
}

/// The platform, with a limit on the time that all calls take together.
#[derive(Debug)]
pub(crate) struct Platform {
    addr: SocketAddr,
    store: HttpStore,
    runtime: Runtime,
    timeout: Duration,
    deadline: Instant,
}

impl Platform {
    pub(crate) fn open(addr: SocketAddr, timeout: Duration) -> Result<Self, PlatformError> {
        let runtime =
            Builder::new_current_thread().enable_all().build().map_err(PlatformError::Runtime)?;
        let store = HttpStore::open(HttpStoreConfig::new(addr.to_string()));
        Ok(Self { addr, store, runtime, timeout, deadline: Instant::now() + timeout })
    }

    /// Reads the current set; `None` if nothing is published.
    pub(crate) fn current(&self) -> Result<Option<(Pointer, Snapshot)>, PlatformError> {
        let Some(value) = self.get(current_key())? else {
            return Ok(None);
        };
        let Some(pointer) = Pointer::decode(&value) else {
            let reason = "it is not a pointer to a set".to_owned();
            return Err(PlatformError::Damaged(current_key(), reason));
        };
        let snapshot = self.snapshot(pointer.set)?;
        Ok(Some((pointer, snapshot)))
    }

    /// Reads a published set.
    pub(crate) fn snapshot(&self, set: SetRef) -> Result<Snapshot, PlatformError> {
        let damaged = |reason| PlatformError::Damaged(set.key(), reason);
        let value = self.get(set.key())?.ok_or_else(|| damaged("it does not exist".to_owned()))?;
        let (snapshot, _) = Snapshot::decode(&value).map_err(|err| damaged(err.to_string()))?;
        Ok(snapshot)
    }

    /// Finds the set of a generation. Publications that lost leave sets behind, so there may be
    /// several, which only the operator can tell apart.
    pub(crate) fn find_set(&self, generation: Generation) -> Result<SetRef, PlatformError> {
        let names = self.list(SET_KIND, &format!("{}-", generation.0))?;
        let sets: Vec<SetRef> = names.iter().filter_map(|name| name.parse().ok()).collect();
        match sets.as_slice() {
            [] => Err(PlatformError::NoSuchSet(generation.0)),
            [set] => Ok(*set),
            _ => Err(PlatformError::SeveralSets(generation.0, names.join(", "))),
        }
    }

    /// Lists the names of a kind.
    pub(crate) fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Name>, PlatformError> {
        let mut names = Vec::new();
        loop {
            let op = StoreOp::List {
                kind: kind.into(),
                prefix: prefix.into(),
                after: names.last().cloned(),
                limit: LIST_LIMIT,
            };
            let StoreReply::Listed { entries, more } = self.read(&op)? else {
                return Ok(names);
            };
            let progress = !entries.is_empty();
            names.extend(entries.into_iter().map(|(name, _)| name));
            if !more || !progress {
                return Ok(names);
            }
        }
    }

    fn get(&self, key: ObjectKey) -> Result<Option<Arc<[u8]>>, PlatformError> {
        match self.read(&StoreOp::Get { key })? {
            StoreReply::Found { value, .. } => Ok(Some(value)),
            _ => Ok(None),
        }
    }

    fn read(&self, op: &StoreOp) -> Result<StoreReply, PlatformError> {
        loop {
            let wait = match self.call(op.clone())? {
                StoreReply::Unavailable { retry_after } => retry_after,
                StoreReply::Ambiguous => CALL_AGAIN,
                reply => return Ok(reply),
            };
            self.wait(wait)?;
        }
    }

    fn call(&self, op: StoreOp) -> Result<StoreReply, PlatformError> {
        self.before_deadline()?;
        Ok(self.runtime.block_on(self.store.call(op)))
    }

    fn wait(&self, wait: Duration) -> Result<(), PlatformError> {
        self.before_deadline()?;
        self.runtime.block_on(async { tokio::time::sleep(wait).await });
        Ok(())
    }

    fn before_deadline(&self) -> Result<(), PlatformError> {
        if Instant::now() < self.deadline {
            return Ok(());
        }
        Err(PlatformError::Unreachable(self.addr, self.timeout))
    }
}

/// # Publication
impl Platform {
    /// Publishes a set.
    pub(crate) fn publish(
        &self,
        req: PublicationRequest,
    ) -> Result<PublicationResult, PlatformError> {
        let mut publication = Publication::new(req);
        let mut step = publication.start();
        loop {
            let outcome = match step {
                PublicationStep::Finished(result) => return Ok(result),
                PublicationStep::Call(op) => self.call(op).map(Some),
                PublicationStep::Wait(wait) => self.wait(wait).map(|()| None),
            };
            let reply =
                outcome.map_err(|err| self.unknown_if(publication.may_have_effect(), err))?;
            step = match (reply, publication.next_call()) {
                (Some(reply), _) => publication.on_reply(reply),
                (None, Some(op)) => PublicationStep::Call(op),
                (None, None) => PublicationStep::Wait(CALL_AGAIN),
            };
        }
    }

    fn unknown_if(&self, may_have_effect: bool, err: PlatformError) -> PlatformError {
        if may_have_effect { PlatformError::UnknownResult(self.addr, self.timeout) } else { err }
    }
}
