//! A new process at the address of one that has gone: what is owed to the one goes to the other only as the list says.

use crate::rig::Relay;
use crate::stand_ins::{entry, folder, hop_on, ok, receipt, request, Discovery, Served, Told};
use rustix::net::sockopt::set_socket_linger;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Between two looks of a thread whether its process has died.
const LOOK_EACH: Duration = Duration::from_millis(5);
/// Between two messages.
const PAUSE: Duration = Duration::from_millis(20);

/// An endpoint whose process dies: its connections are reset, its address is free.
struct Mortal {
    address: SocketAddr,
    served: Served,
    dead: Arc<AtomicBool>,
    accepting: JoinHandle<Vec<JoinHandle<()>>>,
}

impl Mortal {
    fn start() -> Mortal {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let (address, dead) = (listener.local_addr().unwrap(), Arc::new(AtomicBool::new(false)));
        let (served, is_dead): (Served, _) = (Told::default(), dead.clone());
        let told = served.clone();
        let accepting = spawn(move || {
            let mut threads = Vec::new();
            while !is_dead.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let (told, is_dead) = (told.clone(), is_dead.clone());
                        threads.push(spawn(move || answer(stream, &told, &is_dead)));
                    }
                    Err(_) => sleep(LOOK_EACH),
                }
            }
            threads
        });
        Mortal { address, served, dead, accepting }
    }

    /// Dies; a new process listens there then.
    fn replaced(self) -> (Served, Served) {
        self.dead.store(true, Ordering::SeqCst);
        self.accepting.join().unwrap().into_iter().for_each(|thread| thread.join().unwrap());
        let from = Instant::now();
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(e) => assert!(from.elapsed() < Duration::from_secs(2), "{e}"),
            }
        };
        (self.served, hop_on(listener).1)
    }
}

fn answer(stream: TcpStream, served: &Served, is_dead: &AtomicBool) {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(LOOK_EACH)).unwrap();
    set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    while !is_dead.load(Ordering::SeqCst) {
        let mut first = [0];
        match input.get_ref().peek(&mut first) {
            Ok(0) => return,
            Err(_) => continue,
            Ok(_) => {}
        }
        let Some((head, _)) = request(&mut input) else { return };
        let id = head.iter().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap().to_string();
        served.tell(|served| *served.entry(id).or_default() += 1);
        if output.write_all(ok(&receipt()).as_bytes()).is_err() {
            return;
        }
    }
}

/// Messages that may not be repeated, one every 20 ms, for so long; those that were taken on.
fn hand_in(relay: &Relay, prefix: &str, during: Duration) -> Vec<String> {
    let (from, mut taken) = (Instant::now(), Vec::new());
    while from.elapsed() < during {
        let id = format!("{prefix}{}", taken.len());
        if relay.hand_in(&id, 2) == Some(202) {
            taken.push(id);
        }
        sleep(PAUSE);
    }
    taken
}

fn moved(entry: String) -> String {
    entry.replace(r#""block":1"#, r#""block":2"#)
}

fn no_message_ran_twice(one: &Served, other: &Served, ids: &[String]) {
    let count = |served: &Served, id: &String| served.tell(|served| served.get(id).copied().unwrap_or(0));
    let twice: Vec<_> = ids.iter().filter(|id| count(one, id) + count(other, id) > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

/// Guards the only endpoint of a destination that was listed while the process before it still ran at its address: what that one's
/// end resets does not keep the new one from work.
#[test]
fn a_new_process_alone_at_an_old_address_gets_the_work() {
    for listed_before in [Duration::ZERO, Duration::from_millis(300)] {
        let old = Mortal::start();
        let (was, is) = (entry("old", old.address, "active"), entry("new", old.address, "active"));
        let (discovery, dir) = (Discovery::start(was.clone()), folder());
        let relay = Relay::start(&dir, 256, discovery.address, &was);
        let mut ids = hand_in(&relay, "before", Duration::from_secs(1));
        if !listed_before.is_zero() {
            discovery.next(&format!("{was},{is}"));
            ids.extend(hand_in(&relay, "both", listed_before));
        }
        let (old_served, new_served) = old.replaced();
        discovery.next(&is);
        ids.extend(hand_in(&relay, "while", Duration::from_secs(2)));
        let later = hand_in(&relay, "later", Duration::from_secs(3));
        let all = new_served.until(Duration::from_secs(3), |s| later.iter().all(|id| s.contains_key(id)));
        let count = new_served.tell(|served| served.len());
        assert!(all.is_some(), "listed {listed_before:?} before: {count} served, of {} later", later.len());
        no_message_ran_twice(&old_served, &new_served, &[ids, later].concat());
        std::fs::remove_dir_all(dir).ok();
    }
}

/// Guards a destination from the endpoint of another one that comes up at the address of its own: nothing goes there any more
/// once the list says so.
#[test]
fn a_new_process_of_another_destination_at_an_old_address_gets_none_of_its_work() {
    let old = Mortal::start();
    let (was, is) = (entry("old", old.address, "active"), moved(entry("new", old.address, "active")));
    let (discovery, dir) = (Discovery::start(was.clone()), folder());
    let relay = Relay::start(&dir, 256, discovery.address, &was);
    let ids = hand_in(&relay, "before", Duration::from_secs(1));
    discovery.next(&is);
    // Told, and the second in which sending has to stop is over.
    discovery.asked_again();
    sleep(Duration::from_secs(1));
    let (old_served, new_served) = old.replaced();
    hand_in(&relay, "after", Duration::from_secs(2));
    assert!(new_served.tell(|served| served.is_empty()), "{:?}", new_served.tell(|s| s.clone()));
    no_message_ran_twice(&old_served, &new_served, &ids);
    std::fs::remove_dir_all(dir).ok();
}
