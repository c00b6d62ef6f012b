//! Endpoints that answer with given bytes.

use std::cell::Cell;
use std::cell::RefCell;
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

use super::Site;
use super::raw_request::header;
use super::raw_request::read_request;

/// Endpoints of one service that answer with given bytes, one text for each request in the order of
/// arrival, and close the connection after it. `{id}` stands for the id of the request. The last
/// text is repeated.
pub(crate) struct Scripted {
    texts: Rc<RefCell<Vec<String>>>,
    /// Number of received requests.
    pub(crate) received: Rc<Cell<usize>>,
    /// Whether connections are reset instead of closed after the text.
    pub(crate) resets: Rc<Cell<bool>>,
}

impl Scripted {
    async fn start(site: &Site, service: &str, texts: &[&str]) -> Self {
        let texts = texts.iter().map(|text| (*text).to_owned()).rev().collect();
        let this = Self {
            texts: Rc::new(RefCell::new(texts)),
            received: Rc::default(),
            resets: Rc::default(),
        };
        for number in 0..2 {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let addr = listener.local_addr().unwrap();
            let (texts, received, resets) =
                (Rc::clone(&this.texts), Rc::clone(&this.received), Rc::clone(&this.resets));
            spawn_local(async move {
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    let (texts, received) = (Rc::clone(&texts), Rc::clone(&received));
                    let resets = Rc::clone(&resets);
                    spawn_local(async move {
                        let stream = answer(stream, texts, received).await;
                        if resets.get() {
                            let linger = Some(Duration::ZERO);
                            SockRef::from(&stream).set_linger(linger).unwrap();
                        }
                    });
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

/// Answers a request, and returns the connection once the answer was received.
async fn answer(
    mut stream: TcpStream,
    texts: Rc<RefCell<Vec<String>>>,
    received: Rc<Cell<usize>>,
) -> TcpStream {
    let Some(request) = read_request(&mut stream).await else { return stream };
    received.set(received.get() + 1);
    let text = {
        let mut texts = texts.borrow_mut();
        if texts.len() > 1 { texts.pop() } else { texts.last().cloned() }
    };
    let text = text.unwrap_or_default().replace("{id}", header(&request, "attempt-id"));
    // The gateway may have closed the connection.
    let _ = stream.write_all(text.as_bytes()).await;
    sleep(Duration::from_millis(20)).await;
    stream
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
