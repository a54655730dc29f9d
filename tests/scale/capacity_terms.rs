//! Terms in which `docs/CAPACITY.md` is made up: roles, sources, carriers and figures.

use std::fmt;

/// A part of the whole, by what it has to carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    DataPath,
    Control,
    Discovery,
    SharedLimits,
    Journal,
    ControlMachines,
    Failures,
}

impl Role {
    const ALL: [Role; 7] = [
        Role::DataPath,
        Role::Control,
        Role::Discovery,
        Role::SharedLimits,
        Role::Journal,
        Role::ControlMachines,
        Role::Failures,
    ];

    /// As the marks of the page name it.
    pub fn name(self) -> &'static str {
        match self {
            Role::DataPath => "data-path",
            Role::Control => "control",
            Role::Discovery => "discovery",
            Role::SharedLimits => "shared-limits",
            Role::Journal => "journal",
            Role::ControlMachines => "control-machines",
            Role::Failures => "failures",
        }
    }

    /// The role of a name.
    pub fn named(name: &str) -> Option<Role> {
        Role::ALL.into_iter().find(|role| role.name() == name)
    }
}

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Source {
    /// A column of a run at the planned size, times a number.
    Line { subject: &'static str, column: &'static str, times: f64 },
    /// The largest size that was measured, times a number.
    Largest { subject: &'static str, column: &'static str, times: f64 },
    /// Nobody measured it.
    Assumed(f64),
}

/// What does it in the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Carrier {
    Module(&'static str),
    Missing,
}

impl fmt::Display for Carrier {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Carrier::Module(name) => write!(f, "{name}"),
            Carrier::Missing => write!(f, "*missing*"),
        }
    }
}

/// One line of the page.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    pub role: Role,
    pub what: &'static str,
    pub source: Source,
    pub unit: &'static str,
    pub budget: Option<f64>,
    pub carrier: Carrier,
}
