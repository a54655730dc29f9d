//! The relay's configuration: one typed value. The text of a file is judged whole, and either all of it holds or nothing does.
//! No I/O: who reads files and puts a configuration in force is `program`.
#![warn(missing_docs)]

mod audit;
mod completeness;
mod consistency;
mod environment;
mod fault;
pub mod form;
mod judge;
pub mod settings;
pub mod value;
mod version;

pub use audit::Parts;
pub use environment::{Environment, Origin};
pub use fault::{Fault, Faults};
pub use judge::{judge, judge_again};
pub use version::Version;

use crate::interface::{Nanos, Settings};
use crate::memory::MemoryLimits;
use crate::polling;
use crate::protocol::discovery::{ListLimits, Names};
use crate::protocol::platform::Defaults;
use crate::routing::EndpointUpdate;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

/// A configuration that was judged and found whole.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Names it in the log.
    pub version: Version,
    /// The text that it was made of.
    pub text: Rc<str>,
    /// The same as a document, without its endpoints: the next one has to have each of its keys.
    document: Rc<Value>,
    /// The relay's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Discovery and notices; without it the known list stands and ends are only logged.
    pub discovery: Option<SocketAddr>,
    /// How that came to be in force.
    pub origin: Origin,
    /// Where operators call; none: nowhere.
    pub console: Option<SocketAddr>,
    /// The lasting folder.
    pub state: PathBuf,
    /// For random numbers.
    pub seed: u64,
    /// Whether relays may send one another messages.
    pub peers: bool,
    /// Memory that the relay may take, in bytes.
    pub memory_bytes: u64,
    /// Descriptors that the process may hold: no more than there is memory for.
    pub sockets: usize,
    /// What the lasting folder may hold, in bytes: its files count as memory.
    pub disk_bytes: u64,
    /// How much of discovery's list is taken in.
    pub list: ListLimits,
    /// What the decision module goes by.
    pub settings: Settings,
    /// The names of the classes, in the order of the settings.
    pub classes: Vec<String>,
    /// What holds for requests of a class that do not say it themselves.
    pub defaults: Vec<Defaults>,
    /// The class of paths that begin like no other.
    pub default_class: Option<usize>,
    /// Kinds and zones by name.
    pub names: Names,
    /// A connection to an endpoint that is not there by then never will be.
    pub connect_timeout: Nanos,
    /// The list of endpoints as last known.
    pub known: EndpointUpdate,
    /// How discovery is to be asked.
    pub asked: polling::Terms,
}

impl Configuration {
    /// Its text with an empty list of endpoints.
    pub fn without_endpoints(&self) -> String {
        self.document.to_string()
    }

    /// What its processes may take of memory.
    pub fn memory(&self, may_hand_over: bool) -> MemoryLimits {
        MemoryLimits {
            relay: self.memory_bytes,
            files: self.disk_bytes,
            sockets: self.sockets,
            may_hand_over,
        }
    }

    /// What it is, in a line.
    pub fn summary(&self) -> String {
        let (classes, endpoints) = (self.classes.join(", "), self.known.endpoints.len());
        let (name, listen, version) = (&self.name, self.listen, self.version);
        format!(
            "{name}: listens on {listen}, classes {classes}, {endpoints} next hops known, version {version}"
        )
    }
}
