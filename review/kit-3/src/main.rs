//! Stand-ins and scenes of the third review. Only the standard library is used.

mod first_start;
mod http;
mod late_machine;
mod replaced_core;
mod restarted_server;
mod seeds_without_disk;
mod site;
mod streams;
mod worker;
mod young_streams;

use std::path::PathBuf;
use std::time::Duration;

pub const EXIT_HELD: i32 = 0;
pub const EXIT_BROKEN: i32 = 1;
pub const EXIT_NOT_RUN: i32 = 2;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let text = |index: usize| arguments.get(index).cloned().unwrap_or_default();
    if text(0) == "server" {
        let number = |index: usize| text(index).parse::<u64>().expect("a number");
        let options = worker::Options {
            id: text(1),
            listen: text(2).parse().expect("an address"),
            service: text(3),
            version: text(4),
            zone: text(5),
            slots: u32::try_from(number(6)).expect("slots"),
            control: text(7).split(',').map(|a| a.parse().expect("an address")).collect(),
            heartbeat: Duration::from_millis(number(8)),
            events: number(9),
            gap: Duration::from_millis(number(10)),
            cut: PathBuf::from(text(11)),
            record: PathBuf::from(text(12)),
        };
        worker::run(options).expect("the server listens");
        return;
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(text(1));
    let code = match text(0).as_str() {
        "restarted-server" => restarted_server::run(folder, trouble),
        "first-start" => first_start::run(folder, trouble),
        "seeds-without-disk" => seeds_without_disk::run(folder, trouble),
        "young-streams" => young_streams::run(folder, trouble),
        "late-machine" => late_machine::run(folder, trouble),
        "replaced-core" => replaced_core::run(folder, trouble),
        _ => EXIT_NOT_RUN,
    };
    std::process::exit(code);
}
