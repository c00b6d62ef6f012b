//! Tests of links whose process is suspended for a while.

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

/// Returns the events of a listener that receives two frames, with its process blocked for `pause`
/// before it reads the second one.
fn events_around_pause(pause: Duration) -> Vec<&'static str> {
    let events = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&events);
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
        recorded.lock().unwrap().push(name);
    };
    let mut cfg = LinkConfig::new(Hello::default, sink);
    cfg.silence_deadline = SILENCE;
    // The listener and the caller share one thread, so that blocking it suspends the listener.
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
        std::thread::sleep(pause);
        while events.lock().unwrap().len() < 3 {
            tokio::task::yield_now().await;
        }
    });
    let events = events.lock().unwrap();
    events.clone()
}

/// Guards against work that is run although its sender no longer expects it: frames queue up while
/// the process is suspended, and its peers have closed the links by the time it resumes.
#[test]
fn frames_queued_past_silence_deadline_are_dropped() {
    assert_eq!(events_around_pause(Duration::ZERO), ["up", "frame", "frame"]);
    assert_eq!(events_around_pause(SILENCE * 2), ["up", "frame", "down"]);
}
