//! Cases of the second independent review.
//!
//! `review-2 run CASE FOLDER` plays a case against the project's programs and exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0`, nothing is disrupted.

mod cases;
mod cluster;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// Time after which a case that does not end is given up.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        ["worker", id, events, gap_ms, framing] => worker::run(worker::Manner {
            id: id.to_owned(),
            events: events.parse().expect("a number of events"),
            gap: Duration::from_millis(gap_ms.parse().expect("a gap in ms")),
            chunked: framing == "chunked",
        }),
        ["run", case, folder] => exit(run(case, folder)),
        _ => {
            eprintln!("review-2 run CASE FOLDER");
            exit(2);
        }
    }
}

fn run(case: &str, folder: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(PathBuf::from(folder).join("record.txt"));
    record.note(format!("case {case}, {}", if trouble { "with the disruption" } else { "calm" }));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LIMIT);
        watched.note("the case took too long");
        cluster::end_all();
        watched.write();
        exit(2);
    });
    let (played, trouble_record) = (case.to_owned(), record.clone());
    let outcome = thread::spawn(move || cases::play(&played, trouble, &trouble_record)).join();
    cluster::end_all();
    let code = match outcome {
        Ok(Some(true)) => 1,
        Ok(Some(false)) => 0,
        Ok(None) | Err(_) => 2,
    };
    let text = match code {
        0 => "held",
        1 => "broken",
        _ => "could not run",
    };
    record.note(format!("the rule: {text}"));
    record.write();
    println!("{case}: {text}");
    code
}
