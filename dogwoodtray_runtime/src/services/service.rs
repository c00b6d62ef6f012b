//! Services, each of which runs on its own thread.

use std::fmt;
use std::io;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use dogwoodtray_coord::Timestamp;

use super::Clock;

/// Factor by which the tick interval of an idle service is longer.
const IDLE_TICK_FACTOR: u32 = 5;

/// Decision whether the thread of a service continues after an event or a tick.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Waits for the next event.
    Continue,
    /// Ends the thread.
    Stop,
}

/// Handle that sends events to a service.
pub struct Mailbox<E> {
    tx: Sender<E>,
}

impl<E> Mailbox<E> {
    /// Creates a mailbox and the receiver of its events.
    #[must_use]
    pub fn channel() -> (Self, Receiver<E>) {
        let (tx, rx) = channel::unbounded();
        (Self { tx }, rx)
    }

    /// Sends an event. Returns `false` if the service has stopped.
    pub fn send(&self, event: E) -> bool {
        self.tx.send(event).is_ok()
    }

    /// Returns the number of queued events.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tx.len()
    }

    /// Returns `true` if no event is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tx.is_empty()
    }
}

impl<E> Clone for Mailbox<E> {
    fn clone(&self) -> Self {
        Self { tx: self.tx.clone() }
    }
}

impl<E> fmt::Debug for Mailbox<E> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mailbox").field("queued", &self.tx.len()).finish()
    }
}

/// Event handler that runs on a thread of its own and handles one event at a time.
pub trait Service: Send + 'static {
    /// Type of event that the service handles.
    type Event: Send + 'static;

    /// Handles one event.
    fn on_event(&mut self, now: Timestamp, event: Self::Event) -> Flow;

    /// Runs periodic work. Called once per tick interval.
    fn on_tick(&mut self, now: Timestamp) -> Flow;

    /// Returns `true` if the service has no work in progress. Its ticks are then less frequent,
    /// because wakeups account for most of the CPU time of an idle process.
    fn is_idle(&self) -> bool {
        false
    }
}

/// Handle to the thread of a running service.
#[derive(Debug)]
pub struct ServiceHandle {
    thread: JoinHandle<()>,
}

impl ServiceHandle {
    /// Waits until the service has stopped. Returns `false` if it panicked.
    pub fn join(self) -> bool {
        self.thread.join().is_ok()
    }
}

/// Spawns a service on its own thread. `rx` is the receiver of the service's [`Mailbox`].
///
/// # Errors
///
/// Returns an error if the thread cannot be spawned.
pub fn spawn<S: Service>(
    name: &str,
    rx: Receiver<S::Event>,
    clock: Clock,
    tick: Duration,
    service: S,
) -> io::Result<ServiceHandle> {
    let thread = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || run(service, &rx, clock, tick))?;
    Ok(ServiceHandle { thread })
}

fn run<S: Service>(mut service: S, rx: &Receiver<S::Event>, clock: Clock, tick: Duration) {
    let mut next_tick = Instant::now() + tick;
    loop {
        let flow = match rx.recv_deadline(next_tick) {
            Ok(event) => service.on_event(clock.now(), event),
            Err(RecvTimeoutError::Timeout) => Flow::Continue,
            Err(RecvTimeoutError::Disconnected) => Flow::Stop,
        };
        if flow == Flow::Stop {
            return;
        }
        let now = Instant::now();
        if !service.is_idle() {
            next_tick = next_tick.min(now + tick);
        }
        if now < next_tick {
            continue;
        }
        if service.on_tick(clock.now()) == Flow::Stop {
            return;
        }
        next_tick = now + if service.is_idle() { tick * IDLE_TICK_FACTOR } else { tick };
    }
}
