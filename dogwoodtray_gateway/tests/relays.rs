//! Gateways that relay for each other.
//!
//! The only test of its file, because it reads the counters of the whole process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use dogwoodtray_runtime::install_metrics;
use hyper::StatusCode;
use support::Site;
use support::free_addr;
use support::local;
use support::until;
use tokio::time::sleep;

/// Frames that two gateways may exchange in the time of the test: heartbeats, greetings and some
/// lists of endpoints.
const MAX_FRAMES: u64 = 200;

fn frames() -> u64 {
    let text = install_metrics().render();
    let lines = text.lines().filter(|line| line.starts_with("dogwoodtray_link_frames_total"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Guards against lists of endpoints and news of jobs that two gateways which have dialled each
/// other send back and forth for ever, which filled the memory of their VMs.
#[test]
fn what_was_relayed_goes_no_further() {
    local(async {
        install_metrics();
        let site = Site::new();
        let endpoint = site.add_endpoint("a", "engine", 4).await;
        let nowhere = free_addr();
        let driver = format!(r#"{{"role":"driver","address":"{nowhere}","incarnation":1}}"#);
        site.store.put("nodes", "d1", &driver);
        let _near = site.start_gateway().await;
        let far = site.start_cut_gateway().await;
        far.store.set_down(false);
        far.store.put("servers", "a", &endpoint.entry("ready"));
        until("the other gateway is known", || far.store.spec("nodes", "g2").is_some()).await;
        site.store.put("nodes", "g2", &far.store.spec("nodes", "g2").unwrap());
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
