//! The `status` subcommand.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde_json::json;

use super::options::ProcessOptions;
use super::report::Failure;
use super::report::Report;
use crate::Exit;
use crate::admin;
use crate::admin::Peer;
use crate::admin::Status;

pub(super) fn run(options: &ProcessOptions) -> Result<Report, Failure> {
    let mut statuses = Vec::new();
    let mut errors = Vec::new();
    let mut exit = Exit::Ok;
    for addr in &options.addrs {
        match admin::status(*addr) {
            Ok(status) => statuses.push(status),
            Err(err) => {
                let failure = Failure::from(err);
                exit = failure.exit;
                errors.push(failure.message);
            }
        }
    }
    statuses.sort_by(|a, b| a.node.cmp(&b.node));
    let peers = other_peers(&statuses);
    let json = json!({ "processes": statuses, "peers": peers, "errors": errors });
    let report = Report::new(exit, json)
        .line(row(["NODE", "ROLE", "DATA CENTRE", "GENERATION", "STATE", "JOBS", "ATTEMPTS"]))
        .lines(statuses.iter().map(status_row))
        .lines(peers.iter().map(peer_row))
        .line(summary(&statuses, &peers));
    Ok(report.lines(errors.iter().map(|error| format!("error: {error}"))))
}

/// Returns the peers that were not queried directly. If several processes report a peer, the report
/// with the highest generation is the latest, because the generation of a process never decreases.
fn other_peers(statuses: &[Status]) -> Vec<Peer> {
    let queried: BTreeSet<&str> = statuses.iter().map(|status| status.node.as_str()).collect();
    let mut peers: BTreeMap<&str, &Peer> = BTreeMap::new();
    for peer in statuses.iter().flat_map(|status| &status.peers) {
        let latest = peers.entry(&peer.node).or_insert(peer);
        if peer.generation > latest.generation {
            *latest = peer;
        }
    }
    peers
        .into_iter()
        .filter(|(node, _)| !queried.contains(node))
        .map(|(_, peer)| peer.clone())
        .collect()
}

fn row(cells: [&str; 7]) -> String {
    let [node, role, data_centre, generation, state, jobs, attempts] = cells;
    let line = format!(
        "{node:<20} {role:<6} {data_centre:<14} {generation:>10}  {state:<9} {jobs:>6} {attempts:>8}"
    );
    line.trim_end().to_owned()
}

fn status_row(status: &Status) -> String {
    let state = match (status.leaving, status.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    let generation = status.generation.to_string();
    let jobs = status.jobs_open.to_string();
    let attempts = status.attempts.to_string();
    row([&status.node, &status.role, &status.data_centre, &generation, state, &jobs, &attempts])
}

fn peer_row(peer: &Peer) -> String {
    row([&peer.node, "peer", "", &peer.generation.to_string(), &peer.state, "", ""])
}

fn summary(statuses: &[Status], peers: &[Peer]) -> String {
    let queried = statuses.iter().map(|status| (status.node.as_str(), status.generation));
    let reported = peers.iter().map(|peer| (peer.node.as_str(), peer.generation));
    let all: Vec<(&str, u64)> = queried.chain(reported).collect();
    let newest = all.iter().map(|(_, generation)| *generation).max().unwrap_or(0);
    let stale: Vec<&str> =
        all.iter().filter(|(_, generation)| *generation < newest).map(|(node, _)| *node).collect();
    let current = all.len() - stale.len();
    let summary = format!("generation {newest} is in force on {current} of {}", all.len());
    if stale.is_empty() { summary } else { format!("{summary}; behind: {}", stale.join(", ")) }
}
