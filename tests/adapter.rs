//! The adapter on wire lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const PARAMS: &str = r#"{"discovery":"push","fleet_size":2,"weights":"off","new_key":[1],
"domain":{"calls_out":4,"late":"even","per_call":[1],"separate_routes":[false],"route_fee":[0.0]},
"limits":{"cancel":true,"max_open":20,"max_retry_after":2000000000,"most_tries":5,"probes":false,"retry_after":true},
"rules":{"cold_share":0.3,"fall":1500000000,"overload_factor":1.5,"stop_sending_within":500000000,"warm_up":9000000000},
"services":[{"aim":3000000000,"deadline":20000000000,"importance":1.0,"late_worth":0.4,"repeat":"pure"}]}"#;

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_basaltloom-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    for line in lines {
        // A process that has given up on an earlier line may have closed its end.
        if writeln!(input, "{}", line.replace('\n', "")).is_err() {
            break;
        }
    }
    drop(input);
    child.wait_with_output().unwrap()
}

fn launch(who: u64) -> String {
    let page = r#"{"op":"PAGE","list":0,"members_list":[{"flavor":0,"launched":null,"owner_no":57,"state":3,"host":"10.0.0.7:80","rack_zone":0,"scale":1}]}"#;
    let view = r#"{"op":"VIEW","kind":1,"seq_no":1,"list":0}"#;
    format!(r#"{{"who":{who},"news":[{{"op":"LAUNCH","salt":9,"params":{PARAMS}}},{page},{view}]}}"#)
}

fn batch(ts: u64, groups: &[String]) -> String {
    format!(r#"{{"ts":{ts},"groups":[{}]}}"#, groups.join(","))
}

fn inbound(who: u64, tid: u64) -> String {
    format!(
        r#"{{"who":{who},"news":[{{"op":"INBOUND","tid":{tid},"profile":0,"team":0,"target_key":null,"time_left":20000000000,"cost":null,"destination":57,"marks":0,"later":true}}]}}"#
    )
}

fn replies(out: &Output) -> Vec<String> {
    String::from_utf8_lossy(&out.stdout).lines().map(str::to_string).collect()
}

#[test]
fn a_message_is_sent_to_the_host_by_its_name_and_each_batch_has_one_reply() {
    let out = run(&[
        batch(1, &[]),
        batch(1, &[launch(3)]),
        batch(5_000_001, &[inbound(3, 77)]),
        batch(9_000_000, &[r#"{"who":3,"news":[{"op":"VERDICT","tid":77,"no_more":true,"hold_ms":null,"latency":5,"disposition":100,"hop":0,"host":"10.0.0.7:80","metrics":null}]}"#.into()]),
    ]);
    assert!(out.status.success());
    let lines = replies(&out);
    assert_eq!(lines.len(), 4);
    assert_eq!(lines[0], r#"{"groups":[]}"#);
    assert!(lines[2].contains("SUBMIT_TO") && lines[2].contains("10.0.0.7:80") && lines[2].contains("77"));
}

#[test]
fn instances_in_one_process_act_as_in_several() {
    let one = run(&[batch(1, &[launch(0), launch(1)]), batch(2, &[inbound(0, 5), inbound(1, 6)])]);
    let first = run(&[batch(1, &[launch(0)]), batch(2, &[inbound(0, 5)])]);
    let both = replies(&one)[1].clone();
    let alone = replies(&first)[1].clone();
    let inner = alone.trim_start_matches(r#"{"groups":["#).trim_end_matches("]}");
    assert!(inner.contains("SUBMIT_TO") && both.contains(inner));
}

#[test]
fn a_restart_under_the_same_number_forgets_and_unknown_events_are_skipped() {
    let restart =
        format!(r#"{{"who":3,"news":[{{"op":"EXIT"}},{}"#, &launch(3)[r#"{"who":3,"news":["#.len()..]);
    let odd = r#"{"who":3,"news":[{"op":"SOMETHING_NEW","x":1},{"op":"ABANDONED","tid":4}]}"#.to_string();
    let out = run(&[
        batch(1, &[launch(3)]),
        batch(2, &[inbound(3, 5)]),
        batch(3, &[restart]),
        batch(4, &[odd]),
        batch(5, &[inbound(3, 5)]),
    ]);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    assert!(replies(&out)[4].contains("SUBMIT_TO"), "its slots and messages were forgotten");
}

#[test]
fn a_huge_batch_gets_its_reply() {
    let many: Vec<String> = (0..5000).map(|i| inbound(3, i)).collect();
    let out = run(&[batch(1, &[launch(3)]), batch(2, &many)]);
    assert!(out.status.success());
    let lines = replies(&out);
    assert_eq!((lines.len(), lines[1].matches("SUBMIT_TO").count()), (2, 3));
    assert!(lines[1].matches("DECLINE").count() > 4900);
}

#[test]
fn malformed_lines_get_one_plain_message_and_a_non_zero_exit() {
    let missing = r#"{"ts":2,"groups":[{"who":3,"news":[{"op":"INBOUND","tid":1}]}]}"#;
    let code = r#"{"ts":2,"groups":[{"who":3,"news":[{"op":"VERDICT","tid":1,"hop":0,"disposition":999}]}]}"#;
    for bad in ["not json", r#"{"ts":1}"#, missing, code, &batch(2, &[inbound(8, 1)])] {
        let out = run(&[batch(1, &[launch(3)]), bad.to_string()]);
        let said = String::from_utf8_lossy(&out.stderr).to_string();
        assert!(!out.status.success(), "{bad}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(!said.contains("panicked"), "{said}");
    }
}
