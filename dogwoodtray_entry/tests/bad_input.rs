//! Invalid input to the ports of an entry.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use dogwoodtray_config::Publication;
use dogwoodtray_config::PublicationRequest;
use dogwoodtray_config::PublicationResult;
use dogwoodtray_config::PublicationStep;
use dogwoodtray_config::parse_file;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::WriteStamp;
use dogwoodtray_entry::Entry;
use dogwoodtray_entry::EntrySettings;
use dogwoodtray_platform::HttpStore;
use dogwoodtray_platform::HttpStoreConfig;
use dogwoodtray_platform::Store;
use dogwoodtray_standin::PlatformConfig;
use dogwoodtray_standin::PlatformStandin;
use tokio::runtime::Runtime;

const READY_POLL: Duration = Duration::from_millis(20);
const MAX_POLLS: u32 = 1_000;

struct RunningEntry {
    _rt: Runtime,
    _platform: PlatformStandin,
    entry: Entry,
}

fn start() -> RunningEntry {
    start_with("")
}

/// Publishes configuration objects and starts an entry.
fn start_with(objects: &str) -> RunningEntry {
    let rt = Runtime::new().expect("a runtime");
    let (platform, entry) = rt.block_on(async {
        let platform = PlatformStandin::bind(PlatformConfig::default()).await.expect("a port");
        if !objects.is_empty() {
            publish(platform.addr(), objects).await;
        }
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let peer = TcpListener::bind(any).and_then(|l| l.local_addr()).expect("a port");
        let mut cfg = EntrySettings::new("entry", "dc", any, any, peer, platform.addr());
        cfg.max_body_bytes = 2_000;
        let entry = Entry::bind(cfg).await.expect("an entry");
        for _ in 0..MAX_POLLS {
            if entry.has_agent_links(0) {
                return (platform, entry);
            }
            tokio::time::sleep(READY_POLL).await;
        }
        panic!("the entry did not become ready");
    });
    RunningEntry { _rt: rt, _platform: platform, entry }
}

async fn publish(platform: SocketAddr, objects: &str) {
    let store = HttpStore::open(HttpStoreConfig::new(platform.to_string()));
    let edited = parse_file("objects.toml", objects).expect("valid objects");
    let stamp = WriteStamp { incarnation: Incarnation(1), seq: 1 };
    let req = PublicationRequest { base: None, edited, stamp, note: Name::from("") };
    let mut publication = Publication::new(req);
    let mut step = publication.start();
    while let PublicationStep::Call(op) = step {
        step = publication.on_reply(store.call(op).await);
    }
    assert!(matches!(step, PublicationStep::Finished(PublicationResult::Published { .. })));
}

fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(3))).expect("a timeout");
    stream.write_all(bytes).expect("sent");
    let mut answer = Vec::new();
    // The port may close the connection without an answer if the input is garbage.
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(addr: SocketAddr, path: &str, headers: &str, body: &str) -> (u16, String) {
    let length = body.len();
    let text = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n{headers}\
         content-length: {length}\r\n\r\n{body}"
    );
    let answer = exchange(addr, text.as_bytes());
    let status = answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    (status, answer)
}

/// Guards against invalid requests that are accepted in part, or refused without a specific error.
#[test]
fn callers_get_a_clear_error() {
    let running = start();
    let addr = running.entry.caller_addr();
    let chat = "/v1/chat/completions";
    let valid = r#"{"model":"m","messages":[{"role":"user","content":"x"}]}"#;
    let oversized = "x".repeat(3_000);
    let cases = [
        (chat, "", "{", 400, "bad_json"),
        (chat, "", "[]", 400, "bad_request"),
        (chat, "", r#"{"messages":[]}"#, 400, "bad_request"),
        (chat, "", r#"{"model":"m","messages":[]}"#, 400, "bad_request"),
        (chat, "", r#"{"model":"m","messages":[1],"stream":1}"#, 400, "bad_request"),
        (chat, "", r#"{"model":"m","messages":[1],"max_tokens":0}"#, 400, "bad_request"),
        (chat, "", r#"{"model":"m","messages":[1],"n":2}"#, 400, "bad_request"),
        (chat, "", oversized.as_str(), 413, "body_too_large"),
        (chat, "", valid, 404, "unknown_model"),
        (chat, "x-deadline-ms: soon\r\n", valid, 400, "bad_header"),
        (chat, "x-non-idempotent: maybe\r\n", valid, 400, "bad_header"),
        ("/v1/batches", "", r#"{"requests":[],"other":1}"#, 400, "bad_json"),
        ("/v1/batches", "", r#"{"requests":[]}"#, 400, "bad_request"),
        ("/v1/batches/none/cancel", "", "", 404, "unknown_job"),
        ("/v1/services/none/x", "", "", 404, "unknown_model"),
        ("/v1/nothing", "", "", 404, "no_such_resource"),
    ];
    for (path, headers, body, status, code) in cases {
        let (actual, answer) = post(addr, path, headers, body);
        assert_eq!(actual, status, "{path} {headers:?} {body:.60}: {answer}");
        assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{path} {body:.60}: {answer}");
        assert!(answer.contains("\"run\":\"not_run\""), "{path} {body:.60}: {answer}");
    }
}

/// Guards against a port that stops serving after it receives arbitrary bytes.
#[test]
fn garbage_does_not_stop_a_port() {
    let running = start();
    let garbage: Vec<u8> = (0..4_096u32).map(|i| (i * 7 % 251) as u8).collect();
    let ports =
        [running.entry.caller_addr(), running.entry.peer_addr(), running.entry.operator_addr()];
    for addr in ports {
        exchange(addr, &garbage);
        exchange(addr, &[0xff; 64]);
    }
    let (caller, operator) = (running.entry.caller_addr(), running.entry.operator_addr());
    for addr in [caller, operator] {
        let request = b"GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let answer = exchange(addr, request);
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// Guards against access of an organization to the job of another organization.
#[test]
fn a_job_belongs_to_its_organization() {
    let objects = r#"
        [[model]]
        name = "m"
        context_tokens = 1000
        max_output_tokens = 100
        [[version]]
        name = "m-1"
        model = "m"
        weights = "m/1"
        accelerators = 1
        [[route]]
        name = "m"
        model = "m"
        version = "m-1"
        default_deadline_ms = 1000
        organisations = ["*"]
    "#;
    let running = start_with(objects);
    let addr = running.entry.caller_addr();
    let owner = "x-organization: omuramba\r\nidempotency-key: lot-1\r\n";
    let body = r#"{"model":"m","requests":[{"custom_id":"a","body":{"messages":[1]}}]}"#;
    let (status, answer) = post(addr, "/v1/batches", owner, body);
    assert_eq!(status, 201, "{answer}");
    let id = answer.split("\"id\":\"").nth(1).and_then(|s| s.split('"').next()).expect("an id");
    let cancel = format!("/v1/batches/{id}/cancel");
    let (status, answer) = post(addr, &cancel, "x-organization: borduurhuis\r\n", "");
    assert_eq!(status, 404, "{answer}");
    let (status, answer) = post(addr, &cancel, "x-organization: omuramba\r\n", "");
    assert_eq!(status, 200, "{answer}");
}
