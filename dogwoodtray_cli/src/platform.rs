//! Blocking client of the platform.

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

/// Maximum number of names in one page of a list.
const LIST_PAGE_SIZE: u32 = 1000;

/// Delay before a call with an ambiguous or unexpected reply is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

quick_error! {
    /// Error of a platform operation.
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
        Unreadable(key: ObjectKey, reason: String) {
            display("{key} cannot be read: {reason}")
        }
        NoSuchSet(generation: u64) {
            display("no set of generation {generation} is in the store")
        }
        AmbiguousGeneration(generation: u64, names: String) {
            display("several sets of generation {generation} are in the store, of which one was \
                     accepted; name it in full: {names}")
        }
    }
}

/// Client of the platform. The timeout applies to all calls together.
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

    /// Returns the current set, or `None` if nothing is published.
    pub(crate) fn current(&self) -> Result<Option<(Pointer, Snapshot)>, PlatformError> {
        let Some(value) = self.get(current_key())? else {
            return Ok(None);
        };
        let Some(pointer) = Pointer::decode(&value) else {
            let reason = "it is not a pointer to a set".to_owned();
            return Err(PlatformError::Unreadable(current_key(), reason));
        };
        let snapshot = self.snapshot(pointer.set)?;
        Ok(Some((pointer, snapshot)))
    }

    /// Returns a published set.
    pub(crate) fn snapshot(&self, set: SetRef) -> Result<Snapshot, PlatformError> {
        let unreadable = |reason| PlatformError::Unreadable(set.key(), reason);
        let value =
            self.get(set.key())?.ok_or_else(|| unreadable("it does not exist".to_owned()))?;
        let (snapshot, _) = Snapshot::decode(&value).map_err(|err| unreadable(err.to_string()))?;
        Ok(snapshot)
    }

    /// Returns the set of a generation.
    ///
    /// A publication that lost a conflict leaves its set in the store, so a generation may have
    /// several sets. The operator then has to name one of them in full.
    pub(crate) fn find_set(&self, generation: Generation) -> Result<SetRef, PlatformError> {
        let names = self.list(SET_KIND, &format!("{}-", generation.0))?;
        let sets: Vec<SetRef> = names.iter().filter_map(|name| name.parse().ok()).collect();
        match sets.as_slice() {
            [] => Err(PlatformError::NoSuchSet(generation.0)),
            [set] => Ok(*set),
            _ => Err(PlatformError::AmbiguousGeneration(generation.0, names.join(", "))),
        }
    }

    /// Returns the names of all objects of a kind that start with a prefix.
    pub(crate) fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Name>, PlatformError> {
        let mut names = Vec::new();
        loop {
            let op = StoreOp::List {
                kind: kind.into(),
                prefix: prefix.into(),
                after: names.last().cloned(),
                limit: LIST_PAGE_SIZE,
            };
            let StoreReply::Listed { entries, more } = self.read(&op)? else {
                return Ok(names);
            };
            let has_progress = !entries.is_empty();
            names.extend(entries.into_iter().map(|(name, _)| name));
            if !more || !has_progress {
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
            let delay = match self.call(op.clone())? {
                StoreReply::Unavailable { retry_after } => retry_after,
                StoreReply::Ambiguous => RETRY_DELAY,
                reply => return Ok(reply),
            };
            self.wait(delay)?;
        }
    }

    fn call(&self, op: StoreOp) -> Result<StoreReply, PlatformError> {
        self.check_deadline()?;
        Ok(self.runtime.block_on(self.store.call(op)))
    }

    fn wait(&self, delay: Duration) -> Result<(), PlatformError> {
        self.check_deadline()?;
        self.runtime.block_on(async { tokio::time::sleep(delay).await });
        Ok(())
    }

    fn check_deadline(&self) -> Result<(), PlatformError> {
        if Instant::now() < self.deadline {
            return Ok(());
        }
        Err(PlatformError::Unreachable(self.addr, self.timeout))
    }
}

/// Publication of sets.
impl Platform {
    /// Publishes a set and waits for the result.
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
                PublicationStep::Wait(delay) => self.wait(delay).map(|()| None),
            };
            let reply = outcome
                .map_err(|err| self.publication_error(publication.may_have_effect(), err))?;
            step = match (reply, publication.next_call()) {
                (Some(reply), _) => publication.on_reply(reply),
                (None, Some(op)) => PublicationStep::Call(op),
                (None, None) => PublicationStep::Wait(RETRY_DELAY),
            };
        }
    }

    fn publication_error(&self, may_have_effect: bool, err: PlatformError) -> PlatformError {
        if may_have_effect { PlatformError::UnknownResult(self.addr, self.timeout) } else { err }
    }
}
