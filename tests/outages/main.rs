//! A destination that comes back cold gets no more than it bears, whichever endpoints it has by then, and whichever process of
//! the relay calls them.

#[path = "../fixture/mod.rs"]
mod fixture;
#[path = "../fixture/journal.rs"]
#[allow(dead_code)]
mod folder;
mod joins;
mod kills;
mod world;
