//! Online requests to the engine stand-in and to a faulty entry.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_load::Arrivals;
use dogwoodtray_load::ClassReport;
use dogwoodtray_load::LoadConfig;
use dogwoodtray_load::LoadError;
use dogwoodtray_load::RequestShape;
use dogwoodtray_load::TokenDistribution;
use dogwoodtray_load::run;
use dogwoodtray_standin::EngineConfig;
use dogwoodtray_standin::EngineFaults;
use dogwoodtray_standin::EngineStandin;

use crate::common::Fault;
use crate::common::start_entry;

fn config(addr: SocketAddr) -> LoadConfig {
    LoadConfig::new([addr])
        .stream(
            RequestShape::new("short", 80, TokenDistribution::constant(4)),
            Arrivals::poisson(100.0),
        )
        .warm_up(Duration::ZERO)
        .duration(Duration::from_millis(400))
}

async fn engine() -> EngineStandin {
    let ms = Duration::from_millis(1);
    EngineStandin::bind(EngineConfig::default().step(ms, ms / 100, ms / 1_000)).await.unwrap()
}

/// Guards against answers that are not counted or counted twice, and against token times that are
/// not recorded.
#[tokio::test]
async fn complete_answers_are_counted_and_measured() {
    let engine = engine().await;
    let cfg = config(engine.addr())
        .stream(RequestShape::shared_prefixes(), Arrivals::poisson(50.0))
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

/// Guards against warm-up requests that appear in the report or are not sent at all.
#[tokio::test]
async fn warm_up_requests_are_sent_but_not_reported() {
    let engine = engine().await;
    let cfg = config(engine.addr()).warm_up(Duration::from_millis(400));
    let report = run(cfg).await.unwrap();
    let sent = report.classes["short"].sent;
    assert!(sent > 10 && engine.runs().len() as u64 > sent + 10, "{report}");
}

/// Guards against a load that differs between runs with the same configuration and seed.
#[tokio::test]
async fn seed_determines_the_load() {
    let mut loads = Vec::new();
    for seed in [5, 5, 6] {
        let engine = engine().await;
        run(config(engine.addr())
            .seed(seed)
            .stream(RequestShape::counter_slips(), Arrivals::poisson(50.0)))
        .await
        .unwrap();
        let runs = engine.runs();
        loads.push(runs.into_iter().map(|(id, run)| (id, run.tokens)).collect::<Vec<_>>());
    }
    assert_eq!(loads[0], loads[1]);
    assert_ne!(loads[0].len(), loads[2].len());
}

/// Guards against a generator that sends later while the system is slow and measures latency from
/// the actual send time, so that the report omits the queueing delay.
#[tokio::test]
async fn latency_is_measured_from_planned_time() {
    let engine = engine().await;
    engine.set_faults(EngineFaults { freeze: true, ..EngineFaults::default() });
    let load = tokio::spawn(run(config(engine.addr())));
    tokio::time::sleep(Duration::from_millis(800)).await;
    engine.set_faults(EngineFaults::default());
    let report = load.await.unwrap().unwrap();
    let short = &report.classes["short"];
    assert!(short.sent > 10 && short.whole == short.sent, "{report}");
    // All requests are planned in the first 420 ms, and none is answered before 800 ms. The bound
    // allows for a load that starts late; an engine that is not frozen takes about 10 ms.
    assert!(short.first_token.p50_ms > 200.0, "{report}");
    assert_eq!(short.whole_per_second, 0.0, "answers after the load count towards throughput");
}

async fn run_with_fault(fault: Fault) -> ClassReport {
    let report = run(config(start_entry(fault).await)).await.unwrap();
    report.classes["short"].clone()
}

/// Guards against wrong, truncated, refused or failed answers that count as `whole`.
#[tokio::test]
async fn faulty_answers_are_counted_by_kind() {
    let correct = run_with_fault(Fault::None).await;
    assert_eq!(correct.whole, correct.sent, "events that span several chunks are parsed");
    let wrong = run_with_fault(Fault::WrongAnswers).await;
    assert_eq!((wrong.wrong, wrong.whole), (wrong.sent, 0));
    let truncated = run_with_fault(Fault::TruncatedAnswers).await;
    assert_eq!((truncated.truncated, truncated.whole), (truncated.sent, 0));
    let broken = run_with_fault(Fault::BrokenFraming).await;
    assert_eq!((broken.truncated, broken.whole), (broken.sent, 0));
    let overloaded = run_with_fault(Fault::Overloaded).await;
    assert_eq!(overloaded.refused["429 overloaded"], overloaded.sent);
    let unreachable = run(config("127.0.0.1:1".parse().unwrap())).await.unwrap();
    assert_eq!(unreachable.classes["short"].failed, unreachable.classes["short"].sent);
}

/// Guards against requests to a frozen engine that are not aborted by the timeout.
#[tokio::test]
async fn request_times_out() {
    let engine = engine().await;
    engine.set_faults(EngineFaults { freeze: true, ..EngineFaults::default() });
    let cfg = config(engine.addr()).request_timeout(Duration::from_millis(50));
    let report = run(cfg).await.unwrap();
    assert_eq!(report.classes["short"].failed, report.classes["short"].sent);
}

/// Guards against more requests in flight or more planned requests than configured.
#[tokio::test]
async fn request_limits_are_enforced() {
    let engine = engine().await;
    engine.set_faults(EngineFaults { freeze: true, ..EngineFaults::default() });
    let timeout = Duration::from_secs(1);
    let cfg = config(engine.addr()).request_limits(1_000, 5).request_timeout(timeout);
    let report = run(cfg).await.unwrap();
    let short = &report.classes["short"];
    assert!(short.sent == 5 && short.skipped > 5, "{report}");
    let over = run(config(engine.addr()).request_limits(5, 5)).await;
    assert!(matches!(over, Err(LoadError::Config(_))));
}

/// Guards against settings that cause a panic or an endless run.
#[tokio::test]
async fn invalid_settings_are_rejected() {
    let addr = "127.0.0.1:1".parse().unwrap();
    let shape = RequestShape::counter_slips;
    let invalid = [
        LoadConfig::new([]),
        config(addr).duration(Duration::ZERO),
        config(addr).label("two words"),
        config(addr).stream(shape(), Arrivals::poisson(0.0)),
        config(addr).stream(shape(), Arrivals::poisson(f64::INFINITY)),
        config(addr).stream(shape(), Arrivals::poisson(f64::NAN)),
    ];
    for cfg in invalid {
        assert!(matches!(run(cfg).await, Err(LoadError::Config(_))));
    }
}

/// Guards against missing bursts, and against bursts that change the rate between them.
#[test]
fn bursts_start_after_each_period() {
    let seconds = Duration::from_secs;
    let arrivals = Arrivals::Burst {
        per_second: 100.0,
        burst_per_second: 1_000.0,
        period: seconds(10),
        length: seconds(2),
    };
    let times = arrivals.times(seconds(100), usize::MAX, 7).unwrap();
    assert!(times.is_sorted());
    let (in_bursts, between_bursts): (Vec<Duration>, Vec<Duration>) =
        times.into_iter().partition(|at| *at >= seconds(10) && at.as_secs() % 10 < 2);
    // 9 bursts of 2 s and 82 s between them; five standard deviations are 671 and 453.
    assert!(in_bursts.len().abs_diff(18_000) < 671, "{}", in_bursts.len());
    assert!(between_bursts.len().abs_diff(8_200) < 453, "{}", between_bursts.len());
}
