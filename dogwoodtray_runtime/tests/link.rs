//! Links whose process stands still.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use dogwoodtray_runtime::LinkConfig;
use dogwoodtray_runtime::LinkEvent;
use dogwoodtray_runtime::LinkListener;
use dogwoodtray_wire::FrameCodec;
use dogwoodtray_wire::messages::Cancel;
use dogwoodtray_wire::messages::Frame;
use dogwoodtray_wire::messages::Hello;
use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

const SILENCE: Duration = Duration::from_millis(300);

/// Returns what a listener sees of two frames, between which its process stands still.
fn events_around_a_stop(stop: Duration) -> Vec<&'static str> {
    let events = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&events);
    let handle = Mutex::new(None);
    let sink = move |event| {
        let name = match event {
            LinkEvent::Up { link, .. } => {
                *handle.lock().unwrap() = Some(link);
                "up"
            }
            LinkEvent::Frame { .. } => "frame",
            LinkEvent::Down { .. } => "down",
        };
        seen.lock().unwrap().push(name);
    };
    let mut cfg = LinkConfig::new(Hello::default, sink);
    cfg.silence_deadline = SILENCE;
    // One thread serves the listener and the caller, so that blocking it stops the listener.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = LinkListener::bind(any, cfg).await.unwrap();
        let stream = TcpStream::connect(listener.addr()).await.unwrap();
        let mut caller = Framed::new(stream, FrameCodec::new());
        caller.send(Frame::from(Hello::default())).await.unwrap();
        caller.next().await.unwrap().unwrap();
        caller.send(Frame::from(Cancel::default())).await.unwrap();
        while events.lock().unwrap().len() < 2 {
            tokio::task::yield_now().await;
        }
        caller.send(Frame::from(Cancel::default())).await.unwrap();
        std::thread::sleep(stop);
        while events.lock().unwrap().len() < 3 {
            tokio::task::yield_now().await;
        }
    });
    let events = events.lock().unwrap();
    events.clone()
}

/// Guards against a process that was stopped, wakes, and runs work that queued up on links which
/// its peers have given up.
#[test]
fn frames_of_a_link_that_was_given_up_are_not_read() {
    assert_eq!(events_around_a_stop(Duration::ZERO), ["up", "frame", "frame"]);
    assert_eq!(events_around_a_stop(SILENCE * 2), ["up", "frame", "down"]);
}
