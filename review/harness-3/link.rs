//! Link between a worker and all machines, which can be cut. It holds back what is sent while it is cut,
//! ends of connections too, and passes it on afterwards. It can also vanish for good.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::thread::spawn;
use std::time::Duration;

use crate::cluster::Outcome;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

#[derive(Clone)]
pub struct Link {
    listener: Arc<TcpListener>,
    is_cut: Arc<AtomicBool>,
    is_gone: Arc<AtomicBool>,
}

impl Link {
    /// Listens at `addr` and connects to `target` for each connection.
    pub fn start(addr: &str, target: &str) -> Outcome<Self> {
        let listener = TcpListener::bind(addr)?;
        let link =
            Self { listener: Arc::new(listener), is_cut: Arc::default(), is_gone: Arc::default() };
        let (accepting, target) = (link.clone(), target.to_owned());
        spawn(move || {
            for stream in accepting.listener.incoming().flatten() {
                if accepting.is_gone.load(Ordering::SeqCst) {
                    return;
                }
                let (link, target) = (accepting.clone(), target.clone());
                spawn(move || link.join(&stream, &target));
            }
        });
        Ok(link)
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }

    /// From now on, the address does not respond: the opening packet of a connection gets no answer. Returns
    /// the connections that fill the queue of the listener, which are to be kept.
    pub fn vanish(&self) -> Outcome<Vec<TcpStream>> {
        let addr = self.listener.local_addr()?;
        self.is_gone.store(true, Ordering::SeqCst);
        // SAFETY: plain system call on an open socket, which shortens its queue.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        // The first one ends the thread that accepts.
        let mut kept = vec![TcpStream::connect(addr)?];
        sleep(Duration::from_millis(20));
        while let Ok(stream) = TcpStream::connect_timeout(&addr, Duration::from_millis(50)) {
            kept.push(stream);
        }
        Ok(kept)
    }

    fn wait_while_cut(&self) {
        while self.is_cut.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(2));
        }
    }

    fn join(&self, near: &TcpStream, target: &str) {
        self.wait_while_cut();
        let Ok(far) = TcpStream::connect(target) else { return };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let (Ok(near_in), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { return };
        let link = self.clone();
        let there = spawn(move || link.copy(near_in, far_out));
        if let (Ok(far_in), Ok(near_out)) = (far.try_clone(), near.try_clone()) {
            self.copy(far_in, near_out);
        }
        let _ = far.shutdown(Shutdown::Both);
        let _ = near.shutdown(Shutdown::Both);
        let _ = there.join();
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 4096];
        loop {
            let read = from.read(&mut buf);
            self.wait_while_cut();
            match read {
                Ok(count) if count > 0 && to.write_all(&buf[..count]).is_ok() => {}
                _ => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}
