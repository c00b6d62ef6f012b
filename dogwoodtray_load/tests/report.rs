//! Summaries and charts.
#![allow(clippy::unwrap_used, reason = "a test stops at the first failure")]

use std::collections::BTreeMap;

use dogwoodtray_load::ClassReport;
use dogwoodtray_load::ItemCounts;
use dogwoodtray_load::JobReport;
use dogwoodtray_load::Latency;
use dogwoodtray_load::LoadComparison;
use dogwoodtray_load::LoadReport;
use dogwoodtray_load::compare;
use dogwoodtray_load::render_svg;
use dogwoodtray_load::write_svg;
use expect_test::expect;

fn latency(ms: f64) -> Latency {
    Latency {
        count: 95,
        mean_ms: ms,
        p50_ms: ms,
        p90_ms: 2.0 * ms,
        p95_ms: 3.0 * ms,
        p99_ms: 4.0 * ms,
        p999_ms: 5.0 * ms,
        max_ms: 6.0 * ms,
    }
}

fn report(label: &str, load: f64, ms: f64) -> LoadReport {
    let class = ClassReport {
        sent: 100,
        skipped: 2,
        whole: 95,
        refused: BTreeMap::from([("429 overloaded".to_owned(), 3)]),
        wrong: 1,
        truncated: 1,
        failed: 0,
        tokens: 1_200,
        offered_per_second: load,
        whole_per_second: 0.9 * load,
        tokens_per_second: 120.0 * load,
        first_token: latency(ms),
        between_tokens: latency(ms / 10.0),
        total: latency(5.0 * ms),
    };
    let job = JobReport {
        accepted: 2,
        ended: 1,
        unfinished: 1,
        late: 1,
        refused: BTreeMap::from([("no answer".to_owned(), 4)]),
        items: ItemCounts { whole: 97, failed: 2, missing: 1, ..ItemCounts::default() },
        done_in_window: 80,
        tokens: 2_000,
        tokens_per_second: 1_000.0 / ms,
        turnaround: latency(2_000.0),
    };
    LoadReport {
        label: label.to_owned(),
        seed: 7,
        seconds: 10.0,
        classes: BTreeMap::from([("counter-slips".to_owned(), class)]),
        jobs: BTreeMap::from([("lots".to_owned(), job)]),
        send_lag: latency(0.5),
    }
}

fn two_policy_comparison() -> LoadComparison {
    compare([
        report("round-robin", 10.0, 20.0),
        report("round-robin", 20.0, 80.0),
        report("two-choices", 10.0, 10.0),
        report("two-choices", 20.0, 15.0),
    ])
}

/// Guards against values that are missing from the summary of a run or printed in a wrong column.
#[test]
fn run_summary_shows_all_values() {
    expect![[r#"
        two-choices: seed 7, 10.0 s measured
        online               offered/s    sent   whole  refused  wrong  trunc  failed    tok/s
        counter-slips             10.0     100      95        3      1      1       0     1200
          refused, 429 overloaded: 3
          not sent, too many on the way: 2
        latency in ms                           p50      p90      p95      p99      max
        counter-slips       first token        12.5     25.0     37.5     50.0     75.0
        counter-slips       between tokens      1.2      2.5      3.8      5.0      7.5
        counter-slips       total              62.5    125.0    187.5    250.0    375.0
        jobs lots: 2 accepted, 1 ended, 1 unfinished, 1 late, p50 2000 ms, 80 tok/s
          items: 97 whole, 2 failed, 0 wrong, 1 missing, 0 duplicate, 0 unknown; 80 done in the window
          refused, no answer: 4
        send lag in ms: p50 0.5, p99 2.0, max 3.0
    "#]].assert_eq(&report("two-choices", 10.0, 12.5).summary());
}

/// Guards against ratios to a run other than the first one.
#[test]
fn comparison_summary_uses_first_run_as_baseline() {
    expect![[r#"
        counter-slips            offered/s   whole   first p99  ratio   total p99  ratio    tok/s  ratio
          round-robin                 10.0      95        80.0   1.00       400.0   1.00     1200   1.00
          round-robin                 20.0      95       320.0   4.00      1600.0   4.00     2400   2.00
          two-choices                 10.0      95        40.0   0.50       200.0   0.50     1200   1.00
          two-choices                 20.0      95        60.0   0.75       300.0   0.75     2400   2.00
        jobs lots, round-robin: 1 ended, 1 unfinished, 50 tok/s, ratio 1.00
        jobs lots, round-robin: 1 ended, 1 unfinished, 12 tok/s, ratio 0.25
        jobs lots, two-choices: 1 ended, 1 unfinished, 100 tok/s, ratio 2.00
        jobs lots, two-choices: 1 ended, 1 unfinished, 67 tok/s, ratio 1.33
    "#]].assert_eq(&two_policy_comparison().summary());
}

/// Guards against values that are lost or changed in JSON.
#[test]
fn json_round_trip() {
    let report = two_policy_comparison();
    assert_eq!(serde_json::from_str::<LoadComparison>(&report.to_json()).unwrap(), report);
    let run = &report.runs[0];
    assert_eq!(&serde_json::from_str::<LoadReport>(&run.to_json()).unwrap(), run);
}

/// Guards against charts that omit a policy, and against panics and endless loops in the axis code
/// for empty reports and extreme values.
#[test]
fn charts_show_all_policies() {
    let svg = render_svg(&two_policy_comparison()).unwrap();
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"));
    for text in ["counter-slips", "round-robin at 20/s", "two-choices at 10/s", "p99.9"] {
        assert!(svg.contains(text), "{text}");
    }
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("report.svg");
    write_svg(&two_policy_comparison(), &path).unwrap();
    assert_eq!(std::fs::read_to_string(path).unwrap(), svg);
    for extreme in [0.0, 1e9, 1e300, f64::INFINITY, f64::NAN] {
        render_svg(&compare([report("extreme", extreme, extreme)])).unwrap();
    }
    render_svg(&compare([])).unwrap();
}
