//! What the environment says of a process: it stands above the file.

use super::fault::{Fault, Faults};
use super::Configuration;
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

impl Configuration {
    /// The same as it holds in this environment. `discovery`: the address that counts.
    pub fn within(self, environment: &Environment, discovery: Option<SocketAddr>) -> Configuration {
        Configuration {
            name: environment.name.clone().unwrap_or(self.name),
            listen: environment.listen.unwrap_or(self.listen),
            console: environment.console.or(self.console),
            state: environment.state.clone().unwrap_or(self.state),
            discovery,
            ..self
        }
    }
}
