//! A journal whose folder takes no writes for a while. A binary of its own: the limit on file sizes that makes writes fail
//! holds for the whole process.

#[path = "fixture/journal.rs"]
mod fixture;

use basaltloom::routing::journal::{Journal, Record};
use basaltloom::routing::transactions::{Ending, Transaction};
use basaltloom::routing::End;
use fixture::Folder;
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};
use std::sync::{Mutex, PoisonError};

fn transaction(id: &str) -> Transaction {
    fixture::transaction(id, 100)
}

/// Lets files of this process grow to so many bytes; a write beyond them fails, after what still fits.
fn files_hold(bytes: u64) {
    let most = getrlimit(Resource::Fsize).maximum;
    setrlimit(Resource::Fsize, Rlimit { current: Some(bytes), maximum: most }).unwrap();
}

/// The limit is that of the whole process: one test at a time lives under it.
static LIMITED: Mutex<()> = Mutex::new(());

/// Guards messages that may have had a final answer from the next process: where one could not be written, no attempt of what
/// was out begins any more; where all was written in the end, the next process takes it as it stands.
#[tokio::test(flavor = "current_thread")]
async fn the_next_process_hears_that_records_are_missing() {
    let _one_at_a_time = LIMITED.lock().unwrap_or_else(PoisonError::into_inner);
    let xfsz = tokio::signal::unix::SignalKind::from_raw(25);
    let _heard = tokio::signal::unix::signal(xfsz).unwrap();
    for catches_up in [false, true] {
        let folder = Folder::new("missing");
        let open = || Journal::open(&folder.0, 3_000_000, vec!["a".into()]).unwrap();
        let (mut journal, _) = open();
        for no in 1..=3 {
            journal.write(no, &Record::Taken(&transaction(&format!("m{no}")))).unwrap();
        }
        for no in 1..=2 {
            journal.write(no, &Record::Out { at: 100, zone: 0 }).unwrap();
        }
        files_hold(journal.bytes());
        assert!(journal.note(1, &Record::Over).is_err());
        files_hold(1 << 30);
        if catches_up {
            journal.flush().unwrap();
        }
        drop(journal);
        let wanted = match catches_up {
            false => vec![(1, true), (2, true), (3, false)],
            true => vec![(2, false), (3, false)],
        };
        // The one behind it, too, which takes it as the first one left it.
        for _ in 0..2 {
            let (_, replayed) = open();
            let spent: Vec<_> = replayed.transactions.iter().map(|(no, t)| (no, t.is_spent)).collect();
            assert_eq!(spent, wanted);
        }
    }
}

/// Guards what is owed while the folder takes no writes: a message is not taken on, and what happened to those that were
/// is written once it can be, in its order, with nothing of a half-written record between.
#[tokio::test(flavor = "current_thread")]
async fn what_happens_while_writes_fail_is_written_later() {
    let _one_at_a_time = LIMITED.lock().unwrap_or_else(PoisonError::into_inner);
    // Without a handler the signal that comes with such a failure ends the process.
    let xfsz = tokio::signal::unix::SignalKind::from_raw(25);
    let _heard = tokio::signal::unix::signal(xfsz).unwrap();
    let folder = Folder::new("behind");
    let open = || Journal::open(&folder.0, 3_000_000, vec!["a".into()]).unwrap();
    let (mut journal, _) = open();
    for no in 1..=3 {
        journal.write(no, &Record::Taken(&transaction(&format!("m{no}")))).unwrap();
    }
    journal.write(1, &Record::Out { at: 100, zone: 0 }).unwrap();
    files_hold(journal.bytes() + 10);
    assert!(journal.write(4, &Record::Taken(&transaction("m4"))).is_err(), "refused, not half taken on");
    assert!(journal.note(1, &Record::Over).is_err());
    let returned = Ending::Undelivered(End::Returned { after: 5 });
    assert!(journal.note(2, &Record::Ending(returned, 0)).is_err());
    assert!(journal.is_behind());
    assert!(journal.write(4, &Record::Taken(&transaction("m4"))).is_err(), "nothing overtakes what is owed");
    files_hold(1 << 30);
    journal.write(4, &Record::Taken(&transaction("m4"))).unwrap();
    assert!(!journal.is_behind());
    drop(journal);
    let (_, replayed) = open();
    assert_eq!((replayed.torn, replayed.next_no), (0, 5));
    let left: Vec<_> = replayed.transactions.iter().map(|(no, t)| (no, t.ending)).collect();
    assert_eq!(left, [(2, Some(returned)), (3, None), (4, None)]);
}
