//! The program itself on loopback sockets, at instants in which something ends and something is still owed. Each crossing
//! is forced: a stand-in holds its bytes until it has seen what they are to cross.

mod replaced;
mod rig;
#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use rig::Relay;
use stand_ins::{
    entry, folder, full_listener, hop, hop_on, post, status, Discovery, Served, Told, ANSWERED, SILENT,
};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::spawn;
use std::time::{Duration, Instant};

/// Guards the last answer on a leg from what its caller still sends: bytes that cross the relay's end of the connection are
/// read and dropped for a while. A reset in their place takes an answer along that the caller has not read.
#[test]
fn bytes_that_cross_the_end_of_a_leg_do_not_reset_it() {
    let (dial, served) = hop("127.0.0.1:0");
    let discovery = Discovery::start(entry("h", dial, "active"));
    let dir = folder();
    let relay = Relay::start(&dir, 256, discovery.address, &entry("h", dial, "active"));
    let mut caller = relay.connect();
    caller.write_all(post("m1", 2, "Connection: close\r\n").as_bytes()).unwrap();
    // Its end has come, behind the whole answer: only then does the caller send what crosses it.
    let mut seen = [0; 4096];
    let mut before = 0;
    loop {
        let n = caller.peek(&mut seen).unwrap();
        if n == before && seen[..n].ends_with(b"\r\n\r\n") {
            break;
        }
        before = n;
        std::thread::sleep(Duration::from_millis(50));
    }
    for part in ["POST /notice HTTP/1.1\r\n", "Host: x\r\nX-Req", "uest-ID: m2\r\n"] {
        caller.write_all(part.as_bytes()).expect("no reset");
        assert!(caller.take_error().unwrap().is_none(), "no reset");
    }
    assert_eq!(status(&mut caller), Some(202));
    assert_eq!(caller.read(&mut seen).expect("an end and no reset"), 0);
    assert!(served.until(ANSWERED, |s| s.get("m1") == Some(&1)).is_some());
    assert!(served.tell(|s| s.get("m2").is_none()));
    std::fs::remove_dir_all(dir).ok();
}

/// Guards a request that is half said as the relay is told to end: it is answered and delivered, or its leg ends with no
/// word and nothing of it is sent on.
#[test]
fn a_request_half_said_as_the_relay_is_told_to_end_is_answered_or_never_heard_of() {
    let (dial, served) = hop("127.0.0.1:0");
    let discovery = Discovery::start(entry("h", dial, "active"));
    let dir = folder();
    let mut relay = Relay::start(&dir, 256, discovery.address, &entry("h", dial, "active"));
    let (mut rested, mut fresh) = (relay.connect(), relay.connect());
    rested.write_all(post("m0", 2, "").as_bytes()).unwrap();
    assert_eq!(status(&mut rested), Some(202));
    for (stream, id) in [(&mut rested, "m1"), (&mut fresh, "m2")] {
        stream.write_all(&post(id, 2, "").as_bytes()[..40]).unwrap();
    }
    // Another answer proves that what was written before it has been read.
    assert!(relay.ready());
    relay.signal("-TERM");
    assert!(relay.log.until(ANSWERED, |l| l.iter().any(|l| l.contains("told-to-end"))).is_some());
    for (stream, id) in [(&mut rested, "m1"), (&mut fresh, "m2")] {
        stream.write_all(&post(id, 2, "").as_bytes()[40..]).ok();
        let answered = status(stream);
        match answered {
            Some(202) => assert!(served.until(ANSWERED, |s| s.get(id) == Some(&1)).is_some(), "{id}"),
            Some(503) | None => {}
            other => panic!("{id}: {other:?}"),
        }
        if answered != Some(202) {
            assert!(served.tell(|s| !s.contains_key(id)), "{id} was refused and sent on");
        }
    }
    assert!(relay.child.wait().unwrap().success());
    std::fs::remove_dir_all(dir).ok();
}

/// Guards what a restart finds taken and untried: killed with a journal near its budget, the relay is ready at once though
/// discovery is silent, and delivers each message once as soon as there is somebody to take it.
#[test]
fn what_a_kill_leaves_untried_is_delivered_once_by_a_relay_that_is_ready_at_once() {
    // Nobody listens at the hop's address yet, and no outgoing connection takes its port: those come from 127.0.0.1.
    let held = TcpListener::bind("127.77.0.1:0").unwrap();
    let dial = held.local_addr().unwrap();
    drop(held);
    let discovery = Discovery::start(entry("h", dial, "active"));
    let dir = folder();
    let mut relay = Relay::start(&dir, 256, discovery.address, &entry("h", dial, "active"));
    let mut taken = Vec::new();
    for i in 0..2_000 {
        let id = format!("m{i}");
        match relay.hand_in(&id, 4_000) {
            Some(202) => taken.push(id),
            Some(503) => break,
            other => panic!("{other:?}"),
        }
    }
    let journal = std::fs::metadata(dir.join("state/relay.journal")).unwrap().len();
    assert!(taken.len() > 100 && journal > 1_000_000, "{} taken, {journal} bytes", taken.len());
    relay.kill();
    discovery.down.store(true, Ordering::SeqCst);
    let (_, served) = hop(&dial.to_string());
    let from = Instant::now();
    let relay = Relay::start(&dir, 256, discovery.address, &entry("h", dial, "active"));
    assert!(relay.ready() && from.elapsed() < Duration::from_secs(2), "ready after {:?}", from.elapsed());
    let all = served.until(Duration::from_secs(18), |s| s.len() == taken.len());
    let counts = served.tell(|s| s.clone());
    assert!(all.is_some(), "{} of {} delivered", counts.len(), taken.len());
    assert!(taken.iter().all(|id| counts[id] == 1), "none twice");
    std::fs::remove_dir_all(dir).ok();
}

/// Guards discovery and calls from idle clients: those fill the descriptors while discovery is down, and come again as soon
/// as they are closed. Within six seconds of its return the relay has its list, and sends what it is handed to the hop
/// that is there, not to the one that went.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_no_news_from_the_relay() {
    let ((old, old_served), (new, new_served)) = (hop("127.0.0.1:0"), hop("127.0.0.1:0"));
    let discovery = Discovery::start(entry("old", old, "active"));
    let dir = folder();
    let relay = Relay::start(&dir, 96, discovery.address, &entry("old", old, "active"));
    assert!(discovery.told.until(ANSWERED, |t| !t.is_empty()).is_some());
    discovery.down.store(true, Ordering::SeqCst);
    let asked = relay.log.until(ANSWERED, |l| l.iter().any(|l| l.contains("discovery-silent")));
    assert!(asked.is_some(), "it has noticed");
    let (address, stop) = (relay.address, Arc::new(AtomicBool::new(false)));
    // Legs that were closed for others long before they had rested too long.
    let gave_way: Told<u32> = Told::default();
    let idle: Vec<_> = (0..160)
        .map(|_| {
            let (stop, gave_way) = (stop.clone(), gave_way.clone());
            spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut stream) = TcpStream::connect(address) else { continue };
                    let since = Instant::now();
                    stream.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
                    while !stop.load(Ordering::SeqCst) {
                        match stream.read(&mut [0; 64]) {
                            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                            _ => break,
                        }
                    }
                    gave_way.tell(|n| *n += u32::from(since.elapsed() < Duration::from_secs(1)));
                }
            })
        })
        .collect();
    assert!(gave_way.until(ANSWERED, |n| *n > 300).is_some(), "they never filled it");
    discovery.replace(old, new);
    discovery.told.tell(Vec::clear);
    discovery.down.store(false, Ordering::SeqCst);
    let heard = discovery.told.until(ANSWERED, |t| t.contains(&2));
    assert!(heard.is_some_and(|after| after < Duration::from_secs(6)), "heard after {heard:?}");
    discovery.asked_again();
    // In the flood a newcomer may be turned away: it comes again.
    let taken = (0..50).any(|i| relay.hand_in(&format!("m{i}"), 2) == Some(202));
    assert!(taken, "no message was taken");
    assert!(new_served.until(ANSWERED, |s| !s.is_empty()).is_some(), "none was delivered");
    assert!(old_served.tell(|s| s.is_empty()), "none went to the hop that left");
    stop.store(true, Ordering::SeqCst);
    idle.into_iter().for_each(|t| t.join().unwrap());
    std::fs::remove_dir_all(dir).ok();
}

/// Once the list is taken in, what is handed in goes to the hop that is there, once, and nothing to the one that left.
fn a_message_goes_to_the_new(relay: &Relay, discovery: &Discovery, old: &Served, new: &Served) {
    discovery.asked_again();
    assert_eq!(relay.hand_in("m1", 2), Some(202));
    assert!(new.until(ANSWERED, |s| s.get("m1") == Some(&1)).is_some());
    assert!(old.tell(|s| s.is_empty()));
}

/// Guards the list from a watch that is never answered: its connection stays open and silent, and what changes meanwhile is
/// heard on another, well within the six seconds after which it counts as told.
#[test]
fn a_watch_that_fell_silent_is_opened_anew() {
    let ((old, old_served), (new, new_served)) = (hop("127.0.0.1:0"), hop("127.0.0.1:0"));
    let discovery = Discovery::start(entry("old", old, "active"));
    let dir = folder();
    let relay = Relay::start(&dir, 256, discovery.address, &entry("old", old, "active"));
    discovery.down.store(true, Ordering::SeqCst);
    assert!(discovery.told.until(ANSWERED, |t| t.contains(&SILENT)).is_some(), "a watch is open and silent");
    discovery.replace(old, new);
    discovery.down.store(false, Ordering::SeqCst);
    let heard = discovery.told.until(ANSWERED, |t| t.contains(&2));
    assert!(heard.is_some_and(|after| after < Duration::from_secs(5)), "heard after {heard:?}");
    a_message_goes_to_the_new(&relay, &discovery, &old_served, &new_served);
    std::fs::remove_dir_all(dir).ok();
}

/// Guards a new process's first moments: what the agent has counts as told from then on, though the list it was started
/// with is older. Nothing begins at a hop that left later than the least time in which sending has to stop.
#[test]
fn a_new_process_hears_what_the_agent_has_before_it_counts() {
    let ((old, old_served), (new, new_served)) = (hop("127.0.0.1:0"), hop("127.0.0.1:0"));
    let discovery = Discovery::start(entry("old", old, "active"));
    discovery.replace(old, new);
    let dir = folder();
    let from = Instant::now();
    let relay = Relay::start(&dir, 256, discovery.address, &entry("old", old, "active"));
    let heard = discovery.told.until(ANSWERED, |t| t.contains(&2));
    assert!(heard.is_some() && from.elapsed() < Duration::from_millis(500), "{:?}", from.elapsed());
    a_message_goes_to_the_new(&relay, &discovery, &old_served, &new_served);
    std::fs::remove_dir_all(dir).ok();
}

/// Guards a message that may not be repeated from a connection that is late: none came up within its time, so the message
/// surely never ran; once there is room again it goes on another, and on no more than that.
#[test]
fn a_connection_after_its_time_out_carries_nothing() {
    let (listener, held) = full_listener();
    let dial = listener.local_addr().unwrap();
    let discovery = Discovery::start(entry("h", dial, "active"));
    let dir = folder();
    let relay = Relay::start(&dir, 256, discovery.address, &entry("h", dial, "active"));
    assert_eq!(relay.hand_in("m1", 2), Some(202));
    // Its time is over, as the log says: only then is there room.
    let down = relay.log.until(ANSWERED, |l| l.iter().any(|l| l.contains("hop-down")));
    assert!(down.is_some_and(|after| after > Duration::from_millis(1_200)), "{down:?}");
    let (_, served) = hop_on(listener);
    // It waits for a sound hop until a fifth of its time is left, and then goes to this one.
    assert!(served.until(Duration::from_secs(18), |s| s.get("m1").is_some()).is_some(), "never delivered");
    drop(held);
    // Another message behind it, delivered: the first was not said again meanwhile.
    assert_eq!(relay.hand_in("m2", 2), Some(202));
    assert!(served.until(ANSWERED, |s| s.get("m2").is_some()).is_some());
    assert!(served.tell(|s| s.values().all(|n| *n == 1)));
    std::fs::remove_dir_all(dir).ok();
}
