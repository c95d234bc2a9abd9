//! Stand-ins and checks of the cases in `review/`. The only library is that of the language.

mod bodies;
mod client;
mod departed;
mod fleet;
mod http;
mod poison;
mod proxy;
mod reborn;
mod record;
mod resumed;
mod site;
mod worker;

use fleet::ProcessList;
use record::Record;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// A case that takes longer could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|name| name == "worker") {
        if let Err(error) = worker::run(&arguments[1..]) {
            eprintln!("{error}");
            exit(2);
        }
        return;
    }
    let [case, record_path, ..] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(record_path).unwrap_or_else(|error| {
        eprintln!("{record_path}: {error}");
        exit(2);
    });
    let processes = ProcessList::default();
    let watched = processes.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        eprintln!("the case took too long");
        watched.kill_all();
        exit(2);
    });
    let result = match case.as_str() {
        "bodies" => bodies::run(trouble, &processes, &record),
        "departed" => departed::run(trouble, &processes, &record),
        "poison" => poison::run(trouble, &processes, &record),
        "reborn" => reborn::run(trouble, &processes, &record),
        "resumed" => resumed::run(trouble, &processes, &record),
        _ => Err(format!("there is no case {case}")),
    };
    processes.kill_all();
    match &result {
        Ok(Verdict::Held) => println!("the rule held"),
        Ok(Verdict::Broken) => println!("the rule was broken"),
        Err(error) => eprintln!("the case could not run: {error}"),
    }
    exit(match result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    });
}
