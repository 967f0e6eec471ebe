//! Stand-ins for clients, servers and discovery, and the cases that use them: `standins CASE RECORD`, from the
//! root of the repository. `TROUBLE=0` in the environment leaves the disruption out. The exit code is 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run.

mod case1;
mod case2;
mod case3;
mod client;
mod discovery;
mod http;
mod node;
mod record;
mod server;

use std::path::Path;
use std::time::Duration;

use record::Record;

/// No case runs longer than this.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case has found out.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        std::process::exit(2);
    };
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            std::process::exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(TIME_LIMIT);
        node::end_all();
        finish(&watched, Verdict::CouldNotRun("the time limit of the case is over".into()));
    });
    record.line(format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let run = match case.as_str() {
        "1" => case1::run,
        "2" => case2::run,
        "3" => case3::run,
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2);
        }
    };
    let in_case = record.clone();
    let ended = std::panic::catch_unwind(std::panic::AssertUnwindSafe(move || run(&in_case, trouble)));
    node::end_all();
    finish(&record, ended.unwrap_or_else(|_| Verdict::CouldNotRun("a stand-in failed".into())));
}

/// Writes the verdict and ends the process with its exit code.
fn finish(record: &Record, verdict: Verdict) -> ! {
    let (word, text, code) = match verdict {
        Verdict::Held(text) => ("HELD", text, 0),
        Verdict::Broken(text) => ("BROKEN", text, 1),
        Verdict::CouldNotRun(text) => ("COULD NOT RUN", text, 2),
    };
    record.line(format!("{word}: {text}"));
    println!("{word}: {text}");
    std::process::exit(code);
}
