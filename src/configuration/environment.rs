//! What the environment says of a process: it stands above the file.

use super::fault::{Fault, Faults};
use super::Configuration;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The variables that stand above keys of the file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Environment {
    /// `LB_NAME`: `name`.
    pub name: Option<String>,
    /// `LB_LISTEN`: `listen`.
    pub listen: Option<SocketAddr>,
    /// `LB_DISCOVERY`: `discovery`, until SIGHUP has it moved.
    pub discovery: Option<SocketAddr>,
    /// `LB_CONSOLE`: `console`.
    pub console: Option<SocketAddr>,
    /// `LB_STATE`: `state`.
    pub state: Option<PathBuf>,
}

impl Environment {
    /// Takes the variables that `get` knows.
    pub fn of(get: impl Fn(&str) -> Option<String>) -> Result<Environment, Faults> {
        let mut faults = Vec::new();
        let mut address = |name: &str| {
            let text = get(name).filter(|text| !text.is_empty())?;
            let parsed = text.parse::<SocketAddr>();
            parsed
                .map_err(|_| {
                    faults.push(Fault::at(
                        format!("${name}"),
                        format!("is {text:?}, expected an address and port"),
                    ))
                })
                .ok()
        };
        let environment = Environment {
            listen: address("LB_LISTEN"),
            discovery: address("LB_DISCOVERY"),
            console: address("LB_CONSOLE"),
            name: get("LB_NAME"),
            state: get("LB_STATE").map(PathBuf::from),
        };
        Faults::of(faults).map(|()| environment)
    }
}

/// How the address of discovery that is in force came to be that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// `LB_DISCOVERY` of the process.
    pub variable: Option<SocketAddr>,
    /// A file that was read later has moved it: that variable is older.
    pub is_moved: bool,
}

impl Origin {
    /// At a start with this variable, behind the last configuration that was in force here.
    pub fn at_start(variable: Option<SocketAddr>, last: Option<Origin>) -> Origin {
        let is_moved = last.is_some_and(|last| last.is_moved && last.variable == variable);
        Origin { variable, is_moved }
    }

    /// A file was read again that names an address, or none.
    fn read_again(self, names_one: bool) -> Origin {
        Origin { is_moved: self.is_moved || names_one, ..self }
    }
}

impl Configuration {
    /// The same as it holds in this environment at a start.
    pub fn at_start(self, environment: &Environment, origin: Origin) -> Configuration {
        let discovery = match origin.is_moved {
            true => self.discovery.or(environment.discovery),
            false => environment.discovery.or(self.discovery),
        };
        self.within(environment, discovery, origin)
    }

    /// The same as it holds where it is read again by a process that goes by the one in force: whatever variable that was
    /// started with, the file is newer.
    pub(super) fn read_again(self, environment: &Environment, in_force: &Configuration) -> Configuration {
        let origin = in_force.origin.read_again(self.discovery.is_some());
        let discovery = self.discovery.or(in_force.discovery);
        self.within(environment, discovery, origin)
    }

    fn within(
        self,
        environment: &Environment,
        discovery: Option<SocketAddr>,
        origin: Origin,
    ) -> Configuration {
        Configuration {
            origin,
            name: environment.name.clone().unwrap_or(self.name),
            listen: environment.listen.unwrap_or(self.listen),
            console: environment.console.or(self.console),
            state: environment.state.clone().unwrap_or(self.state),
            discovery,
            ..self
        }
    }
}
