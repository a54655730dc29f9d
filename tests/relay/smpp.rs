//! The SMPP front against stand-in ESMEs and SMSCs: each test says what it guards.

use crate::carriers::{Esme, Submit};
use crate::scenario::{play, stage, World};
use rusmpp::Pdu;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Guards the straight path: taken on, submitted once, answered by one receipt that is owed until accepted.
#[test]
fn a_message_is_submitted_once_and_its_receipt_is_its_one_final_answer() {
    play(
        "relay smpp
         esme a bound
         esme a take 1313 text=hi validity=000000000020000R
         smsc 1 expect hi
         esme a send query_sm hi
         esme a expect query_sm_resp 0
         smsc 1 send 0
         esme a gets hi DELIVRD
         esme a send enquire_link
         esme a expect enquire_link_resp 0
         esme a expect nothing 60000
         smsc 1 expect nothing 1
         esme a send unbind
         esme a expect unbind_resp 0
         esme a expect close",
    );
}

/// Guards intake: each thing that cannot be done has its own status, and what cannot be read ends no more
/// than itself, unless nothing after it could be read either.
#[test]
fn what_cannot_be_taken_on_is_told_by_its_status() {
    play(
        "relay smpp
         esme a send submit_sm 1313 text=early
         esme a expect submit_sm_resp 4
         esme a send hex 00000010 00000099 00000000 00000007
         esme a expect generic_nack 3
         esme a send hex 00000014 00000004 00000000 00000008 41424344
         esme a expect generic_nack 2
         esme a expect close in 1900..2100
         esme a bind transceiver club-a wrong
         esme a expect bind_transceiver_resp 14
         esme a bind transceiver nobody secret
         esme a expect bind_transceiver_resp 15
         esme a bind transmitter club-a secret
         esme a expect bind_transmitter_resp 0
         esme a send submit_sm 9999 text=nowhere
         esme a expect submit_sm_resp 11
         esme a send submit_sm 1313 text=odd validity=261301103800000+
         esme a expect submit_sm_resp 98
         esme r bind receiver club-a secret
         esme r expect bind_receiver_resp 0
         esme r send submit_sm 1313 text=wrong-side
         esme r expect submit_sm_resp 4
         esme a send hex 00000800 00000004 00000000 00000009
         esme a expect close in 0..5
         smsc 1 expect nothing 100",
    );
}

/// The brief's first hard case: the bind drops after the submit and before its answer. The submit may have
/// run: a message that must not repeat is over at once, one that may goes again on a new bind.
#[test]
fn a_bind_dropped_after_the_submit_may_have_carried_it() {
    play(
        "relay smpp
         esme a bound
         esme a take 1313 text=pay service=DUES
         smsc 1 expect pay
         smsc 1 close
         esme a gets pay UNKNOWN in 0..5
         esme a take 2313 text=hi
         smsc 2 expect hi
         smsc 2 close
         smsc 2 expect hi
         smsc 2 send 0
         esme a gets hi DELIVRD
         esme a expect nothing 60000
         smsc 1 expect nothing 1
         smsc 2 expect nothing 1",
    );
}

/// The brief's second hard case: throttled with no wait named. It never ran, so even what must not repeat
/// goes again, after a rest of our own that grows.
#[test]
fn a_throttling_that_names_no_wait_is_rested_from() {
    play(
        "relay smpp
         esme a bound
         esme a take 1313 text=pay service=DUES
         smsc 1 expect pay
         smsc 1 send 88
         smsc 1 expect pay in 20..2000
         smsc 1 send 20
         smsc 1 expect pay in 50..4000
         smsc 1 send 0
         esme a gets pay DELIVRD
         esme a expect nothing 60000
         smsc 1 expect nothing 1",
    );
}

/// Guards the other errors: a system error may have run, a permanent one ends the message at once.
#[test]
fn errors_of_the_smsc_are_told_apart() {
    play(
        "relay smpp
         esme a bound
         esme a take 1313 text=pay service=DUES
         smsc 1 expect pay
         smsc 1 send 8
         esme a gets pay UNKNOWN in 0..5
         esme a take 1313 text=bad
         smsc 1 expect bad
         smsc 1 send 11
         esme a gets bad UNDELIV in 0..5
         esme a take 2313 text=slow
         smsc 2 expect slow
         smsc 2 expect nothing 6000
         smsc 2 send 0
         esme a gets slow DELIVRD in 0..5
         esme a expect nothing 60000
         smsc 2 expect nothing 1",
    );
}

/// Guards a message that may be rejected for good: an answer of which a part is missing, be it the body, the sequence number
/// or the status, is no leave to submit it again, and it ends.
#[test]
fn an_answer_cut_within_a_rejection_is_no_leave_to_submit_again() {
    for bytes in [16, 14, 12, 10, 3] {
        play(&format!(
            "relay smpp
             esme a bound
             esme a take 1313 text=bad
             smsc 1 expect bad
             smsc 1 cut 11 {bytes}
             esme a gets bad REJECTD in 0..50
             smsc 1 expect nothing 20000"
        ));
    }
}

/// Guards what may be repeated: an answer that was cut, and cannot have been a rejection, lets it go again.
#[test]
fn an_answer_cut_within_another_status_lets_a_message_go_again() {
    play(
        "relay smpp
         esme a bound
         esme a take 1313 text=hi
         smsc 1 expect hi
         smsc 1 cut 8 14
         smsc 1 expect hi
         smsc 1 send 0
         esme a gets hi DELIVRD
         esme a expect nothing 60000",
    );
}

/// Guards messages whose answers come late, be it a rejection for good or a delivery: none is submitted a second time beside the
/// first one, and that answer is the last word.
#[test]
fn an_answer_that_comes_late_ends_the_one_submit_of_its_message() {
    for (status, state) in [(11, "UNDELIV"), (0, "DELIVRD")] {
        play(&format!(
            "relay smpp
             esme a bound
             esme a take 1313 text=slow
             smsc 1 expect slow
             smsc 1 expect nothing 8000
             smsc 1 send {status}
             esme a gets slow {state} in 0..50
             smsc 1 expect nothing 20000"
        ));
    }
}

/// Guards what may be repeated where an answer never comes: it goes again, twice in a row, each time once the bind with the
/// earlier submit has ended.
#[test]
fn a_lost_answer_ends_its_bind_before_the_message_goes_again() {
    play(
        "relay smpp
         esme a bound
         esme a take 2313 text=lost
         smsc 2 expect lost
         smsc 2 ended in 9000..10000
         smsc 2 expect lost in 0..1500
         smsc 2 ended in 5000..8000
         smsc 2 expect lost in 0..1500
         smsc 2 send 0
         esme a gets lost DELIVRD in 0..50
         smsc 2 expect nothing 20000",
    );
}

/// Guards messages beside one whose answer is lost: they keep their answers, and go on on another bind meanwhile.
#[test]
fn messages_beside_a_lost_answer_keep_theirs() {
    play(
        "relay smpp
         esme a bound
         esme a take 1313 text=lost
         smsc 1 expect lost
         wait 8000
         esme a take 1414 text=beside
         esme a take 1515 text=another
         smsc 1 expect beside
         smsc 1 expect another
         wait 4000
         smsc 1 answer beside 0
         esme a gets beside DELIVRD in 0..50
         smsc 1 answer another 0
         esme a gets another DELIVRD in 0..50
         smsc 1 expect lost in 0..2000
         smsc 1 answer lost 0
         esme a gets lost DELIVRD in 0..50",
    );
}

/// Guards a window from more than it allows: a submit that is late, or whose message has its end, still takes its place.
#[test]
fn a_late_submit_keeps_its_place_in_the_window() {
    play(
        "relay smpp
         esme a bound
         esme a take 2313 text=pay service=DUES validity=000000000005000R
         smsc 2 expect pay
         esme a take 2414 text=next
         smsc 2 expect nothing 4000
         esme a gets pay UNKNOWN in 0..1100
         smsc 2 ended in 0..300
         smsc 2 expect next in 0..1000
         smsc 2 send 0
         esme a gets next DELIVRD in 0..50",
    );
}

/// Guards a late submit where its SMSC unbinds, its carrier leaves or the relay ends: its message goes again, if at all, once its
/// bind has ended, also where that happens again.
#[test]
fn a_late_submit_is_alone_whoever_says_goodbye() {
    let begin = "relay smpp
        esme a bound
        esme a take 2313 text=slow
        smsc 2 expect slow
        wait 2000";
    let ends = [
        "smsc 2 unbind
         smsc 2 ended in 900..1100
         smsc 2 expect slow in 0..1500
         wait 2000
         smsc 2 unbind
         smsc 2 ended in 900..1100
         smsc 2 expect slow in 0..2500
         smsc 2 send 0
         esme a gets slow DELIVRD in 0..50",
        "carrier 2 leaving
         smsc 2 ended in 7000..8000
         esme a gets slow UNKNOWN in 15000..19000
         smsc 2 expect nothing 1",
        "relay end
         esme a expect unbind 0
         smsc 2 expect nothing 3000
         smsc 2 ended in 0..700
         relay kill
         relay smpp
         esme a bound
         esme a gets slow REJECTD in 0..1500",
    ];
    for end in ends {
        play(&format!("{begin}\n{end}\nsmsc 2 expect nothing 20000"));
    }
}

/// Guards a message that is out at an SMSC whose address changes, twice: it goes to the next one once its submit is over.
#[test]
fn a_late_submit_does_not_go_to_another_smsc_beside_itself() {
    play(
        "relay smpp
         esme a bound
         esme a take 2313 text=slow
         smsc 2 expect slow
         wait 1000
         carrier both swapped
         smsc 1 expect nothing 3000
         carrier both swapped
         smsc 2 ended in 4500..6000
         smsc 2 expect slow in 0..1500
         smsc 2 send 0
         esme a gets slow DELIVRD in 0..50
         smsc 1 expect nothing 20000",
    );
}

/// Guards deadlines: what never got through a bind ends with its validity period, and said so.
#[test]
fn a_message_that_finds_no_bind_expires_with_its_validity() {
    play(
        "relay smpp
         smsc 1 refuse 13
         esme a bound
         esme a take 1313 text=pay service=DUES validity=000000000002000R
         esme a gets pay EXPIRED in 1900..2050
         smsc 1 expect nothing 1",
    );
}

/// Guards receipts of messages whose time is over while a submit of them is out: it may still be accepted.
#[test]
fn a_message_that_is_out_at_its_end_is_not_said_to_have_expired() {
    play(
        "relay smpp
         esme a bound
         esme a take 1313 text=pay service=DUES validity=000000000002000R
         smsc 1 expect pay
         esme a gets pay UNKNOWN in 1400..2050
         smsc 1 send 0
         esme a expect nothing 60000",
    );
}

/// Guards receipts: owed while nobody is bound to receive them, offered again after a refusal and on the next
/// bind, across a restart too, always under the id that the submit was answered with.
#[test]
fn a_receipt_is_offered_until_it_is_accepted() {
    play(
        "relay smpp
         esme a bind transmitter club-a secret
         esme a expect bind_transmitter_resp 0
         esme a take 1313 text=hi
         smsc 1 expect hi
         smsc 1 send 0
         esme a expect nothing 5000
         esme r bind receiver club-a secret
         esme r expect bind_receiver_resp 0
         esme r expect deliver_sm hi DELIVRD
         esme r send deliver_sm_resp 100
         esme r expect deliver_sm hi DELIVRD in 900..1100
         esme r close
         wait 100
         relay kill
         relay smpp
         esme r bound
         esme r gets hi DELIVRD
         wait 10
         relay kill
         relay smpp
         esme r bound
         esme r expect nothing 5000",
    );
}

/// Guards a restart amid all that is out: unsafe and possibly run is over, safe goes again, unsent goes on.
#[test]
fn a_restart_owes_each_message_its_end() {
    play(
        "relay smpp
         esme a bound
         esme a take 1313 text=pay service=DUES
         esme a take 1414 text=hi
         smsc 1 expect pay
         smsc 1 expect hi
         smsc 2 stop
         esme a take 2313 text=wait service=DUES
         relay kill
         smsc 2 listen
         relay smpp
         smsc 1 expect hi
         smsc 1 close
         esme a bound
         esme a gets pay UNKNOWN
         smsc 1 expect hi
         smsc 1 send 0
         esme a gets hi DELIVRD
         smsc 2 expect wait
         smsc 2 send 0
         esme a gets wait DELIVRD
         esme a expect nothing 60000",
    );
}

/// Guards windows and drains: no more out than the window allows, nothing new to a carrier that leaves, by
/// its own unbind or by the file.
#[test]
fn windows_are_kept_and_drains_are_honoured() {
    play(
        "relay smpp
         esme a bound
         esme a take 2313 text=one
         esme a take 2313 text=two
         smsc 2 expect one
         smsc 2 expect nothing 300
         smsc 2 unbind
         smsc 2 send 0
         esme a gets one DELIVRD
         smsc 2 expect two
         smsc 2 send 0
         esme a gets two DELIVRD
         carrier 2 leaving
         esme a take 2313 text=three
         smsc 2 expect nothing 20000",
    );
}

/// Guards a message from the binds of an address that is another partner's by now; what is out there is still answered.
#[test]
fn a_next_hop_with_a_new_address_gets_nothing_more_at_the_old_one() {
    play(
        "relay smpp
         esme a bound
         esme a take 2313 text=one
         smsc 2 expect one
         smsc 2 send 0
         esme a gets one DELIVRD
         esme a take 2313 text=two
         smsc 2 expect two
         carrier both swapped
         esme a take 2313 text=three
         smsc 1 expect three
         smsc 1 send 0
         esme a gets three DELIVRD
         smsc 2 send 0
         esme a gets two DELIVRD
         smsc 2 expect nothing 5000",
    );
}

/// Guards dead binds: an SMSC that has gone silent is found out by enquire_link, and what was out is broken.
#[test]
fn a_silent_smsc_is_found_out_by_enquire_link() {
    play(
        "relay smpp
         esme a bound
         esme a take 1313 text=pay service=DUES
         smsc 1 expect pay
         smsc 1 mute
         esme a expect deliver_sm pay UNKNOWN in 9000..12500",
    );
}

/// Guards the room: too many held or too many receipts owed is told as a full queue, and what cannot go
/// before a planned end as throttled.
#[test]
fn no_room_is_a_full_queue_and_a_planned_end_throttles() {
    let mut script =
        "relay smpp\nesme a bind transmitter club-a secret\nesme a expect bind_transmitter_resp 0\n"
            .to_string();
    for i in 0..6 {
        script += &format!("esme a send submit_sm 1313{i} text=t{i}\nesme a expect submit_sm_resp 0\n");
        script += &format!("wait 1\nsmsc 1 expect t{i}\nsmsc 1 send 0\nwait 1\n");
    }
    script += "esme a send submit_sm 1313 text=over
        esme a expect submit_sm_resp 20
        esme b bind transceiver club-b secret
        esme b expect bind_transceiver_resp 0
        esme b take 1313 text=quiet registered=0
        smsc 1 expect quiet
        smsc 1 send 0
        esme b expect nothing 1000
        relay end
        esme b expect unbind 0
        esme b expect close in 400..600
        wait 2900
        esme c bind transceiver club-b secret
        esme c expect bind_transceiver_resp 0
        esme c send submit_sm 1313 text=late
        esme c expect submit_sm_resp 88";
    play(&script);
}

/// A small seeded generator (splitmix64).
struct Draw(u64);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % n
    }
}

/// What the stand-ins saw of each message.
#[derive(Default)]
struct Tally {
    draw: Option<Draw>,
    /// Submits that reached an SMSC, by text.
    submits: BTreeMap<String, u32>,
    /// Texts that may have taken effect there; those that surely have.
    may_have_run: BTreeSet<String>,
    ran: BTreeSet<String>,
    /// Submits out, by text and life of the relay.
    out: BTreeSet<(u32, String)>,
    /// States told by receipts, and receipts accepted in one life of the relay.
    states: BTreeMap<String, BTreeSet<String>>,
    accepted: BTreeSet<(u32, String)>,
    life: u32,
    kills: u32,
    /// Paused time can pass while bytes are on their way through the system: a timer may then run out, and
    /// what may be told or sent again comes twice.
    loopback: bool,
}

/// Answers a submit, or kills the bind that it came on, as the draw has it.
async fn fate(tally: Rc<RefCell<Tally>>, submit: Submit) {
    let (life, text) = (tally.borrow().life, submit.text.clone());
    let (after, what) = {
        let mut t = tally.borrow_mut();
        let alone = t.out.insert((life, text.clone()));
        assert!(alone || (t.loopback && text.starts_with("notice")), "{text} is out twice at once");
        let again = t.may_have_run.contains(&text);
        assert!(!(again && text.starts_with("dues")), "{text} may have run and came again");
        *t.submits.entry(text.clone()).or_default() += 1;
        t.may_have_run.insert(text.clone());
        let draw = t.draw.as_mut().unwrap();
        (20 + draw.below(200), draw.below(100))
    };
    // Another's fate may be the end of this bind.
    let ended = submit.ended(Duration::from_millis(after)).await;
    let mut t = tally.borrow_mut();
    t.out.remove(&(life, text.clone()));
    if ended {
        return;
    }
    let refused = |t: &mut Tally| t.submits[&text] == 1 && t.may_have_run.remove(&text);
    match what {
        0..=82 => {
            t.ran.insert(text);
            submit.answer(0);
        }
        83..=86 => {
            refused(&mut t);
            submit.answer(if what < 85 { 88 } else { 20 });
        }
        87..=89 => submit.answer(8),
        90..=91 => {
            refused(&mut t);
            submit.answer(11);
        }
        _ => {
            t.kills += 1;
            submit.kill_bind();
        }
    }
}

/// Hears receipts and accepts them.
async fn hear(tally: Rc<RefCell<Tally>>, mut esme: Esme) {
    while let Some(command) = esme.heard.recv().await {
        let Some(Pdu::DeliverSm(deliver)) = command.pdu() else { continue };
        let (text, state) = esme.receipt(deliver);
        let mut t = tally.borrow_mut();
        let life = t.life;
        let first = t.accepted.insert((life, text.clone()));
        assert!(first || t.loopback, "{text} has two final answers");
        t.states.entry(text).or_default().insert(state);
        esme.accept(command.sequence_number(), 0);
    }
}

async fn bound(world: &World, tally: &Rc<RefCell<Tally>>) -> Esme {
    let mut listener = Esme::connect(&world.net, world.texts.clone()).await;
    listener.bind("receiver", "club-a", "secret");
    spawn_local(hear(tally.clone(), listener));
    let mut sender = Esme::connect(&world.net, world.texts.clone()).await;
    sender.bind("transmitter", "club-a", "secret");
    sender
}

async fn many_messages(world: &mut World, seed: u64, count: u32) -> Rc<RefCell<Tally>> {
    let loopback = world.net.loopback;
    let tally = Rc::new(RefCell::new(Tally { draw: Some(Draw(seed)), loopback, ..Tally::default() }));
    if loopback {
        // Time goes by in small steps, each of them with a look at the sockets.
        spawn_local(async {
            loop {
                sleep(Duration::from_millis(1)).await;
            }
        });
    }
    world.start_smpp().await;
    for (_, smsc) in std::mem::take(&mut world.smscs) {
        let (tally, mut submits) = (tally.clone(), smsc.submits);
        spawn_local(async move {
            while let Some(submit) = submits.recv().await {
                spawn_local(fate(tally.clone(), submit));
            }
        });
    }
    let mut esme = bound(world, &tally).await;
    let mut draw = Draw(seed ^ 0x5eed);
    for i in 0..count {
        if i % (count / 3) == count / 3 - 1 {
            world.relay("kill").await;
            tally.borrow_mut().life += 1;
            world.start_smpp().await;
            esme = bound(world, &tally).await;
        }
        let (class, service) = if draw.below(3) == 0 { ("dues", "DUES") } else { ("notice", "") };
        let to = format!("{}{}", 1 + draw.below(2), draw.below(1000));
        esme.submit(&to, &format!("{class}-{i}"), service, "", 1);
        sleep(Duration::from_millis(draw.below(400))).await;
    }
    sleep(Duration::from_secs(60)).await;
    tally
}

/// One final answer for each message that was taken on, the same one whenever it is told again after a
/// restart; no submit beyond what the class allows; never two at once.
fn count_up(seed: u64, count: u32, loopback: bool) {
    stage(loopback, async |world| {
        let tally = many_messages(world, seed, count).await;
        let (t, texts) = (tally.borrow(), world.texts.borrow());
        assert!(
            texts.len() as u32 > count / 2 && t.kills > count / 30,
            "{} taken, {} kills",
            texts.len(),
            t.kills
        );
        for text in texts.values() {
            let states = t.states.get(text).unwrap_or_else(|| panic!("{text} has no final answer"));
            assert_eq!(states.len(), 1, "{text}: {states:?}");
            let delivered = states.contains("DELIVRD");
            assert!(!delivered || t.ran.contains(text), "{text} is said to be delivered and never was");
            assert!(t.submits.get(text).is_none_or(|n| *n <= 8), "{text} went out {} times", t.submits[text]);
        }
        let delivered = t.states.values().filter(|s| s.contains("DELIVRD")).count();
        assert!(delivered * 2 > texts.len(), "{delivered} of {} delivered", texts.len());
    });
}

/// The brief's proof: binds killed by a seeded draw, the relay killed twice amid them.
#[test]
fn with_binds_and_relay_killed_each_message_has_one_final_answer() {
    for seed in [1, 20_261_201, 77] {
        count_up(seed, 300, false);
    }
}

/// The same over loopback sockets.
#[test]
fn the_same_holds_over_loopback_sockets() {
    count_up(4, 150, true);
}
