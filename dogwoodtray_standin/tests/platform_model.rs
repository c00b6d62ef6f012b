//! Comparison of the platform stand-in with the in-memory store.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

use std::sync::Arc;

use dogwoodtray_coord::ObjectKey;
use dogwoodtray_coord::Precondition;
use dogwoodtray_coord::StoreOp;
use dogwoodtray_coord::Version;
use dogwoodtray_platform::BudgetConfig;
use dogwoodtray_platform::HttpStore;
use dogwoodtray_platform::HttpStoreConfig;
use dogwoodtray_platform::MemoryStore;
use dogwoodtray_platform::Store;
use dogwoodtray_standin::PlatformConfig;
use dogwoodtray_standin::PlatformStandin;
use quickcheck::QuickCheck;

/// Returns an operation with one of a few names and versions, so that operations often use the
/// same objects.
fn operation((selector, name, number): (u8, u8, u8)) -> StoreOp {
    let names = ["", "a", "a/b", "ab", "b", "é%"];
    let kinds = ["jobs", "jobs-2"];
    let pick = |index: u8| names[usize::from(index) % names.len()];
    let kind = kinds[usize::from(name >> 7)];
    let key = ObjectKey::new(kind, format!("n{}", pick(name)));
    let version = Version(u64::from(number % 8));
    let value = Arc::from(&[number][..]);
    match selector % 6 {
        0 => StoreOp::Get { key },
        1 => StoreOp::Put { key, expect: Precondition::Absent, value },
        2 => StoreOp::Put { key, expect: Precondition::Version(version), value },
        3 => StoreOp::Delete { key, expect: version },
        4 => StoreOp::List {
            kind: kind.into(),
            prefix: format!("n{}", pick(name)).into(),
            after: Some(format!("n{}", pick(number)).into()),
            limit: u32::from(number % 4),
        },
        _ => StoreOp::List { kind: kind.into(), prefix: "".into(), after: None, limit: 100 },
    }
}

/// Guards against replies that differ from those of the in-memory store, which other tests use in
/// place of the platform.
#[test]
fn replies_match_the_in_memory_store() {
    fn replies_match(ops: Vec<(u8, u8, u8)>) -> bool {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let platform = PlatformStandin::bind(PlatformConfig::default()).await.unwrap();
            let rate = 100_000.0;
            let budget = BudgetConfig {
                reads_per_second: rate,
                writes_per_second: rate,
                burst_seconds: 1.0,
            };
            let cfg = HttpStoreConfig::new(platform.addr().to_string()).budget(budget);
            let store = HttpStore::open(cfg);
            let model = MemoryStore::new();
            for op in ops.into_iter().map(operation) {
                let expected = model.apply(&op);
                let reply = store.call(op.clone()).await;
                assert_eq!(reply, expected, "{op:?}");
            }
        });
        true
    }
    let mut check = QuickCheck::new().tests(40).max_tests(40);
    check.quickcheck(replies_match as fn(Vec<(u8, u8, u8)>) -> bool);
}
