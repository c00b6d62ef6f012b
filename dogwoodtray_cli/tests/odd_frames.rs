//! Test of an entry and an agent whose peers send frames that no sound process sends.
//!
//! It is the only test in its file, because it counts the panics of the whole process.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[path = "../../dogwoodtray_wire/tests/odd_frames/mod.rs"]
#[allow(dead_code, reason = "the tests of the decoder use the rest")]
mod frames;
#[allow(dead_code, reason = "the tests of broken answers use the rest")]
mod http_1_0;
#[path = "../../dogwoodtray_wire/tests/odd_frames/peer.rs"]
mod peer;

use std::time::Duration;

use dogwoodtray_cli::local::Fleet;
use dogwoodtray_cli::local::FleetConfig;
use dogwoodtray_coord::Name;
use dogwoodtray_standin::Vm;
use dogwoodtray_standin::VmRole;
use dogwoodtray_wire::messages::Hello;
use dogwoodtray_wire::messages::Role;
use frames::odd_frame;
use http_1_0::post_chat;
use peer::count_panics;
use peer::panics;
use peer::send_frames;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Number of frames on each link.
const FRAMES: usize = 400;

/// Number of requests after the odd frames, one of which is served.
const MAX_ATTEMPTS: usize = 20;

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const NAMES: [&str; 9] =
    ["", "agent-0", "agent-9", "entry-0", "standin", "POST", "/v1", "once/1", "127.0.0.1:9"];

/// Sends odd frames on a link.
async fn send_odd_frames(stream: TcpStream, role: Role, seed: u64) {
    let hello = Hello {
        node: "agent-9".to_owned(),
        incarnation: seed,
        role: role.into(),
        models: vec!["other".to_owned()],
        ..Hello::default()
    };
    let mut rng = StdRng::seed_from_u64(seed);
    let frames = (0..FRAMES).map(|_| odd_frame(&mut rng, &NAMES));
    send_frames(stream, hello, frames).await;
}

/// Sends odd frames to all processes that dial an agent.
async fn serve_as_agent(listener: TcpListener) {
    for seed in 100.. {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::spawn(send_odd_frames(stream, Role::Agent, seed));
    }
}

/// Guards against frames that stop an entry or an agent, or one of its services.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn odd_frames_of_peers_stop_nothing() {
    count_panics();
    let cfg = FleetConfig { entries: 1, endpoints: 1, ..FleetConfig::default() };
    let fleet = Fleet::start(&cfg).await.unwrap();
    let mut seed = 0;
    for peer in [fleet.entries[0].peer_addr(), fleet.agents[0].peer_addr()] {
        for role in [Role::Entry, Role::Agent, Role::Unspecified] {
            seed += 1;
            let stream = TcpStream::connect(peer).await.unwrap();
            send_odd_frames(stream, role, seed).await;
            assert_eq!(panics(), 0, "link as {role:?}");
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let odd_agent = tokio::spawn(serve_as_agent(listener));
    let vm = Vm::live(Name::from("agent-9"), VmRole::Agent, addr, Name::from("dc-a"));
    fleet.platform.set_vm(vm);
    sleep(Duration::from_secs(5)).await;
    odd_agent.abort();
    assert_eq!(panics(), 0, "links to an agent");
    let mut answer = String::new();
    for _ in 0..MAX_ATTEMPTS {
        let call = post_chat(fleet.caller_addrs()[0], 4_000);
        answer = timeout(WAIT_TIMEOUT, call).await.unwrap();
        if answer.starts_with("HTTP/1.0 200") {
            break;
        }
        sleep(Duration::from_millis(500)).await;
    }
    assert!(answer.starts_with("HTTP/1.0 200"), "{answer}");
    assert_eq!(panics(), 0, "after the odd frames");
}
