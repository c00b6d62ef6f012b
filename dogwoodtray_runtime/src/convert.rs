//! Conversions between wire messages and coordination types, shared by all roles.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::Block;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Contents;
use dogwoodtray_coord::CrashPattern;
use dogwoodtray_coord::CrashedRun;
use dogwoodtray_coord::Evidence;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_coord::RunStage;
use dogwoodtray_coord::Timestamp;
use dogwoodtray_coord::Trial;
use dogwoodtray_coord::TrialId;
use dogwoodtray_coord::TrialLog;
use dogwoodtray_coord::TrialStage;
use dogwoodtray_wire::messages;

/// Maximum number of pieces of evidence in one frame; about 20 KB.
const MAX_EVIDENCE_PER_FRAME: usize = 256;

/// Converts an attempt id from its wire message. Returns `None` if the field is not set.
#[must_use]
pub fn attempt_from_wire(id: Option<messages::AttemptId>) -> Option<AttemptId> {
    let id = id?;
    Some(AttemptId { incarnation: Incarnation(id.incarnation), counter: id.counter })
}

/// Converts an attempt id to its wire message.
#[must_use]
pub const fn attempt_to_wire(id: AttemptId) -> Option<messages::AttemptId> {
    Some(messages::AttemptId { incarnation: id.incarnation.0, counter: id.counter })
}

/// Creates the message that carries a configuration snapshot or the changes to one.
#[must_use]
pub fn config_set(generation: Generation, bytes: &[u8]) -> messages::ConfigSet {
    let snapshot = Bytes::copy_from_slice(bytes);
    messages::ConfigSet { generation: generation.0, snapshot }
}

/// Converts evidence about crashes to the frames that carry it. `now` is the current time of this
/// process.
pub fn evidence_to_wire(
    now: Timestamp,
    evidence: &[Evidence],
) -> impl Iterator<Item = messages::EvidenceSet> {
    evidence.chunks(MAX_EVIDENCE_PER_FRAME).map(move |evidence| {
        let mut set = messages::EvidenceSet::default();
        for evidence in evidence {
            match evidence {
                Evidence::Crash(run) => set.crashes.push(crash_report(now, run)),
                Evidence::Block(block) => set.blocked.push(block_to_wire(now, block)),
                Evidence::Cleared { content, at } => set.cleared.push(messages::ClearedContent {
                    content: content.0,
                    cleared_ago_ms: millis(now - *at),
                }),
            }
        }
        set
    })
}

/// Converts received evidence about crashes, without events that were too long before the start of
/// this process for its clock. `now` is the current time of this process.
pub fn evidence_from_wire(
    now: Timestamp,
    set: messages::EvidenceSet,
) -> impl Iterator<Item = Evidence> {
    let cleared = set
        .cleared
        .into_iter()
        .filter(move |cleared| is_representable(now, cleared.cleared_ago_ms))
        .map(move |cleared| Evidence::Cleared {
            content: ContentHash(cleared.content),
            at: time_ago(now, cleared.cleared_ago_ms),
        });
    let crashes = set
        .crashes
        .into_iter()
        .filter(move |report| is_representable(now, report.ended_ago_ms))
        .map(move |report| Evidence::Crash(crashed_run(now, report)));
    let blocks =
        set.blocked.into_iter().map(move |blocked| Evidence::Block(block_from_wire(now, &blocked)));
    cleared.chain(crashes).chain(blocks)
}

/// Converts a crashed run to its report. `now` is the current time of this process.
#[must_use]
pub fn crash_report(now: Timestamp, run: &CrashedRun) -> messages::CrashReport {
    messages::CrashReport {
        request: run.contents.request.0,
        parts: run.contents.parts.iter().map(|part| part.0).collect(),
        endpoint: run.endpoint.to_string(),
        sent_ago_ms: millis(now - run.sent_at),
        ended_ago_ms: millis(now - run.ended_at),
        at_start: run.stage == RunStage::Starting,
        resumable: run.stage == RunStage::Resumable,
        sound: run.sound.iter().map(|content| content.0).collect(),
    }
}

/// Converts a crashed run from its report. `now` is the current time of this process.
#[must_use]
pub fn crashed_run(now: Timestamp, report: messages::CrashReport) -> CrashedRun {
    CrashedRun {
        contents: Contents {
            request: ContentHash(report.request),
            parts: report.parts.into_iter().map(ContentHash).collect(),
        },
        endpoint: Name::from(report.endpoint),
        sent_at: time_ago(now, report.sent_ago_ms),
        ended_at: time_ago(now, report.ended_ago_ms),
        stage: match (report.at_start, report.resumable) {
            (true, _) => RunStage::Starting,
            (false, true) => RunStage::Resumable,
            (false, false) => RunStage::Running,
        },
        sound: report.sound.into_iter().map(ContentHash).collect(),
    }
}

fn trial_to_wire(now: Timestamp, trial: &Trial) -> messages::TrialRecord {
    messages::TrialRecord {
        holder: trial.id.holder.0,
        number: trial.id.number,
        stage: trial_stage_to_wire(trial.stage).into(),
        turn: trial.turn,
        alone: trial.is_alone,
        requested_ago_ms: millis(now - trial.requested_at),
        until_in_ms: millis(trial.until - now),
    }
}

fn trial_from_wire(now: Timestamp, record: &messages::TrialRecord) -> Trial {
    Trial {
        id: TrialId { holder: Incarnation(record.holder), number: record.number },
        stage: match record.stage() {
            messages::TrialStage::Unspecified | messages::TrialStage::Granted => {
                TrialStage::Granted
            }
            messages::TrialStage::NotRun => TrialStage::NotRun,
            messages::TrialStage::Ran => TrialStage::Ran,
        },
        turn: record.turn,
        until: now + Duration::from_millis(record.until_in_ms.into()),
        requested_at: time_ago(now, record.requested_ago_ms),
        is_alone: record.alone,
    }
}

/// Converts the stage of a trial to its wire value.
#[must_use]
pub const fn trial_stage_to_wire(stage: TrialStage) -> messages::TrialStage {
    match stage {
        TrialStage::Granted => messages::TrialStage::Granted,
        TrialStage::NotRun => messages::TrialStage::NotRun,
        TrialStage::Ran => messages::TrialStage::Ran,
    }
}

/// Converts a block to its wire message. `now` is the current time of this process.
#[must_use]
pub fn block_to_wire(now: Timestamp, block: &Block) -> messages::BlockedContent {
    messages::BlockedContent {
        content: block.content.0,
        at_start: block.pattern == CrashPattern::AtStart,
        crashes: block.crashes,
        first_crash_ago_ms: millis(now - block.first_crash),
        last_crash_ago_ms: millis(now - block.last_crash),
        trial_in_ms: millis(block.trial_at - now),
        lone_trial_in_ms: millis(block.lone_trial_at - now),
        item_trial_in_ms: millis(block.item_trial_at - now),
        trial_log: block.trials.iter().map(|trial| trial_to_wire(now, trial)).collect(),
        trial_budget: block.trials.budget(),
        rivals: block.rivals.iter().map(|rival| rival.0).collect(),
    }
}

/// Converts a block from its wire message. `now` is the current time of this process.
#[must_use]
pub fn block_from_wire(now: Timestamp, blocked: &messages::BlockedContent) -> Block {
    let later = |ms: u32| now + Duration::from_millis(ms.into());
    Block {
        content: ContentHash(blocked.content),
        pattern: if blocked.at_start { CrashPattern::AtStart } else { CrashPattern::AnyTime },
        crashes: blocked.crashes,
        first_crash: time_ago(now, blocked.first_crash_ago_ms),
        last_crash: time_ago(now, blocked.last_crash_ago_ms),
        trial_at: later(blocked.trial_in_ms),
        lone_trial_at: later(blocked.lone_trial_in_ms),
        item_trial_at: later(blocked.item_trial_in_ms),
        trials: TrialLog::new(
            blocked.trial_budget,
            blocked.trial_log.iter().map(|record| trial_from_wire(now, record)),
        ),
        rivals: blocked.rivals.iter().copied().map(ContentHash).collect(),
    }
}

fn is_representable(now: Timestamp, ago_ms: u32) -> bool {
    Duration::from_millis(ago_ms.into()) <= now - Timestamp::ZERO
}

/// Returns the time that was `ms` milliseconds before now.
#[must_use]
pub fn time_ago(now: Timestamp, ms: u32) -> Timestamp {
    now.saturating_sub(Duration::from_millis(ms.into()))
}

/// Converts a duration to whole milliseconds, up to `u32::MAX`.
#[must_use]
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
