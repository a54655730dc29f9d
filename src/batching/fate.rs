//! What is known of a message when the call that carried it ends without an answer of its own: the table that
//! `docs/design/batching.md` argues, and what follows from it for who may share a call.

use crate::interface::Repeat;

/// How messages travel together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wire {
    /// One message, one call, nothing else on its connection.
    Alone,
    /// Several in the body of one call, with one answer for all.
    Batch,
    /// Calls behind one another on a connection, answered in order.
    Pipeline,
    /// Requests on a session, each with a number and an answer of its own.
    Window,
}

/// How a call ended for a member that it did not give an answer of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
    /// The connection was refused or never came up.
    NoConnection,
    /// It ended while bytes of the member were surely still unwritten.
    Unwritten,
    /// It ended, or was reset, after the member may have been written whole.
    Written,
    /// The other side announced with an earlier answer that it closes, and answers no more.
    CloseAnnounced,
    /// The answer began and broke off, whatever part of it could be read.
    AnswerCut,
    /// What came could not be read as an answer, or names the member not, or twice with different ends.
    Unreadable,
    /// Nothing came in time.
    TimedOut,
    /// We gave the call up.
    Cancelled,
    /// The call was refused as a whole: too large, unreadable, or the other side is full.
    Refused,
}

impl Break {
    pub const ALL: [Break; 9] = [
        Break::NoConnection,
        Break::Unwritten,
        Break::Written,
        Break::CloseAnnounced,
        Break::AnswerCut,
        Break::Unreadable,
        Break::TimedOut,
        Break::Cancelled,
        Break::Refused,
    ];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    NeverRan,
    MayHaveRun,
}

/// The table: what is known is the same on every wire, who is struck is not (`spreads`).
pub const fn fate(broke: Break) -> Fate {
    match broke {
        // Nothing whole has reached the other side, or it says itself that it took nothing.
        Break::NoConnection | Break::Unwritten | Break::Refused => Fate::NeverRan,
        // What was written may have been run, also before a word to close was heard.
        Break::Written
        | Break::CloseAnnounced
        | Break::AnswerCut
        | Break::Unreadable
        | Break::TimedOut
        | Break::Cancelled => Fate::MayHaveRun,
    }
}

/// Whether another member of the same call, or the answer to one, can bring this end upon a member that would
/// have had its own answer alone.
pub const fn spreads(wire: Wire, broke: Break) -> bool {
    match wire {
        Wire::Alone => false,
        // One answer for all: whatever spoils it spoils all. A slow member holds up the answer of the others.
        Wire::Batch => !matches!(broke, Break::NoConnection),
        // An answer that is late or spoilt ends the line for those behind it.
        Wire::Pipeline => !matches!(broke, Break::NoConnection | Break::Refused),
        // A submit that is late, refused or unreadable leaves the session and the others on it alone; a session
        // that is lost would have been lost for one alone as well.
        Wire::Window => false,
    }
}

/// Whether a message of such a class may share: one that can't be repeated only where nothing that spreads leaves
/// its fate unknown.
pub const fn may_share(wire: Wire, repeat: Repeat) -> bool {
    if !matches!(repeat, Repeat::Unsafe) {
        return true;
    }
    let mut i = 0;
    while i < Break::ALL.len() {
        let broke = Break::ALL[i];
        if spreads(wire, broke) && matches!(fate(broke), Fate::MayHaveRun) {
            return false;
        }
        i += 1;
    }
    true
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards dues charges: alone on a batch's or a pipeline's wire, free on a session's; what may be repeated
    /// shares everywhere.
    #[test]
    fn what_may_not_be_repeated_shares_only_a_sessions_window() {
        let unsafe_shares =
            [Wire::Alone, Wire::Batch, Wire::Pipeline, Wire::Window].map(|w| may_share(w, Repeat::Unsafe));
        assert_eq!(unsafe_shares, [true, false, false, true]);
        for wire in [Wire::Batch, Wire::Pipeline, Wire::Window] {
            assert!(may_share(wire, Repeat::Safe));
            assert!(may_share(wire, Repeat::Keyed { memory: 1, zone_only: true }));
        }
    }
}
