//! Watches the configuration published at the platform.

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

use super::EntryState;
use super::RouterInput;

/// Longest duration of one watch. A watch counts as one call, so a long wait saves calls.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between retries while the platform is down, before jitter.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Watches the published configuration until the process ends.
pub(super) async fn watch(shared: Arc<EntryState>, store: Arc<dyn Store>) {
    let mut version = Version(0);
    let mut down = false;
    loop {
        let read = if version == Version(0) {
            read_initial(&shared, store.as_ref()).await
        } else {
            let reply = store.watch(current_key(), version, WATCH_TIMEOUT).await;
            watch_result(reply)
        };
        match read {
            PointerRead::Found { version: read_version, value } => {
                report_outage(&shared, &mut down, false);
                if apply(&shared, store.as_ref(), &value).await {
                    version = read_version;
                }
            }
            PointerRead::Unchanged => report_outage(&shared, &mut down, false),
            PointerRead::Unavailable => {
                report_outage(&shared, &mut down, true);
                shared.send_to_router(RouterInput::PlatformUnavailable);
                let jitter = 0.5 + rand::random::<f64>();
                tokio::time::sleep(RETRY_INTERVAL.mul_f64(jitter)).await;
            }
        }
    }
}

enum PointerRead {
    Found { version: Version, value: Arc<[u8]> },
    Unchanged,
    Unavailable,
}

async fn read_initial(shared: &EntryState, store: &dyn Store) -> PointerRead {
    match store.call(StoreOp::Get { key: current_key() }).await {
        StoreReply::Found { version, value } => PointerRead::Found { version, value },
        StoreReply::Missing => {
            // No configuration is published yet, so generation 0 is current.
            shared.send_to_router(RouterInput::PlatformGeneration(Generation(0)));
            watch_result(store.watch(current_key(), Version(0), WATCH_TIMEOUT).await)
        }
        _ => PointerRead::Unavailable,
    }
}

fn watch_result(reply: WatchReply) -> PointerRead {
    match reply {
        WatchReply::Changed { version, value } => PointerRead::Found { version, value },
        WatchReply::Unchanged => PointerRead::Unchanged,
        WatchReply::Unavailable { .. } => PointerRead::Unavailable,
    }
}

async fn apply(shared: &EntryState, store: &dyn Store, value: &[u8]) -> bool {
    let Some(pointer) = Pointer::decode(value) else {
        shared.events.emit(&catalogue::CONFIG_REJECTED, None, &[]);
        return false;
    };
    let generation = pointer.set.generation.0;
    shared.send_to_router(RouterInput::PlatformGeneration(pointer.set.generation));
    if generation <= shared.generation.load(Ordering::Relaxed) {
        return true;
    }
    let key: ObjectKey = pointer.set.key();
    let StoreReply::Found { value, .. } = store.call(StoreOp::Get { key }).await else {
        return false;
    };
    let bytes = Bytes::copy_from_slice(&value);
    shared.send_to_router(RouterInput::Config { generation, bytes })
}

fn report_outage(shared: &EntryState, was_down: &mut bool, is_down: bool) {
    if *was_down == is_down {
        return;
    }
    *was_down = is_down;
    let event = if is_down { &catalogue::PLATFORM_DOWN } else { &catalogue::PLATFORM_UP };
    shared.events.emit(event, None, &[]);
}
