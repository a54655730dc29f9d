//! Admission on the whole relay: each test says what it guards. The relay has 76 descriptors: room for 29 legs, of
//! which 3 are kept for known clients, and from 19 on each new leg has one closed.

use crate::network::{Places, Seen};
use crate::scenario::play;
use basaltloom::admission::ledger::{Ledger, Purse};
use basaltloom::admission::Settings;
use basaltloom::transport::network::{Counted, Net};
use basaltloom::transport::Door;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout};

/// Guards known and new clients against a flood from one address: whoever holds most gives way, so that others
/// keep their legs and get new ones, while the flood's own make room for one another.
#[test]
fn a_flood_from_one_address_shuts_nobody_else_out() {
    let mut script = "relay start
        caller k from 10.6.0.1:1 take /safe id=k0 dest=2 timeout=24000m
        hop b1 expect k0
        hop b1 send 200\n"
        .to_string();
    for i in 0..80 {
        script += &format!("caller f{i} from 10.5.0.1:1 hello\n");
        if i % 20 == 10 {
            script += &format!(
                "caller n{i} from 10.7.0.{i}:1 take /safe id=n{i} dest=2 timeout=24000m
                 hop b1 expect n{i}
                 hop b1 send 200\n"
            );
        }
    }
    script += "caller k take /safe id=k1 dest=2 timeout=24000m
        hop b1 expect k1
        hop b1 send 200
        caller f0 expect close in 0..5
        caller f40 expect close in 0..5";
    play(&script);
}

/// Guards a known client behind the address of a flood, where a cap on the address alone would shut it out: the
/// flood's legs that earned nothing give way to a newcomer of that address, and the leg that earned most stays.
#[test]
fn a_known_client_behind_the_floods_own_address_gets_in() {
    let mut script = "operator admission { ; address legs 6 ; }
        relay start\n"
        .to_string();
    for i in 0..3 {
        script += &format!(
            "caller k from 10.5.0.1:1 take /safe id=k{i} dest=2 timeout=24000m
             hop b1 expect k{i}
             hop b1 send 200\n"
        );
    }
    for i in 0..40 {
        script += &format!("caller f{i} from 10.5.0.1:1 hello\n");
        if i % 10 == 9 {
            script += &format!(
                "caller n{i} from 10.5.0.1:1 take /safe id=n{i} dest=2 timeout=24000m
                 hop b1 expect n{i}
                 hop b1 send 200\n"
            );
        }
    }
    script += "caller k take /safe id=k9 dest=2 timeout=24000m
        hop b1 expect k9
        hop b1 send 200";
    play(&script);
}

/// Guards caps: an address at its cap whose legs all have a request open has its next one refused at once, without
/// a head being waited for, and nobody else pays.
#[test]
fn beyond_its_cap_an_address_is_told_so_at_once() {
    play(
        "operator admission { ; address legs 2 ; refuse 503 after 2s ; }
         relay start
         caller a from 10.5.0.1:1 raw POST /safe HTTP/1.1\\r\\ncontent-length: 9\\r\\nx-request-id: a\\r\\nx-timeout: 9m\\r\\nx-consignee: dest=2\\r\\n\\r\\nx
         caller b from 10.5.0.1:1 raw POST /safe HTTP/1.1\\r\\ncontent-length: 9\\r\\nx-request-id: b\\r\\nx-timeout: 9m\\r\\nx-consignee: dest=2\\r\\n\\r\\nx
         wait 1
         caller c from 10.5.0.1:1 hello
         caller c expect 503 retry-after in 0..1
         caller c expect close in 0..1
         caller d from 10.5.0.2:1 send GET /ready
         caller d expect 200",
    );
}

/// Guards a known network within a capped one: the longest match decides alone, and what the outer network holds
/// does not count against the inner, nor the other way round.
#[test]
fn a_known_network_within_a_capped_one_is_not_capped() {
    play(
        "operator admission { ; network 10.5.0.0/16 { ; together legs 2 ; } ; network 10.5.7.0/24 { ; known ; } ; }
         relay start
         caller a from 10.5.0.1:1 hello
         caller b from 10.5.0.2:1 hello
         caller k1 from 10.5.7.1:1 send GET /ready
         caller k1 expect 200
         caller k2 from 10.5.7.1:1 send GET /ready
         caller k2 expect 200
         caller k3 from 10.5.7.2:1 send GET /ready
         caller k3 expect 200
         wait 100
         caller c from 10.5.0.3:1 send GET /ready
         caller c expect 200
         caller a expect close in 0..1
         caller k1 send GET /ready
         caller k1 expect 200
         caller b send GET /ready
         caller b expect 200",
    );
}

/// Guards a cap that is lowered below what is open: what waits closes at once, least earned first; what has a
/// request keeps its leg until that is answered, and its answer.
#[test]
fn a_cap_lowered_by_sighup_closes_what_is_idle_and_answers_what_is_open() {
    play(
        "relay start
         caller a from 10.5.0.1:1 take /safe id=a1 dest=2 timeout=24000m
         hop b1 expect a1
         hop b1 send 200
         caller a take /safe id=a2 dest=2 timeout=24000m
         hop b1 expect a2
         hop b1 send 200
         caller b from 10.5.0.1:1 hello
         caller c from 10.5.0.1:1 raw POST /safe HTTP/1.1\\r\\ncontent-length: 2\\r\\nx-request-id: c1\\r\\nx-timeout: 24000m\\r\\nx-consignee: dest=2\\r\\n\\r\\nx
         caller d from 10.5.0.1:1 send GET /ready
         caller d expect 200
         caller o from 10.6.0.1:1 send GET /ready
         caller o expect 200
         wait 1
         operator admission { ; address legs 1 ; }
         caller b expect close in 0..1
         caller d expect close in 0..1
         caller a expect close in 0..1
         caller c raw y
         caller c expect 202
         hop b1 expect c1
         hop b1 send 200
         caller o send GET /ready
         caller o expect 200
         agent expect nothing 10000",
    );
}

/// Guards reloads: a file with an error is told whole and changes nothing; this is what `operator::parse` is asked
/// for before anything of it holds.
#[test]
fn a_barred_network_gets_nothing_and_its_open_legs_close() {
    play(
        "relay start
         caller a from 10.5.0.1:1 send GET /ready
         caller a expect 200
         operator admission { ; network 10.5.0.0/16 { ; barred ; } ; }
         caller a expect close in 0..1
         caller b from 10.5.0.1:1 hello
         caller b expect 503
         caller b expect close
         caller c from 10.6.0.1:1 send GET /ready
         caller c expect 200",
    );
}

/// Guards a rate: what comes faster is refused, and the bucket fills again.
#[test]
fn an_address_that_comes_too_fast_is_refused_until_its_bucket_fills() {
    play(
        "operator admission { ; address rate 10/s burst 2 ; }
         relay start
         caller a from 10.5.0.1:1 send GET /ready
         caller a expect 200
         caller b from 10.5.0.1:1 send GET /ready
         caller b expect 200
         caller c from 10.5.0.1:1 hello
         caller c expect 503 retry-after
         caller d from 10.5.0.2:1 send GET /ready
         caller d expect 200
         wait 150
         caller e from 10.5.0.1:1 send GET /ready
         caller e expect 200
         caller f from 10.5.0.1:1 hello
         caller f expect 503",
    );
}

/// Guards the PROXY protocol: heeded from listed networks alone, where it decides whose leg it is; a header that
/// cannot be read, or from elsewhere, closes the leg and passes nothing on.
#[test]
fn a_fronts_word_counts_and_a_spoofed_one_does_not() {
    play(
        "operator admission { ; address legs 1 ; network 10.20.0.0/16 { ; front ; } ; }
         relay start
         caller a from 10.20.0.1:1 raw PROXY TCP4 10.5.0.1 10.0.0.1 1111 5000\\r\\nGET /ready HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n
         caller a expect 200
         caller b from 10.20.0.1:2 raw PROXY TCP6 2001:db8::1 2001:db8::2 1111 5000\\r\\n
         caller b send GET /ready
         caller b expect 200
         caller h from 10.20.0.1:3 raw PROXY UNKNOWN\\r\\nGET /ready HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n
         caller h expect 200
         caller c from 10.20.0.2:1 raw PROXY TCP4 10.5.0.1 10.0.0.1 1112 5000\\r\\nPOST /safe HTTP/1.1\\r\\ncontent-length: 9\\r\\n\\r\\n
         caller c expect 400
         caller s from 10.5.0.9:1 raw PROXY TCP4 10.5.0.1 10.0.0.1 1 5000\\r\\nPOST /safe HTTP/1.1\\r\\ncontent-length: 2\\r\\nx-request-id: s1\\r\\nx-timeout: 24000m\\r\\nx-consignee: dest=2\\r\\n\\r\\nhi
         caller s expect 400
         caller s expect close in 0..1010
         caller m from 10.20.0.3:1 raw PROXY TCP4 10.5.0.300 10.0.0.1 1 5000\\r\\nGET /ready HTTP/1.1\\r\\nhost: x\\r\\n\\r\\n
         caller m expect close in 0..1
         caller n from 10.20.0.3:1 send GET /ready
         caller n expect close in 0..1
         caller q from 10.20.0.3:1 hello
         caller q expect close in 1990..2010
         hop b1 expect nothing 1000",
    );
}

/// Guards room against heads that trickle: however slowly the next byte comes, the head's time runs from its first.
#[test]
fn a_slow_trickle_of_a_head_is_cut_off() {
    play(
        "relay start
         caller t raw POST /sa
         wait 700
         caller t raw fe HTT
         wait 700
         caller t raw P/1.1\\r\\n
         wait 500
         caller t raw host: x\\r\\n
         caller t expect close in 0..610",
    );
}

/// Guards callers in the queue when descriptors run out in the middle of accepting: the reserve descriptor takes
/// each and tells it at once, again and again, and all is as before once there are some.
#[test]
fn descriptors_that_run_out_mid_accept_have_callers_told_at_once() {
    play(
        "relay start
         caller k take /safe id=k1 dest=2 timeout=24000m
         hop b1 expect k1
         descriptors short
         caller a hello
         caller a expect 503 retry-after in 0..1
         caller b hello
         caller b expect 503 retry-after in 0..1
         caller c hello
         caller c expect 503 retry-after in 0..1
         hop b1 send 200
         descriptors enough
         caller d take /safe id=d1 dest=3 timeout=24000m
         hop c1 expect d1
         hop c1 send 200
         agent expect nothing 10000",
    );
}

/// Guards what is owed against callers, where descriptors are short because of calls: calls get theirs, and legs
/// give way for them, others before known ones; what callers may draw ends where the parts of those before begin.
#[test]
fn calls_get_their_descriptors_from_legs_that_wait() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let places = Rc::new(Places::default());
        let net: Net = Rc::new(Seen(places.clone()));
        // Ten in all, four of them kept for calls; somebody believed in ten legs.
        let ledger = Ledger::new(10, [0, 4, 0, 0]);
        let door = Door::new(Settings { reserve: 0, ..Settings::plain(10, 10) }, ledger.clone(), net.clone());
        spawn_local(door.clone().give_way());
        let at: SocketAddr = "10.0.0.1:1".parse().unwrap();
        let hop: SocketAddr = "10.0.0.2:1".parse().unwrap();
        let listener = net.listen(at).await.unwrap();
        let mut lines = places.open(hop);
        let mut legs = Vec::new();
        for _ in 0..10 {
            drop(places.dial(at).await.unwrap());
        }
        while let Ok((stream, entrant)) =
            timeout(Duration::from_millis(1), door.next(&*listener, b"no")).await
        {
            legs.push(spawn_local(async move {
                entrant.evicted().await;
                drop((stream, entrant));
            }));
        }
        assert_eq!(ledger.drawn(Purse::Others), 6, "four are kept for calls");
        let tally = door.take_tally();
        assert_eq!((tally.refusals(), tally.made_room), (0, 4), "the flood makes room for itself");
        let calls = Counted::over(net.clone(), ledger.clone(), Purse::Calls);
        let mut open = Vec::new();
        for _ in 0..4 {
            open.push(calls.connect(hop).await.unwrap());
        }
        // The fifth is more than was kept: it is refused once, a leg gives way for it, and the next try gets it.
        assert_eq!(calls.connect(hop).await.err().and_then(|e| e.raw_os_error()), Some(24));
        sleep(Duration::from_millis(1)).await;
        open.push(calls.connect(hop).await.unwrap());
        assert_eq!((ledger.drawn(Purse::Calls), ledger.left(Purse::Others)), (5, 0));
        drop(open);
        assert_eq!(ledger.left(Purse::Others), 10 - 4 - ledger.drawn(Purse::Others));
        while lines.try_recv().is_ok() {}
    });
}

/// Guards SMPP legs, which go through the same door: one that is bound has an account's word and stays, those that
/// never bind give way.
#[test]
fn bound_esmes_stay_while_silent_ones_give_way() {
    let mut script = "operator admission { ; room 6 ; ease-at 6 ; reserve 2 ; }
        relay smpp
        esme a bound
        esme a take 1313 text=hi
        smsc 1 expect hi\n"
        .to_string();
    for i in 0..20 {
        script += &format!("esme f{i} send hex 0000\n");
    }
    script += "smsc 1 send 0
        esme a gets hi DELIVRD
        esme b bound
        esme f0 expect close in 0..1";
    play(&script);
}
