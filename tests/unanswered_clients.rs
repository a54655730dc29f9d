//! Clients that leave before they are answered, at the instants between a message's record, its call and its answer.

mod fixture;
#[path = "fixture/journal.rs"]
#[allow(dead_code)]
mod journal_fixture;

use basaltloom::attribution::Via;
use basaltloom::catalog::{Endpoint, EndpointState, EndpointUpdate};
use basaltloom::routing::core::{Batching, Carried, Ended, First};
use basaltloom::routing::desk::Passage;
use basaltloom::routing::{Clock, Core, Desk, EndpointId, Front, Journal, Offer, Reply, Taken};
use basaltloom::{Outcome, Settings};
use bytes::Bytes;
use journal_fixture::Folder;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now, LocalSet};
use tokio::time::{sleep, timeout};

/// The class of the fixture that may not be repeated.
const UNSAFE: &str = "2";

/// Counts the calls of each message, and answers them once they are released.
#[derive(Default)]
struct StandIn {
    begun: RefCell<Vec<String>>,
    is_answering: Cell<bool>,
    answers: Notify,
}

impl Front for StandIn {
    async fn carry(&self, passage: Passage<'_, Self>) -> Carried {
        let letters = passage.begin(Via::default()).await;
        self.begun.borrow_mut().extend(letters.iter().map(|letter| letter.id.clone()));
        while !self.is_answering.get() {
            self.answers.notified().await;
        }
        Carried::each(&letters, Reply::Ended(Outcome::Served))
    }

    fn ended(&self, _: &Rc<Desk<Self>>, _: Vec<Ended>) {}

    fn distrust(&self, _: EndpointId) {}

    const NAME: &'static str = "stand-in";
}

type Relay = Rc<Desk<StandIn>>;

fn endpoint() -> Endpoint {
    let address = "127.0.0.1:9".parse().unwrap();
    let (name, state) = ("a".to_string(), EndpointState::Active);
    Endpoint { id: 0, name, address, dest: 5, kind: 0, zone: 0, state, share: 1.0, terms: None }
}

fn offer() -> Offer {
    Offer {
        id: "m".to_string(),
        class: UNSAFE.to_string(),
        dest: 5,
        key: None,
        idempotency: None,
        time_left: 20_000_000_000,
        body: Bytes::from_static(b"hello"),
        owner: String::new(),
    }
}

/// A relay whose records are written by another thread.
fn at_a_relay(name: &str, act: impl AsyncFnOnce(&Relay)) {
    let folder = Folder::new(name);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let settings: Settings = fixture::settings();
        let classes: Vec<String> = (0..settings.classes.len()).map(|i| i.to_string()).collect();
        let (journal, replayed) = Journal::open(&folder.0, 3_000_000, classes).unwrap();
        let known = EndpointUpdate { seq: 1, whole: true, endpoints: vec![endpoint()] };
        let first = First { known: &known, batching: Batching::default(), tells_delivery: false };
        let clock = Clock::system();
        let core = Core::new(settings, 7, journal, replayed, first, clock.now());
        let relay = Desk::new(core, clock, StandIn::default());
        spawn_local(relay.clone().keep_time());
        spawn_local(relay.clone().write_records());
        yield_now().await;
        act(&relay).await;
    });
}

type Taking<'a> = Pin<Box<dyn Future<Output = Taken> + 'a>>;

fn hand_in(relay: &Relay) -> Taking<'_> {
    Box::pin(relay.take(offer()))
}

/// Has it do what it can do at once; whether its answer is there.
async fn poll_once(taking: &mut Taking<'_>) -> bool {
    poll_fn(|context| Poll::Ready(taking.as_mut().poll(context).is_ready())).await
}

async fn until_called(relay: &Relay) {
    let called = async {
        while relay.front.begun.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(Duration::from_secs(2), called).await.expect("it is never called");
}

/// The message comes again, and is answered as taken on, without another call.
async fn comes_again(relay: &Relay) {
    assert_eq!(relay.take(offer()).await, Taken::Already);
    relay.front.is_answering.set(true);
    relay.front.answers.notify_waiters();
    for _ in 0..1_000 {
        yield_now().await;
    }
    assert_eq!(relay.take(offer()).await, Taken::Already);
    assert_eq!(*relay.front.begun.borrow(), ["m"]);
}

/// Guards what may not be repeated from a client that leaves while its message is called: that was forgotten, and called again.
#[test]
fn a_message_that_is_called_is_not_forgotten_with_its_client() {
    at_a_relay("left-before-its-answer", async |relay| {
        let mut taking = hand_in(relay);
        assert!(!poll_once(&mut taking).await);
        until_called(relay).await;
        drop(taking);
        comes_again(relay).await;
    });
}

/// Guards the same where the answer was given and not a byte of it could be written.
#[test]
fn a_message_that_is_called_is_not_forgotten_with_its_unwritten_answer() {
    at_a_relay("unwritten-answer", async |relay| {
        let Taken::On(accepted) = relay.take(offer()).await else { panic!("refused") };
        until_called(relay).await;
        relay.withdraw(accepted.number());
        comes_again(relay).await;
    });
}

/// Guards a message that was handed in again from the client that left before: the second was told that it is taken on.
#[test]
fn a_message_that_was_handed_in_again_is_not_forgotten_with_its_first_client() {
    at_a_relay("handed-in-again", async |relay| {
        let mut first = hand_in(relay);
        assert!(!poll_once(&mut first).await);
        let mut second = hand_in(relay);
        assert!(!poll_once(&mut second).await);
        drop(first);
        assert_eq!(second.await, Taken::Already);
        until_called(relay).await;
        comes_again(relay).await;
    });
}

/// Guards the rest: a message that nobody heard of and nobody was sent is forgotten, so that its client may hand it in anew.
#[test]
fn a_message_that_was_not_called_is_forgotten_with_its_client() {
    at_a_relay("left-early", async |relay| {
        let mut taking = hand_in(relay);
        assert!(!poll_once(&mut taking).await);
        drop(taking);
        for _ in 0..1_000 {
            yield_now().await;
        }
        assert_eq!(relay.see(|core| core.open()), 0);
        assert!(relay.front.begun.borrow().is_empty());
        assert!(matches!(relay.take(offer()).await, Taken::On(_)));
    });
}
