//! The platform's front: each test says what it guards.

use crate::scenario::play;

/// Guards the straight path: 202 once journaled, the message unchanged to a next hop of its destination,
/// one connection for calls that follow one another.
#[test]
fn a_message_is_taken_carried_and_over() {
    play(
        "relay start
         caller x send GET /ready
         caller x expect 200
         caller x take /unsafe id=m1 dest=2 timeout=24000m key=k1 body=pay
         hop b1 expect m1 body=pay idempotency-key=k1 content-length=3
         wait 200
         hop b1 send 200
         caller x take /safe id=m2 dest=2 timeout=24000m
         hop b1 expect m2
         hop b1 send 200
         agent expect nothing 30000",
    );
}

/// Guards intake against what cannot be handled: nothing of it may reach a next hop or end the relay.
#[test]
fn bad_input_gets_its_own_answer() {
    play(
        "relay start
         caller x send POST /safe dest=2 timeout=9000m
         caller x expect 400
         caller x send POST /safe id=a\u{e9}b dest=2 timeout=9000m
         caller x expect 400
         caller x send POST /safe id=m dest=2
         caller x expect 400
         caller x send POST /safe id=m dest=2 timeout=9s
         caller x expect 400
         caller x send POST /safe id=m timeout=9000m
         caller x expect 400
         caller x send POST /safe id=m dest=two timeout=9000m
         caller x expect 400
         caller x send POST /safe id=- dest=2 timeout=9000m
         caller x expect 400
         caller x send POST /nowhere id=m dest=2 timeout=9000m
         caller x expect 404
         caller x send GET /safe id=m dest=2 timeout=9000m
         caller x expect 405 allow
         caller x send POST /safe id=m dest=2 timeout=9000m body=*65537
         caller x expect 413
         caller y take /safe id=m dest=2 timeout=9000m body=*65536
         hop b1 expect m content-length=65536
         hop b1 send 200
         agent expect nothing 10000",
    );
}

/// Guards what was delivered from a caller that never heard that it was taken on, since the process was killed: handed in
/// again, it is not called again.
#[test]
fn what_a_killed_process_delivered_is_not_called_again() {
    play(
        "relay start
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         hop b1 send 200
         wait 5
         relay kill
         wait 600
         relay start
         caller y take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect nothing 10000
         agent expect nothing 100",
    );
}

/// Guards what was taken on against the end of the process: an attempt whose outcome nobody heard may have
/// run, so an unsafe message gets `failed`, a safe one goes again, and one that was never out goes for the
/// first time, all in the order taken and under the ids of the first life.
#[test]
fn a_kill_loses_nothing_and_repeats_nothing_unsafe() {
    play(
        "relay start
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         caller x take /safe id=s1 dest=3 timeout=24000m key=kk
         hop c1 expect s1
         hop a1 refuse
         hop a2 refuse
         caller x take /unsafe id=u2 dest=1 timeout=24000m
         relay kill
         hop b1 close
         hop c1 close
         hop a1 listen
         hop a2 listen
         wait 600
         relay start
         agent expect failed u1
         hop c1 expect s1 idempotency-key=kk
         hop c1 send 200
         hop a2 expect u2
         hop a2 send 200
         hop b1 expect nothing 10000
         relay kill
         relay start
         agent expect nothing 100",
    );
}

/// Guards the end of a message that a next hop answers with an error: it may have run, so an unsafe one is
/// failed at once and a safe one goes again.
#[test]
fn an_error_ends_an_unsafe_message_at_once_and_repeats_a_safe_one() {
    play(
        "relay start
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         hop b1 send 500
         agent expect failed u1 in 0..5
         caller x take /safe id=s1 dest=3 timeout=24000m
         hop c1 expect s1
         hop c1 send 500
         hop c1 expect s1
         hop c1 send 200
         agent expect nothing 10000",
    );
}

/// Guards the two ends of a connection's life: one that breaks with the call out may have carried it, one
/// that is refused has not.
#[test]
fn a_break_after_the_last_byte_may_have_run_and_a_refused_connection_has_not() {
    play(
        "relay start
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         hop b1 close
         agent expect failed u1 in 0..5
         hop c1 refuse
         caller x take /unsafe id=u2 dest=3 timeout=24000m
         wait 300
         hop c1 listen
         hop c1 expect u2
         hop c1 send 200
         agent expect nothing 10000",
    );
}

/// Guards told waits: nothing goes to the destination, on any of its hops, before the wait is over.
#[test]
fn a_told_wait_binds_all_hops_of_the_destination() {
    play(
        "relay start
         caller x take /safe id=s1 dest=1 timeout=24000m
         hop a2 expect s1
         hop a2 send 429 retry-after=1.5
         caller x take /safe id=s2 dest=1 timeout=24000m
         hop a1 expect nothing 1490
         hop a2 expect nothing 1",
    );
}

/// Guards the answers that say a call was never let through, each with its own meaning: no slot (goes
/// again), all attempts made (its end is owed at once), over (nothing is owed).
#[test]
fn busy_spent_and_over_are_told_apart() {
    play(
        "relay start
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         hop b1 send 503 x-line-busy=1
         hop b1 expect u1
         hop b1 send 504
         agent expect returned u1 after_ms in 0..5
         caller x take /unsafe id=u2 dest=2 timeout=24000m
         hop b1 expect u2
         hop b1 send 410
         agent expect nothing 30000
         hop b1 expect nothing 1",
    );
}

/// Guards a silent hop: the attempt ends by its timer, the connection with it, and the next goes on another.
#[test]
fn a_silent_call_times_out_and_closes_its_connection() {
    play(
        "relay start
         caller x take /safe id=s1 dest=2 timeout=24000m
         hop b1 expect s1
         hop b1 hangup in 500..4000
         hop b1 expect s1
         hop b1 send 200
         agent expect nothing 30000",
    );
}

/// Guards batches: what is held for one hop of a kind that takes several goes as one call, and each message
/// has the end that the answer gives it.
#[test]
fn messages_that_waited_travel_together_and_fare_apart() {
    let mut script = "relay start\n".to_string();
    for i in 1..=9 {
        script += &format!("caller x send POST /safe id=s{i} dest=1 timeout=24000m\n");
        script += "caller x expect 202\nwait 1\n";
    }
    script += "hop a2 expect s1
        hop a1 expect s2
        hop a2 expect s3
        hop a1 expect s4
        hop a2 expect s5
        hop a1 expect s6
        hop a2 send 200
        hop a2 expect s7,s8,s9
        hop a2 expect nothing 10
        hop a2 send 200
        hop a2 send 200
        hop a2 send 200 s7 accepted s8 fault s9 deferred
        hop a1 send 200
        hop a1 send 200
        hop a1 send 200
        hop a1 expect s8,s9
        hop a1 send 200 s8 accepted s9 accepted
        agent expect nothing 30000";
    play(&script);
}

/// Guards drains: no call to a hop that is leaving, not even one whose connection was slow to come up.
#[test]
fn a_hop_that_leaves_gets_nothing_new_even_on_a_slow_connection() {
    play(
        "relay start
         hop b1 slow 700
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         wait 100
         agent list b1 leaving
         hop b1 expect nothing 5000
         agent list b1 active
         hop b1 expect u1
         hop b1 send 200
         agent expect nothing 30000",
    );
}

/// Guards notices: each is told until it is acknowledged, also by the next life of the relay, and a message
/// that was handed back is not delivered as well.
#[test]
fn a_notice_is_told_until_it_is_acknowledged_across_a_restart() {
    play(
        "relay start
         agent down
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         hop b1 send 504
         wait 3000
         relay kill
         relay start
         hop b1 expect nothing 3000
         agent up
         agent expect returned u1 after_ms
         relay kill
         relay start
         agent expect nothing 3000",
    );
}

/// Guards a planned end: legs close between requests, what is out comes to its end, and nothing starts that
/// could not end before the kill: it is handed back for others to take.
#[test]
fn told_to_end_it_sees_out_what_is_out_and_hands_back_the_rest() {
    play(
        "relay start
         caller y send GET /ready
         caller y expect 200
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         relay end
         caller x expect close in 0..5
         caller y expect close
         wait 100
         caller z take /unsafe id=u2 dest=3 timeout=24000m
         hop c1 expect u2
         hop c1 send 200
         wait 900
         hop b1 send 200
         wait 2300
         caller w send POST /unsafe id=u3 dest=3 timeout=24000m
         caller w expect 503 retry-after
         hop c1 expect nothing 5000",
    );
}

/// Guards order: messages of one key go one at a time in the order taken, across a restart too.
#[test]
fn messages_of_a_key_keep_their_order_across_a_restart() {
    play(
        "relay start
         hop b1 refuse
         caller x take /ordered?thread=k id=o1 dest=2 timeout=24000m
         caller x take /ordered?thread=k id=o2 dest=2 timeout=24000m
         caller x take /ordered?thread=k id=o3 dest=3 timeout=24000m
         hop c1 expect nothing 100
         relay kill
         hop b1 listen
         relay start
         hop b1 expect o1
         hop b1 expect nothing 100
         hop b1 send 200
         hop b1 expect o2
         hop c1 expect nothing 100
         hop b1 send 200
         hop c1 expect o3
         hop c1 send 200
         agent expect nothing 30000",
    );
}

/// Guards order against a slow platform: a message that ends by a notice is over once that is answered, and
/// only then the next of its key goes, in the next life of the relay too.
#[test]
fn a_key_waits_until_the_notice_of_the_one_before_is_answered() {
    play(
        "relay start
         agent down
         caller x take /ordered?thread=k id=o1 dest=2 timeout=24000m
         hop b1 expect o1
         caller x take /ordered?thread=k id=o2 dest=3 timeout=24000m
         hop b1 send 504
         hop c1 expect nothing 3000
         relay kill
         relay start
         hop c1 expect nothing 3000
         agent up
         agent expect returned o1 after_ms
         hop c1 expect o2
         hop c1 send 200
         agent expect nothing 30000",
    );
}

/// Guards partners that come back cold against a relay that was restarted meanwhile: what it saw fail in its
/// last life it tries with single calls in the next.
#[test]
fn an_outage_is_remembered_across_a_restart() {
    play(
        "relay start
         hop b1 refuse
         caller x take /safe id=s1 dest=2 timeout=24000m
         caller x take /safe id=s2 dest=2 timeout=24000m
         caller x take /safe id=s3 dest=2 timeout=24000m
         wait 100
         relay kill
         hop b1 listen
         relay start
         hop b1 expect s1 in 450..5000
         hop b1 expect nothing 400
         hop b1 send 200
         hop b1 expect s2
         hop b1 send 200
         hop b1 expect s3
         hop b1 send 200
         agent expect nothing 30000",
    );
}

/// Guards the room: the least hopeful goes, with advice: the newcomer by its answer, one held by a notice.
#[test]
fn a_full_relay_turns_away_with_advice() {
    let mut script = "relay start\nhop b1 silent\n".to_string();
    for i in 0..11 {
        script += &format!("caller x take /unsafe id=u{i} dest=2 timeout=24000m\n");
    }
    script += "caller x send POST /safe id=s1 dest=2 timeout=24000m
        caller x expect 503 retry-after
        caller x take /unsafe id=u11 dest=2 timeout=24000m
        agent expect returned u6 after_ms";
    play(&script);
}

/// Guards a caller that is gone before it could hear the answer: it hands the message in again elsewhere, so
/// nothing of it may go out later.
#[test]
fn a_message_whose_caller_never_heard_is_withdrawn() {
    play(
        "relay start
         hop b1 refuse
         caller x send POST /unsafe id=u1 dest=2 timeout=24000m
         caller x close
         wait 100
         hop b1 listen
         hop b1 expect nothing 20000
         agent expect nothing 20000",
    );
}

/// Guards the importer's configuration in service: destinations and times by class, `max_conns` as a bound,
/// a backup only once the others are sick, `location /` for paths that begin like no other.
#[test]
fn an_imported_configuration_serves() {
    play(
        "relay import
         caller x take /notice id=m1
         hop b1 expect m1
         caller x take /notice id=m2
         hop c1 expect nothing 300
         hop b1 expect nothing 1
         hop b1 send 200
         hop b1 expect m2
         hop b1 close
         hop b1 refuse
         hop c1 expect m2
         hop c1 send 200
         caller x take /elsewhere id=m3
         hop a1 expect m3
         hop a1 send 200",
    );
}

/// Guards a move of discovery and notices under load: what is held and out goes on, the list is that of the
/// new address at once, and an end that the old one never acknowledged is told to the new one.
#[test]
fn a_configuration_read_again_moves_discovery_and_notices_and_nothing_else() {
    play(
        "relay start
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         agent down
         caller x take /unsafe id=u2 dest=3 timeout=24000m
         hop c1 expect u2
         hop c1 send 504
         wait 300
         relay move
         agent up
         agent expect returned u2 after_ms in 0..200
         agent list c1 leaving
         wait 50
         caller x take /safe id=s1 dest=3 timeout=24000m
         hop c1 expect nothing 1000
         hop b1 send 200
         agent list c1 active
         hop c1 expect s1
         hop c1 send 200
         agent expect nothing 30000",
    );
}

/// Guards intake against legs that hold room: one that says nothing or never ends its head is closed within
/// 3 s, one that has asked once 2 s after, and one that asks again just before that stays. (A step at the very
/// instant of the timer would leave the verdict to the order of two wake-ups.)
#[test]
fn legs_that_keep_a_relay_waiting_are_closed() {
    play(
        "relay start
         caller s hello
         caller s expect close in 1900..2900
         caller h raw POST /safe HTTP/1.1\\r\\nhost: x\\r\\nx-long: *9000
         caller h expect close in 1900..2900
         caller o take /safe id=s1 dest=2 timeout=24000m
         hop b1 expect s1
         hop b1 send 200
         caller o expect close in 1990..2010
         caller m take /safe id=s2 dest=2 timeout=24000m
         wait 1990
         caller m take /safe id=s3 dest=3 timeout=24000m
         wait 5000
         caller m take /safe id=s4 dest=3 timeout=24000m",
    );
}

/// Guards those who ask against those who only connect: however many say nothing, a leg that asks gets in.
#[test]
fn silent_legs_make_room_for_those_that_ask() {
    let mut script = "relay start\ncaller x take /safe id=s0 dest=2 timeout=24000m\n".to_string();
    for i in 0..60 {
        script += &format!("caller q{i} hello\n");
    }
    script += "wait 300
        caller y take /safe id=s1 dest=2 timeout=24000m in 0..1000
        caller x take /safe id=s2 dest=2 timeout=24000m in 0..1000";
    play(&script);
}

/// Guards intake against requests that could be read in two ways or mean nothing: each gets its error, and
/// nothing of it is taken on.
#[test]
fn what_is_ambiguous_or_absurd_is_turned_away() {
    play(
        "relay start
         caller a raw POST /safe HTTP/1.1\\r\\ncontent-length: 4\\r\\ntransfer-encoding: chunked\\r\\nx-request-id: m1\\r\\nx-timeout: 9000m\\r\\nx-consignee: dest=2\\r\\n\\r\\n0\\r\\n\\r\\n
         caller a expect 411 in 0..100
         caller a expect close in 0..1100
         caller b raw POST /safe HTTP/1.1\\r\\ncontent-length: -4\\r\\nx-request-id: m2\\r\\n\\r\\n
         caller b expect 400
         caller c raw POST /safe HTTP/1.1\\r\\ncontent-length: 2\\r\\nx-request-id: m3\\r\\nx-request-id: m4\\r\\nx-timeout: 9000m\\r\\nx-consignee: dest=2\\r\\n\\r\\nhi
         caller c expect 400
         caller d raw GET /safe HTTP/1.1\\r\\nx-long: *20000
         caller d expect 431
         caller e send POST /safe id=m5 dest=77 timeout=9000m
         caller e expect 503 retry-after
         caller e send POST /safe id=m6 dest=2 timeout=99999999999m
         caller e expect 400
         caller e raw POST /safe HTTP/1.1\\r\\ncontent-length: 3000000000\\r\\nx-request-id: m7\\r\\nx-timeout: 9000m\\r\\nx-consignee: dest=2\\r\\n\\r\\n*9000
         caller e expect 413
         caller e expect close in 0..1100
         hop b1 expect nothing 1
         caller f take /unsafe id=m8 dest=2 timeout=9000m
         caller g send POST /unsafe id=m8 dest=3 timeout=9000m
         caller g expect 409
         hop b1 expect m8
         hop b1 send 200
         wait 10
         caller g send POST /unsafe id=m8 dest=2 timeout=9000m
         caller g expect 202
         hop b1 expect nothing 20000
         agent expect nothing 1",
    );
}

/// Guards outcomes against answers that arrive spoilt: a first line of 200 delivers a single message whatever
/// follows it, any other answer that cannot be read may have run, and the connection is not used again.
#[test]
fn a_spoilt_answer_counts_by_its_first_line_and_ends_its_connection() {
    play(
        "relay start
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         hop b1 raw HTTP/1.1 200 OK\\r\\n\u{1}noise
         wait 600
         caller x take /unsafe id=u2 dest=3 timeout=24000m
         hop c1 expect u2
         hop c1 raw HTTP/1.1 503 Full\\r\\ncontent-length: 90\\r\\n\\r\\nshort
         agent expect failed u2 in 400..600
         caller x take /unsafe id=u3 dest=2 timeout=24000m
         hop b1 expect u3
         hop b1 raw HTTP/1.1 100 Continue\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\ncontent-length: 99999999999999999999\\r\\n\\r\\n
         caller y take /unsafe id=u4 dest=3 timeout=24000m
         hop c1 expect u4
         hop c1 raw noise that is no answer\\r\\n\\r\\n
         agent expect failed u4 in 0..600
         agent expect nothing 30000",
    );
}

/// Guards good answers that bring more than is theirs: they count, and what came behind them is never taken
/// for the answer to the next call.
#[test]
fn a_second_copy_behind_an_answer_never_answers_the_next_call() {
    play(
        "relay start
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         hop b1 raw HTTP/1.1 503 Busy\\r\\nx-line-busy: 1\\r\\ncontent-length: 0\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\ncontent-length: 0\\r\\n\\r\\n
         hop b1 expect u1
         hop b1 raw HTTP/1.1 200 OK\\r\\nx-server-load: x0=?,x1=1e999\\r\\ncontent-length: 0\\r\\n\\r\\nHTTP/1.1 500 No\\r\\ncontent-length: 0\\r\\n\\r\\n
         caller x take /unsafe id=u2 dest=2 timeout=24000m
         hop b1 expect u2
         hop b1 send 200
         agent expect nothing 30000",
    );
}

/// Guards ends against a connection to the platform that has fallen silent: what is told late counts as not
/// told, so the notice goes again on a new connection within moments.
#[test]
fn a_notice_whose_connection_fell_silent_is_told_on_another_at_once() {
    play(
        "relay start
         caller x take /unsafe id=u1 dest=2 timeout=24000m
         hop b1 expect u1
         hop b1 send 504
         agent expect returned u1 after_ms in 0..5
         agent mute
         caller x take /unsafe id=u2 dest=2 timeout=24000m
         hop b1 expect u2
         hop b1 send 504
         agent expect returned u2 after_ms in 40..60",
    );
}

/// Guards sound connections: one line of a next hop that breaks after a long wait does not cost those that
/// served a moment ago.
#[test]
fn a_break_on_a_line_that_waited_long_leaves_the_others_in_use() {
    play(
        "relay start
         caller x take /safe id=s1 dest=2 timeout=24000m
         caller y take /safe id=s2 dest=2 timeout=24000m
         hop b1 expect s1
         hop b1 expect s2
         wait 300
         hop b1 send 200
         hop b1 send 200
         wait 400
         caller x take /safe id=s3 dest=2 timeout=24000m
         hop b1 expect s3
         wait 300
         hop b1 send 200
         wait 400
         caller x take /safe id=s4 dest=2 timeout=24000m
         hop b1 expect s4
         caller y take /safe id=s5 dest=2 timeout=24000m
         hop b1 expect s5
         wait 20
         hop b1 close
         hop b1 send 200
         opened b1 2
         hop b1 expect s4
         wait 300
         hop b1 send 200
         opened b1 2",
    );
}

/// Guards callers that open a connection for each message and keep it: from a quarter of the descriptors on,
/// each new leg has the one that waited longest closed, long before the room is spent.
#[test]
fn legs_that_asked_once_make_room_before_it_is_spent() {
    let mut script = "relay start\n".to_string();
    for i in 0..25 {
        script += &format!("caller k{i} send GET /ready\ncaller k{i} expect 200\nwait 1\n");
    }
    script += "caller k0 expect close in 0..100
        caller k5 expect close in 0..100
        caller k24 send GET /ready
        caller k24 expect 200
        caller k8 send GET /ready
        caller k8 expect 200";
    play(&script);
}

/// Guards calls that take long on a line that was used before: the answer before is not the beginning of theirs.
#[test]
fn a_long_call_on_a_used_line_is_waited_for() {
    let mut script = "relay start\n".to_string();
    for i in 0..8 {
        script += &format!("caller x take /unsafe id=u{i} dest=2 timeout=24000m\nhop b1 expect u{i}\n");
        script += "wait 900\nhop b1 send 200\nwait 10\n";
    }
    play(&(script + "agent expect nothing 30000"));
}
