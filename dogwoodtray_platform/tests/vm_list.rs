//! Tests of the platform's list of VMs with entries of another writer.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use dogwoodtray_platform::HttpStore;
use dogwoodtray_platform::HttpStoreConfig;
use dogwoodtray_platform::Store;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Depth of a nested entry.
const DEPTH: usize = 100_000;

/// Returns the names in a list that consists of these entries.
async fn listed(entries: &[String]) -> Option<Vec<String>> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = HttpStore::open(HttpStoreConfig::new(listener.local_addr().unwrap().to_string()));
    let body = format!(r#"{{"vms":[{}]}}"#, entries.join(","));
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut request).await.unwrap();
        }
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all((head + &body).as_bytes()).await.unwrap();
    });
    let vms = store.vms().await?;
    Some(vms.iter().map(|vm| vm.name.to_string()).collect())
}

/// Guards against a process that stops following the list, or dials a VM that is none, because of one
/// odd entry.
#[tokio::test]
async fn odd_entries_name_no_vm_and_the_others_hold() {
    let vm = |name: &str, addr: &str| {
        format!(
            r#"{{"name":"{name}","role":"agent","addr":"{addr}","data_centre":"a","state":"live"}}"#
        )
    };
    let nested = "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let sound = [vm("a", "10.0.0.1:80"), vm("b", "10.0.0.2:80")];
    let odd = [
        vm("x", "10.0.0.3:99999"),
        vm("x", "10.0.0.3:0"),
        vm("x", "0.0.0.0:80"),
        vm("x", "host:80"),
        vm("", "10.0.0.3:80"),
        vm("x", "10.0.0.3:80").replace("live", "asleep"),
        vm("x", "10.0.0.3:80").replace("\"agent\"", "7"),
        vm("x", "10.0.0.3:80").replace("\"agent\"", &nested),
        nested,
        // Bytes that cannot be read.
        vm("x\u{1}\u{2}", "10.0.0.3:80"),
        vm("x\\\u{1}", "10.0.0.3:80"),
        "null".to_owned(),
        "1e999".to_owned(),
    ];
    for odd in odd {
        let shown: String = odd.chars().take(80).collect();
        let names = listed(&[sound[0].clone(), odd, sound[1].clone()]).await;
        assert_eq!(names.as_deref(), Some(&["a".to_owned(), "b".to_owned()][..]), "{shown}");
    }
}
