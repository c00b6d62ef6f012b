//! Follows the published configuration at the platform.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_config::Pointer;
use dogwoodtray_config::current_key;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::StoreReply;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::Store;
use dogwoodtray_platform::WatchReply;
use dogwoodtray_runtime::catalogue;

use super::RouterInput;
use super::Shared;

/// Longest wait of one watch. A waiting watch counts as one call, so long waits cost little.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Time between tries while the platform is down, before jitter.
const RETRY_WAIT: Duration = Duration::from_millis(500);

/// Follows the published configuration until the process ends.
pub(super) async fn follow(shared: Arc<Shared>, store: Arc<dyn Store>) {
    let mut version = Version(0);
    let mut down = false;
    loop {
        let read = if version == Version(0) {
            first_read(&shared, store.as_ref()).await
        } else {
            let watch = store.watch(current_key(), version, WATCH_WAIT).await;
            changed(watch)
        };
        match read {
            Read::Pointer { version: read, value } => {
                note_outage(&shared, &mut down, false);
                if apply(&shared, store.as_ref(), &value).await {
                    version = read;
                }
            }
            Read::Nothing => note_outage(&shared, &mut down, false),
            Read::Unavailable => {
                note_outage(&shared, &mut down, true);
                shared.tell_router(RouterInput::StoreFailed);
                let jitter = 0.5 + rand::random::<f64>();
                tokio::time::sleep(RETRY_WAIT.mul_f64(jitter)).await;
            }
        }
    }
}

enum Read {
    Pointer { version: Version, value: Arc<[u8]> },
    Nothing,
    Unavailable,
}

async fn first_read(shared: &Shared, store: &dyn Store) -> Read {
    match store.call(StoreOp::Get { key: current_key() }).await {
        StoreReply::Found { version, value } => Read::Pointer { version, value },
        StoreReply::Missing => {
            // Nothing was published yet, which is an answer too.
            shared.tell_router(RouterInput::StoreGeneration(Generation(0)));
            changed(store.watch(current_key(), Version(0), WATCH_WAIT).await)
        }
        _ => Read::Unavailable,
    }
}

fn changed(reply: WatchReply) -> Read {
    match reply {
        WatchReply::Changed { version, value } => Read::Pointer { version, value },
        WatchReply::Unchanged => Read::Nothing,
        WatchReply::Unavailable { .. } => Read::Unavailable,
    }
}

async fn apply(shared: &Shared, store: &dyn Store, value: &[u8]) -> bool {
    let Some(pointer) = Pointer::decode(value) else {
        shared.events.emit(&catalogue::CONFIG_REJECTED, None, &[]);
        return false;
    };
    let generation = pointer.set.generation.0;
    shared.tell_router(RouterInput::StoreGeneration(pointer.set.generation));
    if generation <= shared.generation.load(Ordering::Relaxed) {
        return true;
    }
    let key: ObjectKey = pointer.set.key();
    let StoreReply::Found { value, .. } = store.call(StoreOp::Get { key }).await else {
        return false;
    };
    let bytes = Bytes::copy_from_slice(&value);
    shared.tell_router(RouterInput::Config { generation, bytes })
}

fn note_outage(shared: &Shared, down: &mut bool, now_down: bool) {
    if *down == now_down {
        return;
    }
    *down = now_down;
    let code = if now_down { &catalogue::PLATFORM_DOWN } else { &catalogue::PLATFORM_UP };
    shared.events.emit(code, None, &[]);
}
