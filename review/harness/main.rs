//! Scripts of the review: `harness CASE FOLDER` plays one case and writes its record there.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod blocked_lot;
mod blocked_prompt;
mod cluster;
mod http;
mod json;
mod lost_end;
mod moved_service;
mod proxy;
mod record;
mod replaced_store;
mod site;
mod store;
mod worker;

use std::env;
use std::panic;
use std::process;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: harness CASE FOLDER");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = format!("{folder}/record.txt");
    // A panic unwinds, so that all processes that were started are ended.
    let verdict = panic::catch_unwind(|| match case.as_str() {
        "moved-service" => moved_service::play(trouble, &record),
        "blocked-lot" => blocked_lot::play(trouble, &record),
        "blocked-prompt" => blocked_prompt::play(trouble, &record),
        "replaced-store" => replaced_store::play(trouble, &record),
        "lost-end" => lost_end::play(trouble, &record),
        other => Verdict::NotRun(format!("no case {other}")),
    });
    let verdict = verdict.unwrap_or_else(|_| Verdict::NotRun("a step failed".to_owned()));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::NotRun(text) => (2, format!("the case could not run: {text}")),
    };
    println!("{text}");
    process::exit(code);
}
