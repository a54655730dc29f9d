//! Descriptors of a relay of one or two processes: those of both count together.

use super::memory_share::MemoryShare;
use super::wiring::{RECORDS, SPARE};
use crate::admission::ledger::{self, Ledger};
use crate::admission::Settings;
use crate::operator::admission::Said;
use crate::transport::network::Net;
use crate::transport::Door;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// More descriptors than this are not planned with, whatever the system allows.
const MOST: usize = 1 << 20;
/// What a process holds before it takes over: standard streams, the event loop's own, signals, its console, the inherited
/// socket, locks, the way to the process before it.
const SUCCESSOR: usize = 24;
/// For callers and calls at least, where a process is alone.
const ROOM_LEAST: usize = 16;

/// Descriptors that this process holds now.
pub(super) fn held() -> usize {
    // The one by which they are listed is not counted.
    std::fs::read_dir("/proc/self/fd").map_or(0, |fds| fds.count().saturating_sub(1))
}

/// What this process may hold of what its relay may.
pub(super) struct Share {
    total: Cell<usize>,
    /// Kept for a process that may be started beside this one.
    successor: usize,
    /// What another process of the relay holds.
    other: Cell<usize>,
    admission: RefCell<Said>,
    door: Rc<Door>,
    /// The same of memory.
    pub memory: Rc<MemoryShare>,
}

impl Share {
    /// Of `allowed` in all; where another process may be started beside this one, there is always room for it.
    pub fn new(
        allowed: usize,
        may_hand_over: bool,
        admission: Said,
        net: Net,
        memory: Rc<MemoryShare>,
    ) -> Rc<Share> {
        let successor = if may_hand_over { SUCCESSOR } else { 0 };
        let total = allowed.min(MOST).saturating_sub(successor);
        let figures = Figures::new(total, true);
        let settings = admission.settings(figures.plain());
        let ledger = Ledger::beside(figures.ledger, figures.kept(&settings), memory.budget().clone());
        let door = Door::new(settings, ledger, net);
        let (total, other) = (Cell::new(total), Cell::new(0));
        Rc::new(Share { total, successor, other, admission: RefCell::new(admission), door, memory })
    }

    /// Who comes in, by these descriptors.
    pub fn door(&self) -> &Rc<Door> {
        &self.door
    }

    /// Another process of the relay holds so many.
    pub fn other_holds(&self, descriptors: usize) {
        if self.other.replace(descriptors) != descriptors {
            self.apply();
        }
    }

    /// So many in all from now on.
    pub fn allow(&self, allowed: usize) {
        let total = allowed.min(MOST).saturating_sub(self.successor);
        if self.total.replace(total) != total {
            self.apply();
        }
    }

    /// Admission by other terms from now on; returns how many callers are beyond them and are closed.
    pub fn admit_by(&self, admission: Said) -> usize {
        self.admission.replace(admission);
        self.apply()
    }

    fn apply(&self) -> usize {
        let figures = Figures::new(self.total.get().saturating_sub(self.other.get()), self.other.get() == 0);
        let settings = self.admission.borrow().settings(figures.plain());
        self.door.ledger().set(figures.ledger, figures.kept(&settings));
        self.door.reload(settings)
    }
}

/// What comes of a number of descriptors.
struct Figures {
    total: usize,
    /// For callers and calls.
    room: usize,
    /// All that is drawn and given back.
    ledger: usize,
}

impl Figures {
    fn new(total: usize, alone: bool) -> Figures {
        let room = total.saturating_sub(SPARE).max(if alone { ROOM_LEAST } else { 0 });
        Figures { total, room, ledger: total.saturating_sub(ledger::ALWAYS).max(room) }
    }

    /// What holds of admission where the operator says nothing.
    fn plain(&self) -> Settings {
        Settings::plain(self.room * 2 / 3, self.total / 4)
    }

    fn kept(&self, settings: &Settings) -> [usize; 4] {
        [RECORDS, self.room / 3, settings.reserve, 0]
    }
}
