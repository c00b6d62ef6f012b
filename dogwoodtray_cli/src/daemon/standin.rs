//! Stand-in daemon.

use std::error::Error;

use dogwoodtray_standin::EngineConfig;
use dogwoodtray_standin::EngineStandin;
use dogwoodtray_standin::PlatformConfig;
use dogwoodtray_standin::PlatformStandin;
use dogwoodtray_standin::ServiceConfig;
use dogwoodtray_standin::ServiceStandin;

use super::run::run;
use super::run::shutdown_signal;
use crate::Exit;
use crate::settings::EngineStandinSettings;
use crate::settings::PlatformStandinSettings;
use crate::settings::ServiceStandinSettings;
use crate::settings::StandinSettings;

/// Runs a stand-in until a signal stops it.
pub fn run_standin(settings: StandinSettings) -> Exit {
    run(|| serve(settings))
}

async fn serve(settings: StandinSettings) -> Result<(), Box<dyn Error>> {
    match settings {
        StandinSettings::Engine(settings) => serve_engine(settings).await,
        StandinSettings::Service(settings) => serve_service(settings).await,
        StandinSettings::Platform(settings) => serve_platform(settings).await,
    }
}

async fn serve_engine(settings: EngineStandinSettings) -> Result<(), Box<dyn Error>> {
    let mut cfg = EngineConfig::default()
        .addr(settings.listen)
        .models(settings.models.iter().map(ToString::to_string))
        .check_fence(settings.checks_fence);
    cfg.base = settings.step;
    let engine = EngineStandin::bind(cfg).await?;
    log::info!("engine stand-in listening on {}", engine.addr());
    shutdown_signal().await?;
    Ok(())
}

async fn serve_service(settings: ServiceStandinSettings) -> Result<(), Box<dyn Error>> {
    let mut cfg = ServiceConfig::default().addr(settings.listen);
    cfg.delay = settings.step;
    let service = ServiceStandin::bind(cfg).await?;
    log::info!("service stand-in listening on {}", service.addr());
    shutdown_signal().await?;
    Ok(())
}

async fn serve_platform(settings: PlatformStandinSettings) -> Result<(), Box<dyn Error>> {
    let cfg = PlatformConfig::default()
        .addr(settings.listen)
        .rates(f64::from(settings.reads_per_s), f64::from(settings.writes_per_s));
    let platform = PlatformStandin::bind(cfg).await?;
    log::info!("platform stand-in listening on {}", platform.addr());
    shutdown_signal().await?;
    Ok(())
}
