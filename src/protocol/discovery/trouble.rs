//! What keeps lists from being taken in, reported once in the log for each kind of trouble until a list is taken in again.

use super::fault::ListFault;
use super::request::Unheard;

/// What stays the same while the same goes wrong again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Silent,
    TooLarge,
    Damaged,
    Cut,
    Slow,
}

/// The kinds of trouble that were reported since the last list.
#[derive(Debug, Default)]
pub struct Trouble {
    reported: Vec<Kind>,
}

impl Trouble {
    /// Whether there is any.
    fn any(&self) -> bool {
        !self.reported.is_empty()
    }

    /// Tells of it, unless the same was reported since the last list. `cap`: most bytes of a list.
    pub fn tell(&mut self, unheard: Unheard, cap: usize) {
        let kind = kind(unheard);
        if !self.reported.contains(&kind) {
            self.reported.push(kind);
            tell(unheard, cap);
        }
    }

    /// A list was taken in.
    pub fn over(&mut self) {
        if self.any() {
            self.reported.clear();
            tracing::info!(target: "platform", event = "discovery-back", "discovery answers again");
        }
    }
}

fn kind(unheard: Unheard) -> Kind {
    match unheard {
        Unheard::Refused | Unheard::Silent => Kind::Silent,
        Unheard::Unusable { fault, .. } => match fault {
            ListFault::TooLarge { .. } => Kind::TooLarge,
            ListFault::Damaged { .. } => Kind::Damaged,
            ListFault::Cut { .. } => Kind::Cut,
            ListFault::Slow { .. } => Kind::Slow,
        },
    }
}

fn tell(unheard: Unheard, cap: usize) {
    let Unheard::Unusable { fault, size } = unheard else {
        tracing::warn!(target: "platform", event = "discovery-silent", "discovery does not answer");
        return;
    };
    let kept = "the list of before stands";
    match fault {
        ListFault::TooLarge { size, offset } => {
            let text = "discovery's list is larger than `limits.list_mb`";
            tracing::warn!(target: "platform", event = "discovery-list-too-large", size, cap, offset, "{text}: {kept}");
        }
        ListFault::Damaged { offset, damage } => {
            let text = format!("discovery's list is damaged at byte {offset}, {damage}");
            tracing::warn!(target: "platform", event = "discovery-list-damaged", size, cap, offset, "{text}: {kept}");
        }
        ListFault::Cut { offset } => {
            let text = "discovery's list ended in the middle";
            tracing::warn!(target: "platform", event = "discovery-list-cut", size, cap, offset, "{text}: {kept}");
        }
        ListFault::Slow { offset } => {
            let text = "discovery's list came too slowly and was given up";
            tracing::warn!(target: "platform", event = "discovery-list-slow", size, cap, offset, "{text}: {kept}");
        }
    }
}
