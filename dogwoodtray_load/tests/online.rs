//! Online requests against the engine stand-in and against a flawed entry.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_load::Arrivals;
use dogwoodtray_load::ClassReport;
use dogwoodtray_load::LoadConfig;
use dogwoodtray_load::LoadError;
use dogwoodtray_load::Shape;
use dogwoodtray_load::TokenCount;
use dogwoodtray_load::run;
use dogwoodtray_standin::EngineConfig;
use dogwoodtray_standin::EngineFaults;
use dogwoodtray_standin::EngineStandin;

use crate::common::Flaw;
use crate::common::start_entry;

fn config(addr: SocketAddr) -> LoadConfig {
    LoadConfig::new([addr])
        .stream(Shape::new("short", 80, TokenCount::constant(4)), Arrivals::poisson(100.0))
        .warm_up(Duration::ZERO)
        .duration(Duration::from_millis(400))
}

async fn engine() -> EngineStandin {
    let ms = Duration::from_millis(1);
    EngineStandin::bind(EngineConfig::default().step(ms, ms / 100, ms / 1_000)).await.unwrap()
}

/// Guards against answers that are dropped, counted twice or measured without their tokens.
#[tokio::test]
async fn whole_answers_are_counted_and_measured() {
    let engine = engine().await;
    let cfg = config(engine.addr())
        .stream(Shape::shared_prefixes(), Arrivals::poisson(50.0))
        .model("standin")
        .seed(3);
    let report = run(cfg).await.unwrap();
    let short = &report.classes["short"];
    assert!(short.sent > 10, "{report}");
    assert_eq!((short.whole, short.first_token.count), (short.sent, short.sent), "{report}");
    assert_eq!(short.tokens, 4 * short.sent);
    assert_eq!(short.between_tokens.count, 3 * short.sent);
    let prefixed = &report.classes["shared-prefixes"];
    assert_eq!(prefixed.whole, prefixed.sent, "{report}");
    let runs = engine.runs();
    assert_eq!(runs.len() as u64, short.sent + prefixed.sent);
    assert!(runs.values().all(|run| run.started == 1 && run.finished == 1));
}

/// Guards against figures of the warm-up in the report, and against its requests not being sent.
#[tokio::test]
async fn warm_up_is_sent_and_left_out() {
    let engine = engine().await;
    let cfg = config(engine.addr()).warm_up(Duration::from_millis(400));
    let report = run(cfg).await.unwrap();
    let sent = report.classes["short"].sent;
    assert!(sent > 10 && engine.runs().len() as u64 > sent + 10, "{report}");
}

/// Guards against a load that depends on anything but its seed.
#[tokio::test]
async fn seed_determines_the_load() {
    let mut loads = Vec::new();
    for seed in [5, 5, 6] {
        let engine = engine().await;
        run(config(engine.addr())
            .seed(seed)
            .stream(Shape::counter_slips(), Arrivals::poisson(50.0)))
        .await
        .unwrap();
        let runs = engine.runs();
        loads.push(runs.into_iter().map(|(id, run)| (id, run.tokens)).collect::<Vec<_>>());
    }
    assert_eq!(loads[0], loads[1]);
    assert_ne!(loads[0].len(), loads[2].len());
}

/// Guards against a generator that waits for a slow system and so hides its queue.
#[tokio::test]
async fn latency_counts_from_the_planned_time() {
    let engine = engine().await;
    engine.set_faults(EngineFaults { freeze: true, ..EngineFaults::default() });
    let load = tokio::spawn(run(config(engine.addr())));
    tokio::time::sleep(Duration::from_millis(800)).await;
    engine.set_faults(EngineFaults::default());
    let report = load.await.unwrap().unwrap();
    let short = &report.classes["short"];
    assert!(short.sent > 10 && short.whole == short.sent, "{report}");
    // All requests are planned in the first 420 ms, and none is answered before 800 ms. The bound
    // leaves room for a load that starts late; an engine that is not frozen takes about 10 ms.
    assert!(short.first_token.p50_ms > 200.0, "{report}");
    assert_eq!(short.whole_per_second, 0.0, "answers after the load are no throughput");
}

async fn flawed(flaw: Flaw) -> ClassReport {
    let report = run(config(start_entry(flaw).await)).await.unwrap();
    report.classes["short"].clone()
}

/// Guards against faults of answers that pass for whole answers.
#[tokio::test]
async fn faults_of_answers_are_told_apart() {
    let right = flawed(Flaw::None).await;
    assert_eq!(right.whole, right.sent, "events are split anywhere");
    let mixed = flawed(Flaw::Mixed).await;
    assert_eq!((mixed.wrong, mixed.whole), (mixed.sent, 0));
    let cut = flawed(Flaw::Cut).await;
    assert_eq!((cut.truncated, cut.whole), (cut.sent, 0));
    let busy = flawed(Flaw::Busy).await;
    assert_eq!(busy.refused["429 overloaded"], busy.sent);
    let nobody = run(config("127.0.0.1:1".parse().unwrap())).await.unwrap();
    assert_eq!(nobody.classes["short"].failed, nobody.classes["short"].sent);
}

/// Guards against requests that wait for ever.
#[tokio::test]
async fn request_times_out() {
    let engine = engine().await;
    engine.set_faults(EngineFaults { freeze: true, ..EngineFaults::default() });
    let cfg = config(engine.addr()).request_timeout(Duration::from_millis(50));
    let report = run(cfg).await.unwrap();
    assert_eq!(report.classes["short"].failed, report.classes["short"].sent);
}

/// Guards against a load without bounds.
#[tokio::test]
async fn bounds_hold() {
    let engine = engine().await;
    engine.set_faults(EngineFaults { freeze: true, ..EngineFaults::default() });
    let timeout = Duration::from_secs(1);
    let cfg = config(engine.addr()).bounds(1_000, 5).request_timeout(timeout);
    let report = run(cfg).await.unwrap();
    let short = &report.classes["short"];
    assert!(short.sent == 5 && short.skipped > 5, "{report}");
    let over = run(config(engine.addr()).bounds(5, 5)).await;
    assert!(matches!(over, Err(LoadError::Config(_))));
}

/// Guards against settings that would panic or never end.
#[tokio::test]
async fn bad_settings_are_refused() {
    let addr = "127.0.0.1:1".parse().unwrap();
    let shape = Shape::counter_slips;
    let bad = [
        LoadConfig::new([]),
        config(addr).duration(Duration::ZERO),
        config(addr).label("two words"),
        config(addr).stream(shape(), Arrivals::poisson(0.0)),
        config(addr).stream(shape(), Arrivals::poisson(f64::INFINITY)),
        config(addr).stream(shape(), Arrivals::poisson(f64::NAN)),
    ];
    for cfg in bad {
        assert!(matches!(run(cfg).await, Err(LoadError::Config(_))));
    }
}

/// Guards against bursts that are missing, or that leave the rate between them changed.
#[test]
fn bursts_come_at_their_times() {
    let seconds = Duration::from_secs;
    let arrivals = Arrivals::Burst {
        per_second: 100.0,
        burst_per_second: 1_000.0,
        every: seconds(10),
        length: seconds(2),
    };
    let times = arrivals.times(seconds(100), usize::MAX, 7).unwrap();
    assert!(times.is_sorted());
    let (burst, calm): (Vec<Duration>, Vec<Duration>) =
        times.into_iter().partition(|at| *at >= seconds(10) && at.as_secs() % 10 < 2);
    // 9 bursts of 2 s and 82 s between them; five standard deviations are 671 and 453.
    assert!(burst.len().abs_diff(18_000) < 671, "{}", burst.len());
    assert!(calm.len().abs_diff(8_200) < 453, "{}", calm.len());
}
