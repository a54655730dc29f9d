//! Sockets: listeners with their caller legs, connections, pools of connections to next hops.

pub mod answer;
pub mod beginning;
pub mod connection;
pub mod datagrams;
pub mod door;
pub mod gate;
pub mod listener;
pub mod local_channel;
pub mod network;
pub mod pipeline;
pub mod pool;
pub mod proxy;
pub mod tap;

pub use connection::{Line, Unsent};
pub use door::Door;
pub use listener::{Leg, Legs};
pub use network::{Network, Stream};
pub use pool::Pool;
