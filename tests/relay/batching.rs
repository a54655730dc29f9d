//! Batching on the whole relay: each test says what it guards. Destination 1 is of a kind that takes 3 messages a
//! call, on the hops a1 and a2; six calls to it may be out.

use crate::scenario::{batch_ids, play, read, stage, RELAY};
use basaltloom::transport::network::Arrived;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncWriteExt};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Six messages are out to destination 1, each in a call of its own; then these wait: id and class.
fn waiting(messages: &[(&str, &str)]) -> String {
    let mut script = "relay start\n".to_string();
    for i in 1..=6 {
        let hop = if i % 2 == 1 { "a2" } else { "a1" };
        script +=
            &format!("caller x take /safe id=s{i} dest=1 timeout=24000m\nwait 1\nhop {hop} expect s{i}\n");
    }
    for (id, class) in messages {
        script += &format!("caller x take /{class} id={id} dest=1 timeout=24000m\nwait 1\n");
    }
    script
}

/// Of six calls to destination 1 a batch of three is left out, on a2: the others have been answered.
fn batch_out() -> String {
    waiting(&[("t1", "safe"), ("t2", "safe"), ("t3", "safe")])
        + "hop a2 send 200
           hop a2 expect t1,t2,t3
           hop a1 send 200
           hop a1 send 200
           hop a1 send 200
           hop a2 send 200
           hop a2 send 200\n"
}

/// Guards the fate rule: what may not be repeated goes in a call of its own, and those that may go together.
#[test]
fn what_may_not_be_repeated_travels_alone() {
    let script = waiting(&[("u1", "unsafe"), ("t1", "safe"), ("t2", "safe")]);
    play(
        &("operator batching { ; unsafe alone ; }\n".to_string()
            + &script
            + "hop a2 send 200
               hop a2 expect u1
               wait 1
               hop a2 send 200
               hop a2 expect t1,t2
               agent expect nothing 10"),
    );
}

/// Guards the platform's way, which holds without a setting: all classes share, until an operator says otherwise.
#[test]
fn without_a_word_of_the_operators_all_share() {
    let script = waiting(&[("u1", "unsafe"), ("t1", "safe"), ("t2", "safe")]);
    play(
        &(script
            + "hop a2 send 200
               hop a2 expect u1,t1,t2
               operator batching { ; unsafe alone ; }
               caller x take /unsafe id=u2 dest=1 timeout=24000m
               caller x take /safe id=t3 dest=1 timeout=24000m
               wait 1
               hop a2 send 200
               hop a2 expect t3"),
    );
}

/// Guards the time of a batch: a partner may hold the whole of it to that of the message that stands first.
#[test]
fn a_batch_begins_with_a_message_whose_time_is_not_over_while_it_is_out() {
    let script = waiting(&[]);
    play(
        &(script
            + "caller x take /safe id=t1 dest=1 timeout=500m
               caller x take /safe id=t2 dest=1 timeout=9000m
               wait 1
               hop a2 send 200
               hop a2 expect t2,t1"),
    );
}

/// Guards a batch half-accepted before a reset: the answer did not come whole, so nothing of it counts as delivered,
/// and each member may have run. Those that it cannot have called over go again if they may be repeated; the one whose line is
/// missing may have been, so it ends. No end is told twice.
#[test]
fn a_batch_half_accepted_before_a_reset_may_have_run_whole() {
    let script = batch_out();
    play(
        &(script
            + "hop a2 cut HTTP/1.1 200 OK\\r\\ncontent-length: 45\\r\\n\\r\\nt1 accepted\\r\\nt2 accep
               agent expect returned t3 after_ms
               hop a1 expect t1,t2
               hop a1 send 200 t1 accepted t2 accepted
               agent expect nothing 10000"),
    );
}

/// Guards a message whose time is over while the batch that it shares is half written: it does not go on to be written, and
/// the others go again without it.
#[test]
fn a_batch_does_not_go_on_with_a_message_that_has_its_end() {
    let taken = |id, ms| format!("caller x take /safe id={id} dest=1 timeout={ms}m body=*600\nwait 1\n");
    let messages = [taken("t1", 500), taken("t2", 24_000), taken("t3", 24_000)].concat();
    play(
        &("net width 1000\n".to_string()
            + &waiting(&[])
            + &messages
            + "hop a2 deaf 600
               hop a2 send 200
               hop a1 send 200
               hop a1 send 200
               hop a1 send 200
               hop a2 send 200
               hop a2 send 200
               agent expect failed t1
               hop a1 expect t2,t3
               hop a1 send 200 t2 accepted t3 accepted
               hop a2 expect nothing 6000
               agent expect nothing 10000"),
    );
}

/// Guards answers read member by member: in any order, unknown ones passed over; one that is missing or named twice
/// with different ends may have run and goes again, the others have their ends.
#[test]
fn members_are_read_one_by_one_whatever_the_answer_holds() {
    let script = batch_out();
    play(
        &(script
            + "hop a2 send 200 zz accepted t3 accepted t1 accepted t1 deferred
               hop a1 expect t1,t2
               hop a1 send 200 t2 accepted t1 accepted
               agent expect nothing 10000"),
    );
}

/// Guards a wait told inside a batch's answer: it binds all hops, whether a member was put off with it or not.
#[test]
fn a_wait_inside_a_batchs_answer_binds() {
    for (ends, again) in
        [("t1 accepted t2 deferred t3 accepted", "t2"), ("t1 accepted t2 accepted t3 accepted", "t4")]
    {
        let script = batch_out();
        let hop = if again == "t4" { "a2" } else { "a1" };
        let late = if again == "t4" { "caller x take /safe id=t4 dest=1 timeout=24000m\n" } else { "" };
        play(
            &(script
                + &format!(
                    "hop a2 send 200 retry-after=1.5 {ends}
                     {late}
                     hop a1 expect nothing 1490
                     hop a2 expect nothing 1
                     hop {hop} expect {again} in 0..300
                     hop {hop} send 200
                     agent expect nothing 100"
                )),
        );
    }
}

/// Guards the search for a member that has its batch refused: by halves, each refusal a call that never ran; the
/// others are delivered.
#[test]
fn a_member_that_has_a_whole_batch_refused_is_found_by_halves() {
    let script = batch_out();
    play(
        &(script
            + "hop a2 send 413
               hop a1 expect t1,t2
               hop a2 expect t3
               hop a2 send 200
               hop a1 send 400
               hop a2 expect t2
               hop a1 expect t1
               hop a2 send 200
               hop a1 send 200
               agent expect nothing 10000"),
    );
}

/// Guards the byte bound: what would be too large together goes in calls of their own.
#[test]
fn a_batch_stays_within_its_bytes() {
    let mut script = waiting(&[]);
    for i in 1..=3 {
        script += &format!("caller x take /safe id=t{i} dest=1 timeout=24000m body=*30000\n");
    }
    play(
        &(script
            + "hop a2 send 200
               hop a2 expect t1,t2
               wait 1
               hop a2 send 200
               hop a2 expect t3"),
    );
}

/// Guards a drain while a call lingers: it never goes to the hop that leaves, and goes at once elsewhere.
#[test]
fn a_drain_while_a_call_lingers_sends_it_elsewhere() {
    play(
        "operator batching { ; linger 600ms ; }
         relay start
         caller x take /safe id=t1 dest=1 timeout=28000m
         wait 100
         agent list a2 leaving
         hop a1 expect t1 in 0..700
         hop a1 send 200
         hop a2 expect nothing 2000",
    );
}

/// Guards lingering itself: what comes within the time shares the call, a full one goes at once, and none goes later.
#[test]
fn a_call_lingers_until_it_is_full_or_its_time_is_over() {
    play(
        "operator batching { ; unsafe alone ; linger 200ms ; }
         relay start
         agent list a1 leaving
         wait 1100
         caller x take /safe id=t1 dest=1 timeout=28000m
         wait 50
         caller x take /safe id=t2 dest=1 timeout=28000m
         hop a2 expect nothing 140
         hop a2 expect t1,t2 in 0..20
         hop a2 send 200
         caller x take /unsafe id=u1 dest=1 timeout=28000m
         hop a2 expect u1 in 0..1
         hop a2 send 200
         agent expect nothing 10000",
    );
}

/// Guards what lingers when the relay is told to end: it goes at once.
#[test]
fn told_to_end_a_lingering_call_goes_at_once() {
    play(
        "operator batching { ; linger 900ms ; }
         relay start
         caller x take /safe id=t1 dest=1 timeout=28000m
         wait 10
         relay end
         hop a2 expect t1 in 0..5
         hop a2 send 200
         agent expect nothing 100",
    );
}

/// Guards a kill with a batch out, and one that lingers: those out may have run and go again if they may, what
/// lingered goes for the first time, and what may not be repeated is failed, once.
#[test]
fn a_kill_with_a_batch_out_is_replayed_member_by_member() {
    play(
        "operator batching { ; unsafe alone ; linger 100ms ; }
         relay start
         agent list a1 leaving
         wait 1100
         caller x take /safe id=t1 dest=1 timeout=28000m
         wait 10
         caller x take /safe id=t2 dest=1 timeout=28000m
         hop a2 expect t1,t2
         caller x take /unsafe id=u1 dest=1 timeout=24000m
         wait 1
         hop a2 expect u1
         caller x take /safe id=t3 dest=1 timeout=28000m
         wait 10
         relay kill
         hop a2 close
         hop a2 close
         wait 600
         relay start
         agent expect failed u1
         hop a2 expect t1,t2,t3
         hop a2 send 200 t1 accepted t2 accepted t3 accepted
         hop a1 expect nothing 3000
         agent expect nothing 10000",
    );
}

/// Plays a script before `b1`, which takes calls behind one another.
fn play_pipelined(script: &str) {
    let start = "operator batching { ; next-hop b1 { ; depth 8 ; } ; }\nrelay start\npiped b1\n";
    play(&format!("{start}{script}"));
}

/// Guards a message whose time is over while its call waits behind one that is half written: it never begins, and those
/// behind it do.
#[test]
fn a_call_on_a_pipeline_is_not_begun_for_a_message_that_has_its_end() {
    play_pipelined(
        "net width 1000
         caller x take /safe id=p1 dest=2 timeout=24000m body=*3000
         caller x take /safe id=p2 dest=2 timeout=500m
         caller x take /safe id=p3 dest=2 timeout=24000m
         agent expect failed p2
         piped b1 expect p1,p3
         piped b1 send 200
         piped b1 send 200
         agent expect nothing 10000",
    );
}

/// Guards the same where its own call is half written: the connection ends within it, and what stood behind goes on another.
#[test]
fn a_call_on_a_pipeline_does_not_go_on_for_a_message_that_has_its_end() {
    play_pipelined(
        "net width 1000
         caller x take /safe id=p1 dest=2 timeout=500m body=*3000
         caller x take /safe id=p2 dest=2 timeout=24000m
         agent expect failed p1
         piped b1 expect p2
         piped b1 send 200
         agent expect nothing 10000",
    );
}

/// Guards pipelining: calls go behind one another on one connection, answers in order; what may not be repeated has
/// nothing before or behind it.
#[test]
fn calls_go_behind_one_another_where_the_partner_takes_that() {
    play_pipelined(
        "caller x take /safe id=p1 dest=2 timeout=28000m
         caller x take /safe id=p2 dest=2 timeout=28000m
         caller x take /safe id=p3 dest=2 timeout=28000m
         piped b1 expect p1,p2,p3
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         wait 5
         piped b1 send 200
         piped b1 send 200
         piped b1 send 200
         wait 5
         piped b1 other
         piped b1 expect u1
         caller x take /safe id=p4 dest=2 timeout=28000m
         wait 5
         piped b1 send 200
         piped b1 other in 0..50
         piped b1 expect p4
         piped b1 send 200
         agent expect nothing 10000",
    );
}

/// Guards a line that breaks in its middle: what was answered is over, what was written may have run and goes again,
/// on another line, and the partner is not taken for down by one break.
#[test]
fn a_break_in_mid_line_is_one_break_and_each_call_has_its_fate() {
    play_pipelined(
        "caller x take /safe id=p1 dest=2 timeout=28000m
         caller x take /safe id=p2 dest=2 timeout=28000m
         caller x take /safe id=p3 dest=2 timeout=28000m
         caller x take /safe id=p4 dest=2 timeout=28000m
         piped b1 expect p1,p2,p3,p4
         piped b1 send 200
         piped b1 cut HTTP/1.1 200 OK\\r\\ncontent-
         piped b1 expect p2,p3,p4 in 0..5
         piped b1 send 200
         piped b1 send 200
         piped b1 send 200
         agent expect nothing 10000",
    );
}

/// Guards an announced close in mid-line: nothing new behind it, what was written and is not answered goes again.
#[test]
fn an_announced_close_in_mid_line_ends_it() {
    play_pipelined(
        "caller x take /safe id=p1 dest=2 timeout=28000m
         caller x take /safe id=p2 dest=2 timeout=28000m
         piped b1 expect p1,p2
         piped b1 send 200 connection=close
         piped b1 cut
         piped b1 expect p2 in 0..5
         piped b1 send 200
         agent expect nothing 10000",
    );
}

/// Guards calls behind one another from a second copy of the answer to the first: it ends none of those behind, which
/// go again on connections of their own.
#[test]
fn a_copy_in_mid_line_is_not_the_answer_of_the_next_call() {
    let answer = "HTTP/1.1 200 OK\\r\\ncontent-length: 0\\r\\n\\r\\n";
    play_pipelined(&format!(
        "caller x take /safe id=p1 dest=2 timeout=28000m
         caller x take /safe id=p2 dest=2 timeout=28000m
         piped b1 expect p1,p2
         piped b1 cut {answer}{answer}
         piped b1 expect p2 in 0..50
         piped b1 send 200
         agent expect nothing 10000"
    ));
}

/// Guards answers that come out of order or to nobody: nothing on such a line can be trusted, so what is out may
/// have run.
#[test]
fn an_answer_to_nobody_ends_the_line() {
    play_pipelined(
        "caller x take /safe id=p1 dest=2 timeout=28000m
         piped b1 expect p1
         piped b1 send 200
         piped b1 send 200
         wait 5
         caller x take /safe id=p2 dest=2 timeout=28000m
         piped b1 expect p2
         piped b1 send 200
         agent expect nothing 10000",
    );
}

/// Guards what may not be repeated from a connection that carried a refusal: another refusal would read like it, and leave
/// open whether the message ran.
#[test]
fn what_may_not_be_repeated_follows_no_refusal_on_a_pipeline() {
    let refusal = "HTTP/1.1 429 X\\r\\nretry-after: 1\\r\\ncontent-length: 0\\r\\n\\r\\n";
    play_pipelined(&format!(
        "caller x take /safe id=p1 dest=2 timeout=28000m
         piped b1 expect p1
         piped b1 write {refusal}
         piped b1 expect p1
         piped b1 send 200
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         piped b1 other
         piped b1 expect u1
         piped b1 write {refusal}
         piped b1 other
         piped b1 expect u1
         piped b1 send 200
         agent expect nothing 10000"
    ));
}

/// Guards calls from an endpoint that answered nobody: none goes behind another, as if its answers could be told apart.
#[test]
fn after_an_answer_to_nobody_each_call_has_its_connection() {
    play_pipelined(
        "caller x take /safe id=p1 dest=2 timeout=28000m
         piped b1 expect p1
         piped b1 send 200
         piped b1 send 200
         wait 5
         caller x take /safe id=p2 dest=2 timeout=28000m
         piped b1 other in 0..50
         piped b1 expect p2
         piped b1 send 200
         wait 5
         caller x take /safe id=p3 dest=2 timeout=28000m
         piped b1 other in 0..50
         piped b1 expect p3
         piped b1 send 200
         agent expect nothing 10000",
    );
}

/// Guards an endpoint whose connections do not come up for a while: attempts that ended meanwhile leave room for others.
#[test]
fn attempts_given_up_while_a_pipeline_opens_take_no_room() {
    play(
        "operator batching { ; next-hop b1 { ; depth 8 ; } ; }
         relay start
         hop b1 silent
         caller x take /safe id=p1 dest=2 timeout=700m
         agent expect failed p1
         piped b1
         caller x take /safe id=p2 dest=2 timeout=28000m
         piped b1 expect p2 in 0..8000
         piped b1 send 200
         agent expect nothing 10000",
    );
}

/// Guards a call that waits too long behind another: while it may still run there it is not called again elsewhere.
#[test]
fn a_call_given_up_behind_another_is_not_called_again_beside_itself() {
    play_pipelined(
        "caller x take /safe id=p1 dest=2 timeout=28000m
         caller x take /safe id=p2 dest=2 timeout=28000m
         piped b1 expect p1,p2
         piped b1 send 200
         wait 5
         caller x take /safe id=p3 dest=2 timeout=28000m
         piped b1 expect p3
         piped b1 aside in 1900..4000
         piped b1 expect p2
         piped b1 send 200
         piped b1 expect p3
         piped b1 send 200
         agent expect nothing 10000",
    );
}

/// What the partners of a seeded run saw.
#[derive(Default)]
struct Ran {
    /// Times that each message may have run.
    times: HashMap<String, u32>,
    /// In the order in which they first did.
    first: Vec<String>,
    /// Answered for, whole.
    delivered: HashSet<String>,
    batches: usize,
    resets: usize,
}

/// A partner that answers, resets, cuts its answer off, fails, refuses or tells to wait, as its dice fall.
async fn fickle(mut arrived: UnboundedReceiver<Arrived>, seed: u64, ran: Rc<RefCell<Ran>>) {
    let dice = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
    while let Some(Arrived { stream, .. }) = arrived.recv().await {
        let (dice, ran) = (dice.clone(), ran.clone());
        spawn_local(async move {
            let (mut input, mut output) = split(stream);
            while let Some(said) = read(&mut input).await {
                let ids = match said.headers.get("x-request-id") {
                    Some(id) => vec![id.clone()],
                    None => batch_ids(&said.body),
                };
                let (what, wait) = {
                    let mut dice = dice.borrow_mut();
                    (dice.next_u32() % 100, u64::from(dice.next_u32() % 80))
                };
                sleep(Duration::from_millis(5 + wait)).await;
                if !(92..95).contains(&what) {
                    let mut ran = ran.borrow_mut();
                    ran.batches += usize::from(ids.len() > 1);
                    for id in &ids {
                        *ran.times.entry(id.clone()).or_default() += 1;
                        if !ran.first.contains(id) {
                            ran.first.push(id.clone());
                        }
                    }
                }
                let body: String = match ids.len() {
                    1 => format!("{:016x}", ran.borrow().times.values().sum::<u32>()),
                    _ => ids.iter().map(|id| format!("{id} accepted\r\n")).collect(),
                };
                let whole = format!("HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                let empty = |status: &str| format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
                let text = match what {
                    0..=91 => whole,
                    92..=93 => empty("429 X\r\nretry-after: 0.02"),
                    94 => empty("503 X"),
                    95 => empty("500 X"),
                    // Half an answer of a batch, and then a reset; of a single one not even its first line.
                    96..=97 => whole[..if ids.len() > 1 { whole.len() - 4 } else { 9 }].to_string(),
                    _ => String::new(),
                };
                if what < 92 {
                    ran.borrow_mut().delivered.extend(ids);
                }
                output.write_all(text.as_bytes()).await.ok();
                if what >= 96 {
                    ran.borrow_mut().resets += 1;
                    return;
                }
            }
        });
    }
}

/// Guards all of it at once, over thousands of messages and random resets, with batches, lingering and pipelines: no
/// dues charge runs twice, each message has one end, messages of a key run in the order taken.
#[test]
fn thousands_of_messages_through_random_resets_end_once_each() {
    for seed in 0..3 {
        stage(false, async |world| {
            world.terms("batching {\n unsafe alone\n linger 15ms\n next-hop b1 {\n depth 4\n }\n}");
            world.relay("start").await;
            let ran = Rc::new(RefCell::new(Ran::default()));
            for (i, at) in ["10.1.0.1:80", "10.1.0.2:80", "10.1.0.3:80"].iter().enumerate() {
                let arrived = world.net.open(at.parse().unwrap());
                spawn_local(fickle(arrived, seed * 10 + i as u64, ran.clone()));
            }
            let mut dice = ChaCha8Rng::seed_from_u64(seed);
            let (mut input, mut output) = split(world.net.dial(RELAY.parse().unwrap()).await.unwrap());
            let (mut taken, mut of_key) = (Vec::new(), HashMap::<(u32, u32), Vec<String>>::new());
            for n in 0..1_200 {
                let (class, dest, key) = (dice.next_u32() % 3, 1 + dice.next_u32() % 2, dice.next_u32() % 20);
                let path = ["ordered", "safe", "unsafe"][class as usize];
                let text = format!(
                    "POST /{path}?thread=k{key}-{dest} HTTP/1.1\r\nhost: x\r\nx-request-id: m{n}\r\nx-timeout: 28000m\r\n\
                     idempotency-key: i{n}\r\nx-consignee: dest={dest}\r\ncontent-length: 5\r\n\r\nhello"
                );
                // Turned away, it comes again until there is room.
                let on = loop {
                    output.write_all(text.as_bytes()).await.unwrap();
                    match read(&mut input).await.unwrap().first.split(' ').nth(1) {
                        Some("202") => break true,
                        Some("503") => sleep(Duration::from_millis(20)).await,
                        _ => break false,
                    }
                };
                if on {
                    taken.push(format!("m{n}"));
                    if class == 0 {
                        of_key.entry((key, dest)).or_default().push(format!("m{n}"));
                    }
                }
                sleep(Duration::from_millis(u64::from(dice.next_u32() % 10))).await;
            }
            sleep(Duration::from_secs(40)).await;
            let notices = world.notices();
            let told = |id: &str| notices.iter().filter(|n| n.contains(&format!("\"id\":\"{id}\""))).count();
            let ran = ran.borrow();
            assert!(
                taken.len() > 600 && ran.batches > 30 && ran.resets > 20,
                "seed {seed}: {} {} {}",
                taken.len(),
                ran.batches,
                ran.resets
            );
            for id in &taken {
                let (times, ends) = (ran.times.get(id).copied().unwrap_or(0), told(id));
                let delivered = ran.delivered.contains(id);
                assert_eq!(ends + usize::from(delivered), 1, "{id} ran {times} times");
                let unsafe_one = !of_key.values().any(|ids| ids.contains(id)) && times > 1;
                if unsafe_one {
                    let n: usize = id[1..].parse().unwrap();
                    assert!(safe(seed, n), "{id} is a dues charge and may have run {times} times");
                }
            }
            let at = |id: &String| ran.first.iter().position(|f| f == id);
            for ids in of_key.values() {
                let places: Vec<usize> = ids.iter().filter_map(at).collect();
                assert!(places.is_sorted(), "{ids:?} ran in the order {places:?}");
            }
        });
    }
}

/// Whether message `n` of a seeded run is of the class that may be repeated.
fn safe(seed: u64, n: usize) -> bool {
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..n {
        (0..4).for_each(|_| _ = dice.next_u32());
    }
    dice.next_u32() % 3 == 1
}
