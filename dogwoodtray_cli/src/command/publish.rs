//! The `diff`, `export` and `publish` subcommands.

use std::net::SocketAddr;
use std::time::Duration;

use dogwoodtray_config::Change;
use dogwoodtray_config::ObjectSet;
use dogwoodtray_config::Pointer;
use dogwoodtray_config::PublicationRequest;
use dogwoodtray_config::PublicationResult;
use dogwoodtray_config::SetRef;
use dogwoodtray_config::diff as diff_sets;
use dogwoodtray_config::write_file;
use dogwoodtray_coord::Generation;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::WriteStamp;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde_json::json;

use super::dir;
use super::dir::ObjectErrors;
use super::options::PlatformOptions;
use super::options::PublishOptions;
use super::report::Failure;
use super::report::Report;
use crate::Exit;
use crate::platform::Platform;

pub(super) fn diff(options: &PublishOptions) -> Result<Report, Failure> {
    let (set, errors) = dir::read(&options.dir)?;
    if !errors.is_empty() {
        return Ok(errors.report());
    }
    let platform = open_platform(options.platform, options.timeout_s)?;
    let (old_set, old) = match &options.base {
        Some(base) => {
            let base = resolve_set(&platform, base)?;
            (Some(base), platform.snapshot(base)?.objects())
        }
        None => match platform.current()? {
            Some((pointer, snapshot)) => (Some(pointer.set), snapshot.objects()),
            None => (None, ObjectSet::new()),
        },
    };
    let changes = diff_sets(&old, &set);
    let json = json!({ "set": old_set.map(|set| set.to_string()), "changes": changes });
    let heading = format!("against {}: {} changes", set_label(old_set), changes.len());
    Ok(Report::new(Exit::Ok, json).line(heading).lines(changes))
}

pub(super) fn export(options: &PlatformOptions) -> Result<Report, Failure> {
    let platform = open_platform(options.platform, options.timeout_s)?;
    let (set, snapshot) = match &options.base {
        Some(base) => {
            let base = resolve_set(&platform, base)?;
            (base, platform.snapshot(base)?)
        }
        None => match platform.current()? {
            Some((pointer, snapshot)) => (pointer.set, snapshot),
            None => {
                let message = "nothing is published".to_owned();
                return Err(Failure { message, exit: Exit::Findings });
            }
        },
    };
    let text = write_file(&snapshot.objects()).map_err(Failure::usage)?;
    let json =
        json!({ "set": set.to_string(), "objects": snapshot.objects().iter().collect::<Vec<_>>() });
    let heading = format!("# Set {set}. Publish edits of it with --base {set}.");
    Ok(Report::new(Exit::Ok, json).line(heading).line(text.trim_end()))
}

pub(super) fn run(options: &PublishOptions) -> Result<Report, Failure> {
    let (edited, errors) = dir::read(&options.dir)?;
    if !errors.is_empty() {
        return Ok(errors.report());
    }
    let platform = open_platform(options.platform, options.timeout_s)?;
    let base = options.base.as_deref().map(|base| resolve_set(&platform, base)).transpose()?;
    let stamp = WriteStamp { incarnation: random_incarnation()?, seq: 1 };
    let note = options.note.as_str().into();
    let result = platform.publish(PublicationRequest { base, edited, stamp, note })?;
    publication_report(result)
}

fn publication_report(result: PublicationResult) -> Result<Report, Failure> {
    let report = match result {
        PublicationResult::Published { set, changes, merged } => published(set, changes, merged),
        PublicationResult::Unchanged { set } => {
            let json = json!({ "result": "unchanged", "set": set.map(|set| set.to_string()) });
            Report::new(Exit::Ok, json)
                .line(format!("nothing to publish, {} holds it all", set_label(set)))
        }
        PublicationResult::Conflict { ours, theirs } => conflict(ours, theirs),
        PublicationResult::Unknown { ours, reason } => {
            let message = format!("it is unknown whether set {ours} was in force: {reason}");
            return Err(Failure { message, exit: Exit::Findings });
        }
        PublicationResult::ObjectConflict(conflict) => {
            let count = conflict.objects.len();
            let json = json!({ "result": "object_conflict", "objects": conflict.objects });
            Report::new(Exit::Findings, json)
                .line(format!("conflict: others changed {count} of the edited objects"))
                .lines(conflict.objects)
                .line("nothing was published")
        }
        PublicationResult::Invalid(findings) => ObjectErrors::from(findings)
            .report()
            .line("the set has errors after the merge with the current one; nothing was published"),
        PublicationResult::BaseNeeded { current } => {
            return Err(Failure::usage(format!(
                "a set is published already; name the one that the edits started from by --base \
                 (the current one is {current})"
            )));
        }
        PublicationResult::Refused(reason) => {
            return Err(Failure { message: reason, exit: Exit::Findings });
        }
    };
    Ok(report)
}

fn published(set: SetRef, changes: Vec<Change>, merged: Vec<Change>) -> Report {
    let json = json!({
        "result": "published",
        "generation": set.generation.0,
        "set": set.to_string(),
        "changes": changes,
        "merged": merged,
    });
    let heading = format!("published generation {} as set {set}", set.generation.0);
    let report = Report::new(Exit::Ok, json).line(heading).lines(changes);
    if merged.is_empty() {
        return report;
    }
    report
        .line("merged with changes of others, which the directory lacks; see `export`:")
        .lines(merged)
}

fn conflict(ours: SetRef, theirs: Option<Pointer>) -> Report {
    let winner = theirs.as_ref().map(|theirs| {
        let incarnation = format!("{:016x}", theirs.stamp.incarnation.0);
        json!({ "set": theirs.set.to_string(), "note": theirs.note, "incarnation": incarnation })
    });
    let json = json!({ "result": "conflict", "ours": ours.to_string(), "theirs": winner });
    let winner = match theirs {
        Some(theirs) => format!(
            "set {} won, by process {:016x}, note {:?}",
            theirs.set, theirs.stamp.incarnation.0, theirs.note
        ),
        None => "config/current was deleted".to_owned(),
    };
    Report::new(Exit::Findings, json)
        .line(format!("conflict: set {ours} lost, nothing of it is in force"))
        .line(winner)
        .line("publish again with the same --base to merge with it")
}

fn open_platform(addr: SocketAddr, timeout_s: u64) -> Result<Platform, Failure> {
    Ok(Platform::open(addr, Duration::from_secs(timeout_s))?)
}

/// Resolves a set that is given as `GENERATION` or `GENERATION-HASH`.
fn resolve_set(platform: &Platform, base: &str) -> Result<SetRef, Failure> {
    match base.parse::<u64>() {
        Ok(generation) => Ok(platform.find_set(Generation(generation))?),
        Err(_) => base.parse().map_err(|err| Failure::usage(format!("--base: {err}"))),
    }
}

fn set_label(set: Option<SetRef>) -> String {
    set.map_or_else(|| "the empty set".to_owned(), |set| format!("set {set}"))
}

fn random_incarnation() -> Result<Incarnation, Failure> {
    OsRng.try_next_u64().map(Incarnation).map_err(Failure::usage)
}
