//! Scripts of the third review. `main CASE RECORD` exits with 1 if the rule was broken, 0 if it held and
//! 2 if the case could not run. `main worker ...` is the stand-in of a worker.

mod cases;
mod cluster;
mod http;
mod json;
mod link;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use cluster::CannotRun;
use cluster::Outcome;

fn run(args: &[String]) -> Outcome<bool> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match args {
        [name, rest @ ..] if name == "worker" => {
            worker::run(worker::Settings::from_args(rest))?;
            Ok(false)
        }
        [name, record] => cases::run(name, Path::new(record), trouble),
        _ => Err(CannotRun("usage: main CASE RECORD".to_owned())),
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match run(&args) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(CannotRun(reason)) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
