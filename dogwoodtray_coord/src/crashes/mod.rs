//! Endpoint crashes, and the contents of requests that cause them.
//!
//! A [`CrashAnalyzer`] receives the runs that ended because their endpoint crashed, from all
//! processes, and blocks the contents that they have in common. [`SoundRuns`] keeps what a process
//! knows of sound runs, which clear innocent contents. An [`EvidencePool`] holds both and exchanges
//! them with peers.

use std::time::Duration;

mod analyzer;
mod block;
mod blocklist;
mod contents;
mod crash;
mod pool;
mod run;
mod sound;
mod trial;

pub use self::analyzer::CrashAnalyzer;
pub use self::analyzer::CrashConfig;
pub use self::block::Block;
pub use self::block::CrashPattern;
pub use self::block::TrialSubject;
pub use self::blocklist::Blocklist;
pub use self::blocklist::ContentVerdict;
pub use self::contents::Contents;
pub use self::pool::Evidence;
pub use self::pool::EvidencePool;
pub use self::run::CrashedRun;
pub use self::run::RunStage;
pub use self::run::SoundRun;
pub use self::sound::SoundRuns;
pub use self::trial::TRIAL_LEASE;
pub use self::trial::TRIAL_PAUSE;
pub use self::trial::TRIAL_RENEWAL_INTERVAL;
pub use self::trial::Trial;
pub use self::trial::TrialEnd;
pub use self::trial::TrialId;
pub use self::trial::TrialLog;
pub use self::trial::TrialStage;

/// Time for which evidence about crashes is kept by default.
pub const EVIDENCE_RETENTION: Duration = Duration::from_secs(600);

/// Uncertainty of times that another process reported.
const TIME_MARGIN: Duration = Duration::from_millis(100);
