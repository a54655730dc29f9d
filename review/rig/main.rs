//! Stand-ins and observers of the review's cases, by name; `run.sh` of a case starts one of them from the project's root.

mod base;
mod cold_return;
mod crowded_agent;
mod gone_while_down;
mod http;
mod key_at_upgrade;
mod kill_behind_answer;
mod moved_next_hop;
mod smpp;

use base::{Record, Verdict};
use std::panic::AssertUnwindSafe;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else { panic!("usage: rig CASE RECORD") };
    let record = Record::new(path.as_ref());
    record.say(&format!("case {case}, disruption {}", if base::is_troubled() { "on" } else { "off" }));
    let played = std::panic::catch_unwind(AssertUnwindSafe(|| play(case, &record)));
    let verdict = played.unwrap_or_else(|_| Verdict::CannotRun("the rig failed".to_string()));
    record.say(&verdict.text());
    println!("{}", verdict.text());
    std::process::exit(verdict.code());
}

fn play(case: &str, record: &Record) -> Verdict {
    match case {
        "kill-behind-answer" => kill_behind_answer::run(record),
        "moved-next-hop" => moved_next_hop::run(record),
        "gone-while-down" => gone_while_down::run(record),
        "key-at-upgrade" => key_at_upgrade::run(record),
        "cold-return" => cold_return::run(record),
        "crowded-agent" => crowded_agent::run(record),
        other => Verdict::CannotRun(format!("there is no case {other}")),
    }
}
