//! Endpoints that answer with given bytes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use dogwoodtray_gateway::Gateway;
use dogwoodtray_gateway::JobDriver;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::EarlyEnd;
use super::Site;
use super::free_addr;
use super::raw_request::header;
use super::raw_request::read_head;
use super::raw_request::read_rest;

/// Endpoints of one service that answer with given bytes, one text for each request in the order of
/// arrival, and close the connection after it. `{id}` stands for the id of the request. The last
/// text is repeated.
#[derive(Clone, Default)]
pub(crate) struct Scripted {
    texts: Rc<RefCell<Vec<String>>>,
    /// Number of received requests.
    pub(crate) received: Rc<Cell<usize>>,
    /// Whether connections are reset instead of closed after the text.
    pub(crate) resets: Rc<Cell<bool>>,
    /// Ends of the next answers, for each of which `None` stands for an answer to the whole request.
    early_ends: Rc<RefCell<VecDeque<Option<EarlyEnd>>>>,
}

impl Scripted {
    pub(crate) async fn start(site: &Site, service: &str, texts: &[&str]) -> Self {
        let this = Self::default();
        this.set(texts);
        for number in 0..2 {
            let listener = TcpListener::bind(free_addr()).await.unwrap();
            let addr = listener.local_addr().unwrap();
            let script = this.clone();
            spawn_local(async move {
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    let script = script.clone();
                    spawn_local(async move { script.answer(stream).await });
                }
            });
            site.register_raw(&format!("{service}{number}"), service, addr);
        }
        this
    }

    /// Replaces the texts for the next requests.
    pub(crate) fn set(&self, texts: &[&str]) {
        *self.texts.borrow_mut() = texts.iter().map(|text| (*text).to_owned()).rev().collect();
        self.received.set(0);
        self.early_ends.borrow_mut().clear();
    }

    /// Sets how the answers to the next requests end.
    pub(crate) fn end_early(&self, ends: impl IntoIterator<Item = Option<EarlyEnd>>) {
        *self.early_ends.borrow_mut() = ends.into_iter().collect();
    }

    /// Answers a request, and closes or resets the connection once the answer was received.
    async fn answer(&self, mut stream: TcpStream) {
        let Some(received) = read_head(&mut stream).await else { return };
        let early_end = self.early_ends.borrow_mut().pop_front().flatten();
        let request = match early_end {
            Some(_) => String::from_utf8_lossy(&received).to_lowercase(),
            None => match read_rest(&mut stream, received).await {
                Some(request) => request,
                None => return,
            },
        };
        self.received.set(self.received.get() + 1);
        let text = {
            let mut texts = self.texts.borrow_mut();
            if texts.len() > 1 { texts.pop() } else { texts.last().cloned() }
        };
        let text = text.unwrap_or_default().replace("{id}", header(&request, "attempt-id"));
        // The gateway may have closed the connection.
        let _ = stream.write_all(text.as_bytes()).await;
        if let Some(end) = early_end {
            return end.play(stream).await;
        }
        sleep(Duration::from_millis(20)).await;
        if self.resets.get() {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    }
}

/// Site with a driver, a gateway, and scripted endpoints of both services.
pub(crate) struct ScriptedFleet {
    pub(crate) site: Site,
    pub(crate) engines: Scripted,
    pub(crate) ledgers: Scripted,
    _driver: JobDriver,
    _gateway: Gateway,
}

impl ScriptedFleet {
    pub(crate) async fn start() -> Self {
        let site = Site::new();
        let engines = Scripted::start(&site, "engine", &[""]).await;
        let ledgers = Scripted::start(&site, "ledger", &[""]).await;
        let driver = site.start_driver("d1").await;
        let gateway = site.start_gateway().await;
        Self { site, engines, ledgers, _driver: driver, _gateway: gateway }
    }
}

/// Returns a head with a status, up to the empty line.
pub(crate) fn head(status: u16) -> String {
    format!("HTTP/1.1 {status} X\r\nattempt-id: {{id}}\r\nserver-stamp: s1\r\n")
}

/// Returns a stream in which these events arrive and, if `is_whole`, its end.
pub(crate) fn stream(events: std::ops::RangeInclusive<u64>, is_whole: bool) -> String {
    let mut text = head(200) + "transfer-encoding: chunked\r\n\r\n";
    for event in events {
        let event = format!("id: {event}\ndata: e{event}\n\n");
        text += &format!("{:x}\r\n{event}\r\n", event.len());
    }
    if is_whole { text + "0\r\n\r\n" } else { text }
}

/// Returns an answer with a status and a short text.
pub(crate) fn error(status: u16) -> String {
    head(status) + "content-length: 6\r\n\r\nbroken"
}
