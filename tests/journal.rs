//! The relay journal by its file: each failure that it has to live with.

#[path = "fixture/journal.rs"]
mod fixture;

use basaltloom::routing::closed::Closed;
use basaltloom::routing::journal::{Journal, OpenError, Outages, Record};
use basaltloom::routing::transactions::{Ending, Transaction, Transactions};
use basaltloom::routing::End;
use fixture::Folder;
use std::path::{Path, PathBuf};

impl Folder {
    fn file(&self) -> PathBuf {
        self.0.join("relay.journal")
    }

    fn open(&self, budget: u64) -> (Journal, Transactions, u64, u64) {
        let (journal, replayed) = Journal::open(&self.0, budget, vec!["a".into(), "b".into()]).unwrap();
        (journal, replayed.transactions, replayed.next_no, replayed.torn)
    }

    fn bytes(&self) -> u64 {
        let blocks = |p: &Path| p.metadata().unwrap().len().div_ceil(512) * 512;
        std::fs::read_dir(&self.0).unwrap().map(|e| blocks(&e.unwrap().path())).sum()
    }
}

/// A message of the second class that waits for its key.
fn transaction(id: &str, body: usize) -> Transaction {
    Transaction { class: 1, key: Some("k".to_string()), ..fixture::transaction(id, body) }
}

/// Guards the past of a message: all that the records say of it comes back, also from a copy.
#[test]
fn a_transaction_comes_back_with_its_past() {
    let folder = Folder::new("past");
    let (mut journal, mut all, _, _) = folder.open(3_000_000);
    let mut kept = transaction("m1", 10);
    journal.write(1, &Record::Taken(&kept)).unwrap();
    journal.write(2, &Record::Taken(&transaction("m2", 10))).unwrap();
    journal.write(1, &Record::Out { at: 100, zone: 3 }).unwrap();
    journal.write(1, &Record::Back { may_have_run: true, is_final: false }).unwrap();
    journal.write(1, &Record::Out { at: 200, zone: 4 }).unwrap();
    journal.write(2, &Record::Over).unwrap();
    let ending = Ending::Undelivered(End::Returned { after: 77 });
    journal.write(1, &Record::Ending(ending, 11)).unwrap();
    kept.attempts = 2;
    (kept.may_have_run, kept.out) = (Some((100, 3)), Some((200, 4)));
    (kept.ending, kept.reason) = (Some(ending), 11);
    drop(journal);
    let (mut journal, replayed, next, torn) = folder.open(3_000_000);
    assert_eq!((replayed.get(1), replayed.len(), next, torn), (Some(&kept), 1, 3, 0));
    // Enough dead bytes for a copy: the live one is in it.
    all.insert(1, kept.clone());
    for no in 3..2_000 {
        journal.write(no, &Record::Taken(&transaction("d", 400))).unwrap();
        journal.write(no, &Record::Over).unwrap();
        journal.tidy(&all);
    }
    assert!(folder.bytes() < 600_000, "{} bytes", folder.bytes());
    drop(journal);
    let (_, replayed, next, _) = folder.open(3_000_000);
    assert_eq!((replayed.get(1), replayed.len(), next), (Some(&kept), 1, 2_000));
}

/// Guards the window of a repeat over two kills: an attempt that was out at the first may have run, whatever came of those
/// that a second life began. A herd day had seen a message go again 15 s after its first attempt, right after the second
/// restart: what the second life wrote had taken the place of what the first had.
#[test]
fn a_branch_out_at_a_kill_is_remembered_over_the_next_one() {
    let folder = Folder::new("twice");
    folder.open(3_000_000).0.write(1, &Record::Taken(&transaction("m1", 10))).unwrap();
    folder.open(3_000_000).0.write(1, &Record::Out { at: 100, zone: 3 }).unwrap();
    let (mut journal, replayed, _, _) = folder.open(3_000_000);
    assert_eq!(replayed.get(1).unwrap().out, Some((100, 3)));
    journal.write(1, &Record::Out { at: 200, zone: 4 }).unwrap();
    drop(journal);
    let (mut journal, replayed, _, _) = folder.open(3_000_000);
    let t = replayed.get(1).unwrap();
    assert_eq!((t.may_have_run, t.out, t.attempts), (Some((100, 3)), Some((200, 4)), 2));
    journal.write(1, &Record::Back { may_have_run: false, is_final: false }).unwrap();
    drop(journal);
    let t = folder.open(3_000_000).1.get(1).unwrap().clone();
    assert_eq!((t.may_have_run, t.out), (Some((100, 3)), None));
}

/// Guards a kill in the middle of a write, and bytes that have gone bad: what is whole before them counts,
/// and new records follow it.
#[test]
fn a_torn_tail_is_cut_off() {
    let folder = Folder::new("torn");
    let (mut journal, _, _, _) = folder.open(3_000_000);
    journal.write(1, &Record::Taken(&transaction("m1", 10))).unwrap();
    let whole = std::fs::read(folder.file()).unwrap();
    journal.write(2, &Record::Taken(&transaction("m2", 10))).unwrap();
    let both = std::fs::read(folder.file()).unwrap();
    drop(journal);
    for cut in whole.len()..both.len() {
        std::fs::write(folder.file(), &both[..cut]).unwrap();
        let (mut journal, replayed, _, torn) = folder.open(3_000_000);
        assert_eq!((replayed.len(), torn), (1, (cut - whole.len()) as u64));
        journal.write(5, &Record::Taken(&transaction("m5", 10))).unwrap();
        drop(journal);
        let (_, replayed, next, torn) = folder.open(3_000_000);
        assert_eq!((replayed.find("m5"), next, torn), (Some(5), 6, 0));
    }
    let mut bad = both.clone();
    bad[whole.len() + 20] ^= 1;
    std::fs::write(folder.file(), &bad).unwrap();
    assert_eq!(folder.open(3_000_000).1.len(), 1);
}

/// Guards the limit on the folder, the copy counted: intake stops in time, and what is live can still have
/// all its attempts and its end written.
#[test]
fn the_budget_is_kept_and_leaves_room_for_outcomes() {
    const BUDGET: u64 = 200_000;
    let folder = Folder::new("budget");
    let (mut journal, mut all, _, _) = folder.open(BUDGET);
    let (mut no, mut most) = (1, 0);
    loop {
        let t = transaction(&format!("m{no}"), 3_000);
        if !journal.has_room(&t, &all) {
            break;
        }
        journal.write(no, &Record::Taken(&t)).unwrap();
        all.insert(no, t);
        no += 1;
    }
    assert!(no > 15, "{no} taken on");
    for live in 1..no {
        for _ in 0..8 {
            journal.write(live, &Record::Out { at: 1, zone: 0 }).unwrap();
            journal.write(live, &Record::Back { may_have_run: false, is_final: false }).unwrap();
            most = most.max(folder.bytes());
        }
        journal.write(live, &Record::Ending(Ending::Delivered, 0)).unwrap();
        journal.write(live, &Record::Over).unwrap();
        all.remove(live);
    }
    // With all of that dead there is room again, made by a copy.
    for more in no..no + 2_000 {
        let t = transaction("n", 3_000);
        assert!(journal.has_room(&t, &all));
        journal.write(more, &Record::Taken(&t)).unwrap();
        all.insert(more, t);
        journal.write(more, &Record::Over).unwrap();
        all.remove(more);
        most = most.max(folder.bytes());
    }
    assert!(most <= BUDGET, "{most} bytes");
    // Past the budget a write fails, and leaves the file as it was.
    let before = loop {
        let before = folder.bytes();
        if journal.write(9_999, &Record::Taken(&transaction("n", 3_000))).is_err() {
            break before;
        }
    };
    drop(journal);
    assert_eq!((folder.bytes(), folder.open(BUDGET).3), (before, 0));
}

/// Guards against a folder that is gone: a journal that cannot start says so, and nothing panics.
#[test]
fn a_folder_that_is_not_there_is_an_error() {
    let folder = Folder::new("gone");
    let missing = folder.0.join("none");
    assert!(Journal::open(&missing, 3_000_000, Vec::new()).is_err());
}

/// Guards what a next life knows of outages: each that began and did not end, whatever came between, also from a copy;
/// what is no news is not written.
#[test]
fn outages_come_back_as_they_stood_last() {
    let folder = Folder::new("outages");
    let opened = || {
        let (journal, replayed) = Journal::open(&folder.0, 16 << 20, vec!["a".into(), "b".into()]).unwrap();
        let Outages { endpoints, destinations } = replayed.outages;
        (journal, endpoints.into_keys().collect::<Vec<_>>(), destinations.into_iter().collect::<Vec<_>>())
    };
    let (mut journal, no_endpoints, no_destinations) = opened();
    assert!(no_endpoints.is_empty() && no_destinations.is_empty());
    for (name, sick) in [("x", true), ("y", true), ("x", false), ("z", true), ("z", true)] {
        journal.note_endpoint_outage(name, sick.then_some(2.5)).unwrap();
    }
    for (dest, rate) in [(7, Some(4.5)), (8, Some(1.0)), (7, Some(9.0)), (8, None)] {
        journal.note_destination_outage(dest, rate).unwrap();
    }
    let before = journal.bytes();
    journal.note_endpoint_outage("x", None).unwrap();
    journal.note_destination_outage(8, None).unwrap();
    assert_eq!(journal.bytes(), before);
    drop(journal);
    let (mut journal, endpoints, destinations) = opened();
    assert_eq!((endpoints, &destinations[..]), (vec!["y".to_string(), "z".to_string()], &[(7, 4.5)][..]));
    // Enough that is over for the file to be copied.
    let transactions = Transactions::default();
    let t = transaction("t", 8_000);
    for no in 1..=400 {
        journal.write(no, &Record::Taken(&t)).unwrap();
        journal.write(no, &Record::Over).unwrap();
        journal.tidy(&transactions);
    }
    assert!(journal.bytes() < 400 * 8_000, "it was copied");
    journal.note_endpoint_outage("y", None).unwrap();
    let endpoints = &journal.outages().endpoints;
    assert_eq!((endpoints.get("z"), endpoints.get("x")), (Some(&2.5), None));
    drop(journal);
    let (_, endpoints, destinations) = opened();
    assert_eq!((endpoints, destinations), (vec!["z".to_string()], vec![(7, 4.5)]));
}

/// Guards a journal from a second process that is started on its folder: it removed the copy that the first was writing
/// and cut off what the first had appended since it looked.
#[test]
fn a_journal_in_use_is_left_as_it_is() {
    let folder = Folder::new("in-use");
    let (mut journal, _, _, _) = folder.open(3_000_000);
    journal.write(1, &Record::Taken(&transaction("m1", 10))).unwrap();
    let copy = folder.0.join("relay.journal.new");
    std::fs::write(&copy, b"half of a copy").unwrap();
    let before = std::fs::read(folder.file()).unwrap();
    let second = Journal::open(&folder.0, 3_000_000, vec!["a".into(), "b".into()]);
    let Err(OpenError::InUse(holder)) = second else { panic!("{second:?}") };
    assert!(holder.contains(&std::process::id().to_string()), "{holder}");
    assert_eq!(std::fs::read(&copy).unwrap(), b"half of a copy");
    assert_eq!(std::fs::read(folder.file()).unwrap(), before);
    // With the first gone, however that ended, the next one has it.
    drop(journal);
    assert_eq!(folder.open(3_000_000).1.len(), 1);
    assert!(!copy.exists());
}

/// Guards final answers from a kill: what has had one comes back with it, from the record and from a copy, and the attempt
/// that is out is not said to be back by the final answer to another.
#[test]
fn a_final_answer_comes_back_with_its_message() {
    let folder = Folder::new("final");
    let (mut journal, ..) = folder.open(3_000_000);
    for no in 1..=3 {
        journal.write(no, &Record::Taken(&transaction(&format!("m{no}"), 10))).unwrap();
        journal.write(no, &Record::Out { at: 100, zone: 3 }).unwrap();
    }
    journal.write(1, &Record::Back { may_have_run: true, is_final: true }).unwrap();
    journal.write(2, &Record::Spent).unwrap();
    journal.write(3, &Record::Back { may_have_run: true, is_final: false }).unwrap();
    drop(journal);
    let state = |all: &Transactions| -> Vec<(bool, bool)> {
        all.iter().map(|(_, t)| (t.is_spent, t.out.is_some())).collect()
    };
    let (mut journal, all, ..) = folder.open(3_000_000);
    assert_eq!(state(&all), [(true, false), (true, true), (false, false)]);
    journal.rewrite(&all).unwrap();
    drop(journal);
    assert_eq!(state(&folder.open(3_000_000).1), [(true, false), (true, true), (false, false)]);
}

/// Guards keys of messages that were over while a call of theirs was out, or had ended without an answer: the next start knows of
/// them, also from a copy.
#[test]
fn keys_of_calls_that_may_run_behind_their_messages_come_back() {
    let folder = Folder::new("keys-tried");
    let (mut journal, ..) = folder.open(3_000_000);
    let back = Record::Back { may_have_run: true, is_final: false };
    let delivered = Record::Closed(Closed::Delivered);
    let out = Record::Out { at: 100, zone: 3 };
    let lives: [&[&Record]; 5] = [
        &[&out, &Record::Over],
        &[&Record::Over],
        &[&out, &back, &Record::Over],
        &[&out, &delivered],
        &[&out, &back, &out, &delivered],
    ];
    for (no, life) in (1..).zip(lives) {
        journal.write(no, &Record::Taken(&transaction(&format!("m{no}"), 10))).unwrap();
        life.iter().for_each(|record| journal.write(no, record).unwrap());
    }
    drop(journal);
    for is_copied in [false, true] {
        let (mut journal, replayed, ..) = folder.open(3_000_000);
        let keys: Vec<_> =
            replayed.keys_tried().iter().map(|(no, tried)| (*no, tried.key.as_str())).collect();
        assert_eq!(keys, [(1, "k"), (3, "k"), (5, "k")], "copied: {is_copied}");
        journal.rewrite(&replayed).unwrap();
    }
}
