//! How what lies in the lasting folder shares its room.

use super::{fleet, last_good};
use crate::configuration::Configuration;

/// What lies in the folder beside the platform's journal and the files that are kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rooms {
    /// The journal of the SMPP front, of the same size.
    pub has_smpp: bool,
    /// The view of membership.
    pub has_fleet: bool,
}

impl Rooms {
    /// Bytes for the platform's journal.
    pub fn journal(self, configuration: &Configuration) -> u64 {
        let share = if self.has_smpp { configuration.disk_bytes / 2 } else { configuration.disk_bytes };
        let kept = last_good::room(configuration.disk_bytes);
        share.saturating_sub(kept + if self.has_fleet { fleet::DISK } else { 0 })
    }
}
