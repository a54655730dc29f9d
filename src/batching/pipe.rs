//! One connection on which calls go out behind one another: who may go next, and what is known of each when it ends.
//! Free of I/O: it is told what was written and heard.

use super::fate::Break;
use std::collections::VecDeque;

/// A call on the line.
#[derive(Debug)]
struct Out<T> {
    ticket: T,
    /// Where on the line its last byte is.
    ends_at: u64,
    repeatable: bool,
    /// Nobody waits for its answer any more.
    given_up: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    /// Nothing new; what is out may still be answered.
    Draining,
    Ended,
}

/// The calls out on one line, in the order in which they are answered.
#[derive(Debug)]
pub struct Pipe<T> {
    depth: usize,
    out: VecDeque<Out<T>>,
    state: State,
    queued: u64,
    written: u64,
}

/// What follows from giving a call up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// Those before it are still answered; the line ends when it would be its turn.
    InTurn,
    /// It is its turn: the line ends now.
    Now,
    /// It was not on the line any more.
    Gone,
}

impl<T: Copy + PartialEq> Pipe<T> {
    pub fn new(depth: usize) -> Pipe<T> {
        Pipe { depth: depth.max(1), out: VecDeque::new(), state: State::Open, queued: 0, written: 0 }
    }

    /// Calls that are out.
    pub fn out(&self) -> usize {
        self.out.len()
    }

    pub fn is_open(&self) -> bool {
        self.state == State::Open
    }

    pub fn has_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Whether a call may go next: what can't be repeated goes alone, with nothing before or behind it.
    pub fn may_take(&self, repeatable: bool) -> bool {
        let all_repeatable = repeatable && self.out.iter().all(|o| o.repeatable);
        let free = self.out.len() < self.depth && !self.out.iter().any(|o| o.given_up);
        self.state == State::Open && free && (self.out.is_empty() || all_repeatable)
    }

    /// A call of so many bytes goes next.
    pub fn push(&mut self, ticket: T, bytes: u64, repeatable: bool) {
        self.queued += bytes;
        self.out.push_back(Out { ticket, ends_at: self.queued, repeatable, given_up: false });
    }

    /// A call leaves the line again, nothing of it written: those behind it move up. False where it has begun, or is not there.
    pub fn take_back(&mut self, ticket: T, bytes: u64) -> bool {
        let Some(at) = self.out.iter().position(|o| o.ticket == ticket) else { return false };
        if self.out[at].ends_at - bytes < self.written {
            return false;
        }
        self.out.remove(at);
        self.out.iter_mut().skip(at).for_each(|behind| behind.ends_at -= bytes);
        self.queued -= bytes;
        true
    }

    /// Whether all of a call was passed to the system, or it is not on the line any more.
    pub fn is_written(&self, ticket: T) -> bool {
        self.out.iter().find(|o| o.ticket == ticket).is_none_or(|o| o.ends_at <= self.written)
    }

    /// Whether all of every call that is out was passed to the system.
    pub fn is_all_written(&self) -> bool {
        self.out.iter().all(|o| o.ends_at <= self.written)
    }

    /// Nothing new goes; what is out may still be answered.
    pub fn drain(&mut self) {
        if self.state == State::Open {
            self.state = State::Draining;
        }
    }

    /// The call whose answer comes next.
    pub fn first(&self) -> Option<T> {
        self.out.front().map(|first| first.ticket)
    }

    /// So many more bytes have surely been passed to the system.
    pub fn wrote(&mut self, bytes: u64) {
        self.written += bytes;
    }

    /// The next answer has come whole: whose it is, and whether somebody waits for it. `closes`: the other side
    /// announced that it closes. `None`: nobody asked, and nothing on the line can be trusted any more.
    pub fn answered(&mut self, closes: bool) -> Option<(T, bool)> {
        if closes {
            self.drain();
        }
        let first = self.out.pop_front()?;
        // An answer before its request was written whole refuses what was not read: nothing can follow.
        if first.ends_at > self.written {
            self.drain();
        }
        Some((first.ticket, !first.given_up))
    }

    /// Whether the line has to end now: it takes nothing new and nothing is out, or the next answer is one that
    /// nobody waits for any more.
    pub fn is_spent(&self) -> bool {
        match self.out.front() {
            Some(first) => first.given_up,
            None => self.state != State::Open,
        }
    }

    /// Nobody waits for this call any more.
    pub fn give_up(&mut self, ticket: T) -> GivenUp {
        let Some(at) = self.out.iter().position(|o| o.ticket == ticket) else { return GivenUp::Gone };
        self.out[at].given_up = true;
        self.drain();
        if at == 0 {
            GivenUp::Now
        } else {
            GivenUp::InTurn
        }
    }

    /// The line has ended, `closes`: after the other side said so. What is known of each call that was out and
    /// waited for.
    pub fn broke(&mut self, how: Break) -> Vec<(T, Break)> {
        self.state = State::Ended;
        let written = self.written;
        let each = |o: Out<T>| {
            let broke = if o.ends_at > written { Break::Unwritten } else { how };
            (!o.given_up).then_some((o.ticket, broke))
        };
        let mut ends: Vec<(T, Break)> = self.out.drain(..).filter_map(each).collect();
        // What came in place of an answer was the first one's: those behind were only written.
        for (_, broke) in
            ends.iter_mut().skip(1).filter(|(_, b)| matches!(b, Break::AnswerCut | Break::Unreadable))
        {
            *broke = Break::Written;
        }
        ends
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pipe(calls: &[(u32, bool)]) -> Pipe<u32> {
        let mut pipe = Pipe::new(4);
        for (ticket, repeatable) in calls {
            assert!(pipe.may_take(*repeatable));
            pipe.push(*ticket, 10, *repeatable);
        }
        pipe
    }

    /// Guards what may not be repeated: nothing before it, nothing behind it.
    #[test]
    fn what_may_not_be_repeated_goes_alone() {
        assert!(!pipe(&[(1, false)]).may_take(true));
        assert!(!pipe(&[(1, true)]).may_take(false));
        let mut alone = pipe(&[(1, false)]);
        alone.wrote(10);
        assert_eq!(alone.answered(false), Some((1, true)));
        assert!(alone.may_take(true));
        assert!(!pipe(&[(1, true), (2, true), (3, true), (4, true)]).may_take(true), "the depth holds");
    }

    /// Guards the fates at a break in mid-line: what was not written whole never ran, what was may have, and only the
    /// first could have been answered.
    #[test]
    fn at_a_break_what_was_unwritten_never_ran() {
        let mut p = pipe(&[(1, true), (2, true), (3, true)]);
        p.wrote(20);
        assert_eq!(
            p.broke(Break::AnswerCut),
            [(1, Break::AnswerCut), (2, Break::Written), (3, Break::Unwritten)]
        );
        assert!(p.has_ended() && !p.may_take(true));
    }

    /// Guards those before a call that is given up: they get their answers, then the line ends; nothing new goes.
    #[test]
    fn a_call_given_up_leaves_those_before_it_their_answers() {
        let mut p = pipe(&[(1, true), (2, true), (3, true)]);
        p.wrote(30);
        assert_eq!(p.give_up(2), GivenUp::InTurn);
        assert!(!p.may_take(true) && !p.is_spent());
        assert_eq!(p.answered(false), Some((1, true)));
        assert!(p.is_spent());
        assert_eq!(p.broke(Break::Cancelled), [(3, Break::Cancelled)]);
        assert_eq!(pipe(&[(1, true)]).give_up(1), GivenUp::Now);
        assert_eq!(pipe(&[(1, true)]).give_up(7), GivenUp::Gone);
    }

    /// Guards `Connection: close`: nothing new behind it, and an answer to nobody ends the line.
    #[test]
    fn an_announced_close_ends_the_line_with_what_is_out() {
        let mut p = pipe(&[(1, true), (2, true)]);
        p.wrote(20);
        assert_eq!(p.answered(true), Some((1, true)));
        assert!(!p.may_take(true) && !p.is_spent());
        assert_eq!(p.broke(Break::CloseAnnounced), [(2, Break::CloseAnnounced)]);
        assert_eq!(Pipe::<u32>::new(2).answered(false), None);
    }

    /// Guards what stands behind a call that is taken back from the middle of the line: each ends where its own bytes do.
    #[test]
    fn a_call_taken_back_from_the_middle_leaves_the_others_whole() {
        let mut p = pipe(&[(1, true), (2, true), (3, true)]);
        p.wrote(15);
        assert!(p.is_written(1) && !p.is_written(2));
        assert!(!p.take_back(2, 10), "it has begun");
        assert!(p.take_back(3, 10) && !p.take_back(3, 10));
        let mut p = pipe(&[(1, true), (2, true), (3, true)]);
        p.wrote(10);
        assert!(p.take_back(2, 10));
        p.wrote(10);
        assert!(p.is_written(3) && p.is_written(2));
        assert_eq!(p.broke(Break::Written), [(1, Break::Written), (3, Break::Written)]);
    }
}
