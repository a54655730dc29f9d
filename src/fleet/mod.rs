//! What a relay owes the others of its fleet where they may talk: its part of what a destination takes, by reservations and leases
//! (`together` and the files that it ties together).

pub mod allocation;
pub mod destination;
pub mod learner;
pub mod outage;
pub mod parts;
pub mod pledges;
pub mod record;
pub mod together;
