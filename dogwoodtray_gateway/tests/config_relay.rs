//! Test of the bytes that a large configuration costs on the links.
//!
//! It is the only test in its file, because it reads the metrics of the whole process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use dogwoodtray_runtime::install_metrics;
use hyper::StatusCode;
use support::Site;
use support::config;
use support::run_local;
use support::wait_until;

const DRIVERS: [&str; 6] = ["d1", "d2", "d3", "d4", "d5", "d6"];

/// Number of routes that are added; about 300 kB.
const ROUTES: usize = 1_000;

/// Returns the bytes that were sent on all links of this process.
fn sent_bytes() -> usize {
    let text = install_metrics().render();
    let lines = text.lines().filter(|line| line.starts_with("dogwoodtray_link_bytes_total"));
    let sent = lines.filter(|line| line.contains("out") || line.contains("sent"));
    sent.filter_map(|line| line.rsplit(' ').next()?.parse::<usize>().ok()).sum()
}

fn large_config(version: u64) -> String {
    let route = |number: usize| {
        format!(
            r#"{{"name":"extra-{number}","host":"site.example","path-prefix":"/extra-{number}/",
            "route-kind":"idempotent","timeout-ms":5000,"latency-goal-ms":300,"priority":0,
            "service":"ledger","max-attempts":2,"sticky":false,"padding":"{:0>100}"}},"#,
            number
        )
    };
    let routes: String = (0..ROUTES).map(route).collect();
    config(version).replacen(r#""routes":["#, &format!(r#""routes":[{routes}"#), 1)
}

/// Guards against a configuration that each driver sends to each process, which keeps the links of
/// small VMs busy for more than a second; and against a process that never gets it.
#[test]
fn a_configuration_is_sent_once_to_each_process() {
    run_local(async {
        install_metrics();
        let site = Site::new();
        let _endpoint = site.add_endpoint("e1", "ledger", 4).await;
        let mut drivers = Vec::new();
        for name in DRIVERS {
            drivers.push(site.start_driver(name).await);
        }
        let _gateway = site.start_gateway().await;
        wait_until("the links are up", || sent_bytes() > 0).await;
        // Drivers that do not know each other yet all relay; they do after two heartbeats.
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        let text = large_config(2);
        let before = sent_bytes();
        site.store.put("config", "main", &text);
        for attempt in 0.. {
            let path = format!("/extra-{}/x", ROUTES - 1);
            if site.post(&path, &format!("r{attempt}"), "").await.status == StatusCode::OK {
                break;
            }
            assert!(attempt < 500, "the new route is not served");
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        tokio::time::sleep(std::time::Duration::from_secs(2)).await;
        let sent = sent_bytes() - before;
        let processes = DRIVERS.len() + 1;
        assert!(
            sent < text.len() * processes * 3 / 2,
            "{sent} bytes sent for a configuration of {} bytes and {processes} processes",
            text.len()
        );
        assert!(sent > text.len(), "the counter of sent bytes does not count");
    });
}
