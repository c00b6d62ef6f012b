//! Runtime, logging and signal handling of the daemons.

use std::error::Error;
use std::future::Future;
use std::io;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::Exit;

/// Number of threads for socket I/O. Decisions run on separate threads.
const IO_THREADS: usize = 2;

/// Log filter if `RUST_LOG` is not set.
pub(super) const DEFAULT_LOG_FILTER: &str = "info";

/// Runs a daemon until it finishes and returns its exit code.
pub(super) fn run<F>(daemon: impl FnOnce() -> F) -> Exit
where
    F: Future<Output = Result<(), Box<dyn Error>>>,
{
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER))
        .init();
    let outcome = build_runtime().map_err(Into::into).and_then(|rt| rt.block_on(daemon()));
    match outcome {
        Ok(()) => Exit::Ok,
        Err(err) => {
            log::error!("{err}");
            Exit::Unreachable
        }
    }
}

fn build_runtime() -> io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(IO_THREADS).enable_all().build()
}

/// Waits for `SIGTERM` or `SIGINT`.
pub(super) async fn shutdown_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
