//! Test of two gateways that relay for each other.
//!
//! It is the only test in its file, because it reads the metrics of the whole process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use dogwoodtray_runtime::install_metrics;
use hyper::StatusCode;
use support::Site;
use support::free_addr;
use support::run_local;
use support::wait_until;
use tokio::time::sleep;

/// Maximum number of frames that two gateways exchange during the test: heartbeats, hellos and a
/// few endpoint lists.
const MAX_FRAMES: u64 = 200;

/// Returns the number of frames on all links of this process.
fn frames() -> u64 {
    let text = install_metrics().render();
    let lines = text.lines().filter(|line| line.starts_with("dogwoodtray_link_frames_total"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Guards against relay loops. Two gateways that had dialed each other relayed endpoint lists and
/// job messages back and forth without end, which exhausted the memory of their VMs.
#[test]
fn relayed_messages_are_not_relayed_again() {
    run_local(async {
        install_metrics();
        let site = Site::new();
        let endpoint = site.add_endpoint("a", "engine", 4).await;
        let unused_addr = free_addr();
        let driver = format!(r#"{{"role":"driver","address":"{unused_addr}","incarnation":1}}"#);
        site.store.put("nodes", "d1", &driver);
        let _connected = site.start_gateway().await;
        let isolated = site.start_isolated_gateway().await;
        isolated.store.set_down(false);
        isolated.store.put("servers", "a", &endpoint.entry("ready"));
        wait_until("the other gateway is known", || isolated.store.spec("nodes", "g2").is_some())
            .await;
        site.store.put("nodes", "g2", &isolated.store.spec("nodes", "g2").unwrap());
        sleep(Duration::from_secs(3)).await;
        assert_eq!(site.delete("/api/lots/j1").await.status, StatusCode::OK);
        let accepted = site.post("/job/x", "j2", &support::submission(&["i"])).await;
        assert_eq!(accepted.status, StatusCode::ACCEPTED);
        sleep(Duration::from_secs(1)).await;
        let frames = frames();
        assert!(frames > 0, "the gateways have no link");
        assert!(frames < MAX_FRAMES, "{frames} frames");
    });
}
