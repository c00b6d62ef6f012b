//! TCP proxy whose open connections can go silent for good, while new ones work.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use crate::http;

/// A proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    /// Connections that were accepted in an earlier epoch are silent.
    epoch: Arc<AtomicU64>,
}

impl Proxy {
    /// Starts a proxy that forwards to an address.
    pub fn start(target: SocketAddr) -> Self {
        let listener = http::bind();
        let proxy =
            Self { addr: listener.local_addr().expect("a bound address"), epoch: Arc::default() };
        let this = proxy.clone();
        http::serve(listener, move |stream| this.forward(stream, target));
        proxy
    }

    /// Makes all open connections silent: what is sent on them from now on is lost.
    pub fn silence(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
    }

    fn forward(&self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = near.set_nodelay(true);
        let _ = far.set_nodelay(true);
        let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
        let is_ended = Arc::new(AtomicBool::new(false));
        let born = self.epoch.load(Ordering::SeqCst);
        let (this, ended) = (self.clone(), Arc::clone(&is_ended));
        thread::spawn(move || this.pump(near_copy, far_copy, born, &ended));
        self.pump(far, near, born, &is_ended);
    }

    /// Copies bytes until the connection ends or goes silent. The end of a silent connection is lost
    /// like its bytes.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, born: u64, is_ended: &AtomicBool) {
        let mut buf = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buf).unwrap_or(0);
            let is_silent = self.epoch.load(Ordering::SeqCst) != born;
            if read == 0 && (!is_silent || is_ended.swap(true, Ordering::SeqCst)) {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
            if read == 0 {
                return;
            }
            if !is_silent && to.write_all(&buf[..read]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
