//! Test of the addresses of local fleets.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use dogwoodtray_cli::local::Fleet;
use dogwoodtray_cli::local::FleetConfig;
use futures_util::future::join_all;

/// Number of fleets that start at the same time.
const FLEETS: usize = 12;

/// Number of rounds.
const ROUNDS: usize = 5;

/// Guards against fleets that do not start because another one, or an outgoing connection, took a port
/// between the time at which it was found free and the time at which it was bound.
#[tokio::test(flavor = "multi_thread")]
async fn fleets_that_start_at_the_same_time_take_no_port_of_each_other() {
    for round in 0..ROUNDS {
        let starts = (0..FLEETS).map(|_| {
            tokio::spawn(async {
                let cfg = FleetConfig { entries: 1, endpoints: 1, ..FleetConfig::default() };
                Fleet::start(&cfg).await.map(drop).map_err(|err| err.to_string())
            })
        });
        for started in join_all(starts).await {
            assert_eq!(started.unwrap(), Ok(()), "round {round}");
        }
    }
}
