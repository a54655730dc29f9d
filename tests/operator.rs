//! The operator's file: what is read, and what is told of what cannot be.

use basaltloom::operator::{self, told};
use std::fs;
use std::path::PathBuf;

fn folder(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("basaltloom-operator-{name}-{}", std::process::id()));
    fs::create_dir_all(dir.join("sites")).unwrap();
    dir
}

/// Guards the example: it is read whole, each directive shows in the settings in force with its line, what is left
/// out shows as a default, and no password shows at all.
#[test]
fn the_example_is_in_force_with_the_lines_it_was_said_on() {
    let operator = operator::read("deploy/relay.conf".as_ref()).unwrap_or_else(|f| panic!("{}", told(&f)));
    let lines: Vec<String> = operator.in_force.iter().map(|s| s.to_string()).collect();
    let line = |start: &str| lines.iter().find(|l| l.starts_with(start)).unwrap_or_else(|| panic!("{start}"));
    assert!(line("admission standing 8").contains("deploy/relay.conf:"));
    assert_eq!(line("admission room"), "admission room \"2/3 of the descriptors\"  # default");
    assert!(line("admission network 10.30.0.0/16 address legs 20 rate 10/s burst 40")
        .contains("deploy/relay.conf:31:"));
    assert!(line("smpp account lakeclub window 10").contains("deploy/relay.conf:"));
    assert!(!lines.iter().any(|l| l.contains("change-m")));
    assert!(operator.smpp.is_some());
    assert_eq!(operator::parse("empty", "").unwrap().smpp.map(|_| ()), None);
}

/// Guards those who write the file: all that is wrong is told in one go, each with file, line, column, what stood
/// there and what was expected.
#[test]
fn all_that_is_wrong_is_told_in_one_go_and_where() {
    let text = "log {
    level loud
    format text
    format json
}
admission {
    room many
    refuse 503 after soon
    ease-at 10 20
    adress legs 5
    address legs 5 legs 6
    network 10.1.2.3/16 {
        known
        barred
    }
    network 10.1.2.3/16 {
    }
    network nowhere {
        together
    }
    \"unfinished
    prefix 24 /56 legs 7
}
smpp {
    listen here
    class a {
        repeat sometimes
    }
    account x {
        class b
        password p
    }
}
}
unclosed {
";
    let faults = operator::parse("r.conf", text).unwrap_err();
    // What cannot be read at all is told first; the rest once it can be.
    assert_eq!(
        told(&faults),
        "r.conf:21:16: found the end of the line, expected a closing quote\n\
                 r.conf:34:1: found `}`, but no section is open\n\
                 r.conf:35:1: section `unclosed` is never closed, expected a `}`"
    );
    let readable = text.replace("    \"unfinished\n", "").replace("}\n}\nunclosed {\n", "}\nunclosed here\n");
    let faults = operator::parse("r.conf", &readable).unwrap_err();
    let expected = [
        "r.conf:2:11: found `loud`, expected one of `error`, `warn`, `info`, `debug`, `trace`",
        "r.conf:4:5: `format` is said again, expected once: it stands at r.conf:3:5",
        "r.conf:7:10: found `many`, expected a whole number from 1 to 10000000",
        "r.conf:8:22: found `soon`, expected a time such as `250us`, `30ms`, `1.5s`, `2m` or `1h`, at most 30 days",
        "r.conf:9:5: `ease-at` has 2 values, expected one",
        "r.conf:10:5: `adress` is unknown in `admission`, expected one of `address`, `ease-at`, `network`, `penalty-fades`, `prefix`, `refuse`, `remember`, `reserve`, `room`, `standing`, `standing-fades`",
        "r.conf:11:20: `legs` is said twice on this line",
        "r.conf:12:5: a network that is `barred` can't be `known` or a `front` too",
        "r.conf:12:13: `10.1.2.3/16` has bits beyond its prefix, expected `10.1.0.0/16`",
        "r.conf:16:5: `network 10.1.2.3/16` is said again, it stands at r.conf:12:13",
        "r.conf:16:13: `10.1.2.3/16` has bits beyond its prefix, expected `10.1.0.0/16`",
        "r.conf:18:13: found `nowhere`, expected a network such as `10.1.0.0/16` or `2001:db8::/32`",
        "r.conf:19:9: `together` caps nothing, expected `legs` or `rate`",
        "r.conf:21:12: found `24`, expected a length of a prefix from `/0` to `/32`",
        "r.conf:23:1: `smpp` has no `next-hop`, expected one at least",
        "r.conf:24:12: found `here`, expected an address and port such as `127.0.0.1:2775`",
        "r.conf:26:16: found `sometimes`, expected one of `safe`, `keyed`, `unsafe`",
        "r.conf:29:15: found `b`, expected a class of this section: one of `a`",
        "r.conf:33:1: `unclosed` is unknown, expected one of `admission`, `batching`, `fleet`, `log`, `smpp`",
    ];
    assert_eq!(told(&faults).lines().collect::<Vec<_>>(), expected);
}

/// Guards the section `fleet`: off where it is left out, its spans in proportion to what is said, and each mistake told
/// with where it stands and what was expected.
#[test]
fn a_fleet_is_read_and_what_is_wrong_with_it_is_told() {
    assert_eq!(operator::parse("r.conf", "log {\n}\n").unwrap().fleet, None);
    let text = "fleet {\n name huron\n listen 10.0.0.4:7000\n join 10.0.0.5:7000 10.0.0.6:7000\n probe 400ms\n suspect 5s\n deals off\n}\n";
    let fleet = operator::parse("r.conf", text).unwrap().fleet.unwrap();
    assert_eq!((fleet.reach, fleet.join.len(), fleet.deals), ("10.0.0.4:7000".parse().unwrap(), 2, false));
    let terms = &fleet.terms;
    assert_eq!((terms.probe, terms.accuse), (400_000_000, 1_400_000_000));
    assert_eq!((terms.suspect_least, terms.suspect_most), (5_000_000_000, 15_000_000_000));
    assert!(fleet.allowed(None).is_ok() && fleet.allowed(Some(true)).is_ok());
    let refused = fleet.allowed(Some(false)).unwrap_err();
    assert!(refused
        .starts_with("r.conf:1:1: `fleet` is set, but the platform's settings say `limits.peers` false"));
    let faulty = "fleet {\n listen here\n join 10.0.0.5\n probe 1ms\n forget 90d\n rom a\n}\nfleet {\n}\n";
    let faults = operator::parse("r.conf", faulty).unwrap_err();
    let expected = [
        "r.conf:1:1: `fleet` has no `name`, expected one",
        "r.conf:2:9: found `here`, expected an IP address and a port such as `10.0.0.4:7000`",
        "r.conf:3:7: found `10.0.0.5`, expected an IP address and a port such as `10.0.0.4:7000`",
        "r.conf:4:8: found `1ms`, expected a time from 50ms to 10s",
        "r.conf:5:9: found `90d`, expected a time from 1s to 30 days",
        "r.conf:6:2: `rom` is unknown in `fleet`, expected one of `deals`, `forget`, `join`, `listen`, `name`, `probe`, `reach`, `room`, `suspect`",
        "r.conf:8:1: section `fleet` is said again, it stands at r.conf:1:1",
    ];
    assert_eq!(told(&faults).lines().collect::<Vec<_>>(), expected);
    let anywhere = operator::parse("r.conf", "fleet {\n name t\n listen 0.0.0.0:7000\n}\n").unwrap_err();
    assert!(told(&anywhere).contains("r.conf:1:1: the others cannot reach 0.0.0.0:7000, expected `reach`"));
}

/// Guards includes: read where they stand, from within the file's own tree alone, and never in a circle.
#[test]
fn includes_stay_within_the_files_own_tree() {
    let dir = folder("include");
    let write = |name: &str, text: &str| fs::write(dir.join(name), text).unwrap();
    write("sites/net.conf", "network 10.1.0.0/16 {\n known\n}\ninclude more.conf\n");
    write("sites/more.conf", "network 10.2.0.0/16 {\n barred\n}\n");
    write("r.conf", "admission {\n include sites/net.conf\n}\n");
    let operator = operator::read(&dir.join("r.conf")).unwrap_or_else(|f| panic!("{}", told(&f)));
    let of = |text: &str| operator.in_force.iter().any(|s| s.to_string().contains(text));
    assert!(
        of("admission network 10.1.0.0/16 known") && of("sites/net.conf:2:2") && of("sites/more.conf:2:2")
    );
    std::os::unix::fs::symlink("/etc", dir.join("sites/out")).ok();
    for (text, says) in [
        ("include ../r.conf\n", "r.conf:1:9: `../r.conf` is outside the file's own tree"),
        ("include /etc/passwd\n", "r.conf:1:9: `/etc/passwd` is outside the file's own tree"),
        ("include sites/out/passwd\n", "r.conf:1:9: `sites/out/passwd` is outside the file's own tree"),
        ("include none.conf\n", "r.conf:1:9: cannot read"),
        ("include a b\n", "r.conf:1:1: `include` has 2 values, expected one file"),
        ("include r.conf\n", "r.conf:1:9: `r.conf` is included within itself"),
    ] {
        write("r.conf", text);
        let said = told(&operator::read(&dir.join("r.conf")).unwrap_err());
        assert!(said.contains(says), "{text}: {said}");
    }
    fs::remove_dir_all(&dir).ok();
}

/// Guards the rule that a file comes into force whole: what a running process cannot change is known, section by section.
#[test]
fn sections_that_only_a_start_can_change_are_known() {
    let text = fs::read_to_string("deploy/relay.conf").unwrap();
    let read = |text: &str| operator::parse("relay.conf", text).unwrap_or_else(|f| panic!("{}", told(&f)));
    let before = read(&text);
    let needs_start = |from: &str, to: &str| {
        assert!(text.contains(from), "{from}");
        before.needs_start(&read(&text.replacen(from, to, 1)))
    };
    assert!(before.needs_start(&before).is_empty());
    assert!(needs_start("standing 8", "standing 9").is_empty());
    assert!(needs_start("health active", "health leaving").is_empty());
    assert_eq!(needs_start("window 10", "window 11"), ["smpp"]);
    assert_eq!(needs_start("forget 24h", "forget 25h"), ["fleet"]);
    assert_eq!(before.needs_start(&read("")), ["fleet", "smpp"]);
    assert_eq!(read("").needs_start(&before), ["fleet", "smpp"]);
}
