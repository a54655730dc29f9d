//! Decisions of a relay that holds messages and hands each to a destination nobody here controls.
//!
//! The module does no I/O and has no clock: the relay tells it what happened and carries out what it asks.
//!
//! ```
//! use basaltloom::{Action, Class, Entry, Event, Kind, Late, Limits, Listing, Outcome, Relay, Repeat, Settings};
//!
//! let second = 1_000_000_000;
//! let class = Class { aim: 3 * second, deadline: 20 * second, worth: 1.0, late_worth: 0.4,
//!     repeat: Repeat::Safe, in_order: false };
//! let settings = Settings { senders: 2, slots: 8, max_held: 100, max_attempts: 6, may_cancel: true,
//!     must_subscribe: false, keepalive: 10 * second, max_come_back: second, limits: Limits::Unlisted,
//!     late: Late::Even, classes: vec![class], kinds: vec![Kind { apart: false, per_call: 1 }],
//!     zone_fee: vec![], zone: 0, cross_zone: 0.0, cold_share: 0.3, warm_up: 10 * second,
//!     overload_factor: 2.0, fall: 2 * second, key_rest: 0 };
//! let mut relay = Relay::new(settings, 7);
//! let entry = Entry { host: 0, dest: 5, kind: 0, zone: 0, state: Listing::Ready, scale: 1.0 };
//! relay.step(0, &[Event::Listed { whole: true, entries: vec![entry] }]);
//! let taken = Event::Taken { id: 1, class: 0, dest: 5, key: None, time_left: 20 * second };
//! let actions = relay.step(10, &[taken]);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { id: 1, host: 0, .. })));
//! let ended = Event::Ended { id: 1, attempt: 0, outcome: Outcome::Served, latency: 90, over: true };
//! relay.step(100, &[ended]);
//! assert_eq!(relay.held(), 0);
//! ```
#![forbid(unsafe_code)]

pub mod admission;
pub mod attribution;
pub mod batching;
pub mod catalog;
pub mod configuration;
pub mod crowding;
pub mod decision;
pub mod fleet;
pub mod maintenance;
pub mod membership;
pub mod memory;
pub mod notices;
pub mod operator;
pub mod polling;
pub mod program;
pub mod protocol;
pub mod routing;
pub mod settlement;
pub mod transport;

pub use decision::interface::{self, *};
pub use decision::Relay;
