//! What a relay owes the others of its fleet, which it never hears of: shares of what all of them ask for.

pub mod asking;

pub use asking::{Asking, Terms};
