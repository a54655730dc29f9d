//! What is wrong with a configuration.

use std::collections::BTreeSet;
use std::fmt;

/// Faults that one line names; of more it tells the number.
const NAMED_MOST: usize = 200;

/// One thing that is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The key, as in `settings.services[0].deadline`; empty for the file as a whole.
    pub path: String,
    /// What is wrong with it.
    pub problem: String,
}

impl Fault {
    /// A fault of a key.
    pub fn at(path: impl Into<String>, problem: impl Into<String>) -> Fault {
        Fault { path: path.into(), problem: problem.into() }
    }

    /// A key that is not there.
    pub fn missing(path: impl Into<String>) -> Fault {
        Fault::at(path, "is missing")
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path.as_str() {
            "" => f.write_str(&self.problem),
            path => write!(f, "`{path}` {}", self.problem),
        }
    }
}

/// All that is wrong with a configuration: one fault at least. It is shown as one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(BTreeSet<Fault>);

impl Faults {
    /// These faults, if there are any.
    pub fn of(faults: impl IntoIterator<Item = Fault>) -> Result<(), Faults> {
        let faults: BTreeSet<Fault> = faults.into_iter().collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Each of them, by their paths.
    pub fn iter(&self) -> impl Iterator<Item = &Fault> {
        self.0.iter()
    }
}

impl From<Fault> for Faults {
    fn from(fault: Fault) -> Faults {
        Faults(BTreeSet::from([fault]))
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().take(NAMED_MOST).enumerate() {
            let set_apart = if i > 0 { "; " } else { "" };
            write!(f, "{set_apart}{fault}")?;
        }
        match self.0.len().saturating_sub(NAMED_MOST) {
            0 => Ok(()),
            more => write!(f, "; and {more} more"),
        }
    }
}
