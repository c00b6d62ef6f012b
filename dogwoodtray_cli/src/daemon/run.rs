//! What all daemons have in common.

use std::error::Error;
use std::future::Future;
use std::io;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::Exit;

/// Threads that serve sockets. Decisions run on threads of their own.
const IO_THREADS: usize = 2;

/// Default of the log filter if `RUST_LOG` is not set.
pub(super) const LOG_FILTER: &str = "info";

/// Runs a daemon to its end and returns its exit code.
pub(super) fn run<F>(daemon: impl FnOnce() -> F) -> Exit
where
    F: Future<Output = Result<(), Box<dyn Error>>>,
{
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(LOG_FILTER)).init();
    let outcome = runtime().map_err(Into::into).and_then(|rt| rt.block_on(daemon()));
    match outcome {
        Ok(()) => Exit::Ok,
        Err(err) => {
            log::error!("{err}");
            Exit::Unreachable
        }
    }
}

fn runtime() -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(IO_THREADS).enable_all().build()
}

/// Waits for a request to stop from the operating system.
pub(super) async fn stop_requested() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
