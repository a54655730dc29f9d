//! Partner 1 moves from address A to C and partner 2 from B to A; the operator says so in the file, and SIGHUP. From then on A is
//! partner 2's, and nobody's messages go to B.

use crate::base::*;
use crate::smpp::{operator_file, smsc, Esme, Log};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// What a new configuration tells counts as told so long after SIGHUP, and drains have to be kept so long after that.
const TOLD: Duration = Duration::from_secs(4);
const GRACE: Duration = Duration::from_millis(1_000 + 50);
const BEFORE: Duration = Duration::from_secs(3);
const AFTER: Duration = Duration::from_secs(15);
/// Between two messages for each partner.
const EACH: Duration = Duration::from_millis(100);

pub fn run(record: &Record) -> Verdict {
    let (folder, log, listen) = (Folder::new(), Log::default(), free_address());
    std::fs::create_dir_all(folder.0.join("state")).unwrap();
    let smsc_at = |name| smsc(name, log.clone(), record.clone(), |_| Duration::from_millis(50));
    let (a, b, c) = (smsc_at("smsc-A"), smsc_at("smsc-B"), smsc_at("smsc-C"));
    let before = operator_file(listen, "10s", &[("partner-1", a, 1), ("partner-2", b, 2)]);
    let after = operator_file(listen, "10s", &[("partner-1", c, 1), ("partner-2", a, 2)]);
    let file = folder.file("relay.conf", &before);
    let variables = [("LB_NAME", "n0".to_string()), ("LB_STATE", folder.0.join("state").display().to_string())];
    let mut relay = Process::start(&folder, &format!("--operator {}", file.display()), &variables);
    let Some(mut esme) = until(Duration::from_secs(10), || Esme::bind(listen, "lakeclub", record, |_, _| ())) else {
        return Verdict::CannotRun("the relay did not start".to_string());
    };
    let mut number = 0;
    let mut traffic = |esme: &mut Esme, span: Duration| {
        let from = Instant::now();
        while from.elapsed() < span {
            esme.submit("STAT", "1555000", &[format!("one-{number}")]);
            esme.submit("STAT", "2555000", &[format!("two-{number}")]);
            number += 1;
            sleep(EACH);
        }
    };
    traffic(&mut esme, BEFORE);
    // Without the disruption the file is read again as it was.
    let file = folder.file("relay.conf", if is_troubled() { &after } else { &before });
    let mut check = std::process::Command::new("target/release/basaltloom");
    let checked = ends_with_us(&mut check).args(["check-config", "--operator"]).arg(&file).stdout(std::process::Stdio::null()).status();
    if !checked.is_ok_and(|status| status.success()) {
        return Verdict::CannotRun("check-config does not take the new file".to_string());
    }
    relay.signal(SIGHUP);
    let told = Instant::now() + TOLD + GRACE;
    record.say("relay: SIGHUP");
    traffic(&mut esme, AFTER);
    sleep(Duration::from_secs(2));
    let (at_1, at_2): (&[&str], &[&str]) = if is_troubled() { (&["smsc-C"], &["smsc-A"]) } else { (&["smsc-A"], &["smsc-B"]) };
    if !relay.is_running() || esme.heard.lock().unwrap().ended {
        return Verdict::CannotRun("the ESME was not bound to the end".to_string());
    }
    let log = log.lock().unwrap();
    let late = || log.iter().filter(|came| came.at > told);
    let all = late().count();
    let foreign = late().filter(|came| {
        let own = if came.to.starts_with('1') { at_1 } else { at_2 };
        !own.contains(&came.smsc)
    });
    let (mut to_other, mut to_gone) = (0, 0);
    for came in foreign {
        let what = if came.smsc == "smsc-B" { "an address that is gone" } else { "the other partner's address" };
        *(if came.smsc == "smsc-B" { &mut to_gone } else { &mut to_other }) += 1;
        record.say(&format!("{} to {} went to {}, {what}, on its bind {}", came.text, came.to, came.smsc, came.bind));
    }
    if all < 20 {
        return Verdict::CannotRun(format!("only {all} messages went out after the change"));
    }
    match to_other + to_gone {
        0 => Verdict::Held(format!("{all} messages went to their partners' addresses")),
        _ => Verdict::Broken(format!(
            "of {all} messages submitted more than 5.05 s after SIGHUP {to_other} went to the other partner's address and {to_gone} to one that is gone"
        )),
    }
}
