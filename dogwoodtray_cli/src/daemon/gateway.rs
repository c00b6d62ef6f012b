//! Gateway and driver daemons.

use std::error::Error;
use std::future::Future;
use std::io;
use std::sync::Arc;

use dogwoodtray_adapter::SiteDialect;
use dogwoodtray_adapter::SiteObjects;
use dogwoodtray_gateway::Gateway;
use dogwoodtray_gateway::JobDriver;
use dogwoodtray_gateway::NodeConfig;
use dogwoodtray_gateway::NodeRole;
use dogwoodtray_runtime::LogWriter;
use env_logger::Target;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

use super::run::DEFAULT_LOG_FILTER;
use super::run::shutdown_signal;
use crate::Exit;
use crate::settings::DriverSettings;
use crate::settings::GatewaySettings;
use crate::settings::NodeSettings;

/// Runs a gateway until a signal stops it.
pub fn run_gateway(settings: GatewaySettings) -> Exit {
    run(async move {
        let cfg = node_config(&settings.node, NodeRole::Gateway);
        let store = Arc::new(SiteObjects::open(settings.node.platform));
        let dialect = Arc::new(SiteDialect::new());
        let gateway =
            Gateway::bind(cfg, settings.listen, settings.readiness, dialect, store).await?;
        shutdown_signal().await?;
        gateway.drain().await;
        Ok(())
    })
}

/// Runs a driver until a signal stops it.
pub fn run_driver(settings: DriverSettings) -> Exit {
    run(async move {
        let cfg = node_config(&settings.node, NodeRole::Driver);
        let store = Arc::new(SiteObjects::open(settings.node.platform));
        let driver = JobDriver::bind(cfg, Arc::new(SiteDialect::new()), store).await?;
        shutdown_signal().await?;
        driver.drain().await;
        Ok(())
    })
}

fn node_config(settings: &NodeSettings, role: NodeRole) -> NodeConfig {
    NodeConfig {
        node: settings.node.clone(),
        role,
        data_centre: settings.data_centre.clone(),
        peer: settings.peer,
        admin: settings.admin,
        grace: settings.grace,
        results_kept: settings.results_kept,
        buffer_bytes: buffer_bytes(settings.memory_mb),
        revocation: settings.revocation,
        config_apply: settings.config_apply,
        limit_tolerance: settings.limit_tolerance,
    }
}

/// Returns the limit of the buffers of all requests, a quarter of the memory. The rest is for copies
/// of their content, for the buffers of connections, and for the state of the process.
fn buffer_bytes(memory_mb: u32) -> usize {
    usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1 << 20) / 4
}

/// Runs a daemon on a single thread. The VM has a fraction of a core, so a second thread would only
/// add wake-ups.
fn run(daemon: impl Future<Output = Result<(), Box<dyn Error>>>) -> Exit {
    let outcome = init_stdout_log()
        .and_then(|()| Builder::new_current_thread().enable_all().build())
        .map_err(Into::into)
        .and_then(|runtime| {
            LocalSet::new().block_on(&runtime, async {
                // Settings come from flags and the environment, which a reload does not change.
                let mut reload = signal(SignalKind::hangup())?;
                tokio::task::spawn_local(async move {
                    while reload.recv().await.is_some() {
                        log::info!("reload requested; settings are only read at startup");
                    }
                });
                daemon.await
            })
        });
    match outcome {
        Ok(()) => Exit::Ok,
        Err(err) => {
            eprintln!("{err}");
            Exit::Unreachable
        }
    }
}

fn init_stdout_log() -> io::Result<()> {
    let writer = LogWriter::spawn(io::stdout())?;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(DEFAULT_LOG_FILTER))
        .format_timestamp_millis()
        .target(Target::Pipe(Box::new(writer)))
        .init();
    Ok(())
}
