//! A run as a file: the machine, the build, the command and what was measured, from which all tables are made.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Where run files lie, from the repository's root.
pub const FOLDER: &str = "docs/measurements/scale";

/// The machine that a run was made on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    pub cores: usize,
    pub memory_mb: u64,
    pub kernel: String,
    pub processor: String,
    /// Load averages at the start: well above zero, others worked on it too.
    pub load: String,
}

impl Machine {
    /// This one.
    pub fn here() -> Machine {
        let read = |path: &str| fs::read_to_string(path).unwrap_or_default();
        let after = |text: &str, name: &str| {
            let line = text.lines().find(|line| line.starts_with(name));
            line.and_then(|line| line.split_once(':'))
                .map_or(String::new(), |(_, said)| said.trim().to_string())
        };
        let memory = after(&read("/proc/meminfo"), "MemTotal");
        Machine {
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            memory_mb: memory.trim_end_matches(" kB").parse::<u64>().unwrap_or(0) / 1_024,
            kernel: read("/proc/sys/kernel/osrelease").trim().to_string(),
            processor: after(&read("/proc/cpuinfo"), "model name"),
            load: read("/proc/loadavg").split(' ').take(3).collect::<Vec<_>>().join(" "),
        }
    }
}

/// One value of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
    Number(f64),
    Text(String),
    /// Not measured at this size.
    Missing,
}

impl Value {
    /// Its number, if it is one.
    pub fn number(&self) -> Option<f64> {
        match self {
            Value::Number(number) => Some(*number),
            _ => None,
        }
    }
}

impl From<f64> for Value {
    fn from(number: f64) -> Value {
        Value::Number(number)
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::Text(text.to_string())
    }
}

impl From<Option<f64>> for Value {
    fn from(number: Option<f64>) -> Value {
        number.map_or(Value::Missing, Value::Number)
    }
}

/// What was measured at one size, by column.
pub type Row = BTreeMap<String, Value>;

/// A line through what was measured, and how far it is carried beyond that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fit {
    pub of: String,
    pub by: String,
    pub intercept: f64,
    pub slope: f64,
    /// Of the slope.
    pub standard_error: f64,
    pub largest_residual: f64,
    pub points: usize,
    pub largest_measured: f64,
    /// The size that we plan for, and the line's value there.
    pub at: f64,
    pub value_at: f64,
    /// How many times the largest measured size that is.
    pub extrapolation: f64,
}

/// Everything of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// What was measured, by a short name.
    pub subject: String,
    /// Which state of the program: `before` or `after` a change.
    pub label: String,
    pub command: String,
    pub date: String,
    pub commit: String,
    pub seed: u64,
    pub machine: Machine,
    /// What a reader has to know to read the figures rightly.
    pub notes: Vec<String>,
    /// Columns in the order of the table.
    pub columns: Vec<String>,
    pub rows: Vec<Row>,
    pub fits: Vec<Fit>,
}

impl Run {
    /// One that begins now.
    pub fn begin(subject: &str, label: &str, seed: u64, columns: &[&str]) -> Run {
        Run {
            subject: subject.to_string(),
            label: label.to_string(),
            command: command(),
            date: now(),
            commit: commit(),
            seed,
            machine: Machine::here(),
            notes: Vec::new(),
            columns: columns.iter().map(|name| name.to_string()).collect(),
            rows: Vec::new(),
            fits: Vec::new(),
        }
    }

    /// Says which commit the processes ran, where that is another than the one checked out.
    pub fn heed_program(&mut self, commit: Option<&str>) {
        if let Some(commit) = commit {
            self.notes.push(format!("The processes of the program were built from commit {commit}."));
        }
    }

    /// Adds what was measured at one size, and prints it.
    pub fn push<const N: usize>(&mut self, values: [(&str, Value); N]) {
        let row: Row = values.into_iter().map(|(name, value)| (name.to_string(), value)).collect();
        eprintln!("{}: {}", self.subject, serde_json::to_string(&row).unwrap_or_default());
        self.rows.push(row);
    }

    /// Its file's name.
    pub fn file_name(&self) -> String {
        format!("{}-{}.json", self.subject, self.label)
    }

    /// Writes its file into a folder.
    pub fn save(&self, folder: &Path) -> io::Result<PathBuf> {
        fs::create_dir_all(folder)?;
        let path = folder.join(self.file_name());
        fs::write(&path, serde_json::to_string_pretty(self)? + "\n")?;
        Ok(path)
    }

    /// Reads a file.
    pub fn read(path: &Path) -> io::Result<Run> {
        Ok(serde_json::from_str(&fs::read_to_string(path)?)?)
    }

    /// All runs of a folder, by file name.
    pub fn all(folder: &Path) -> io::Result<BTreeMap<String, Run>> {
        let mut runs = BTreeMap::new();
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.extension().is_some_and(|extension| extension == "json") {
                let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
                let run = Run::read(&path);
                runs.insert(name, run.map_err(|e| io::Error::other(format!("{}: {e}", path.display())))?);
            }
        }
        Ok(runs)
    }

    /// The fit of a column.
    pub fn fit_of(&self, column: &str) -> Option<&Fit> {
        self.fits.iter().find(|fit| fit.of == column)
    }
}

/// The command as a reader repeats it, without paths of this machine.
fn command() -> String {
    let said: Vec<String> = std::env::args().skip(1).filter(|word| word != "--bench").collect();
    format!("cargo bench --bench scale -- {}", said.join(" "))
}

fn now() -> String {
    let now = time::OffsetDateTime::now_utc();
    format!("{} {:02}:{:02} UTC", now.date(), now.hour(), now.minute())
}

/// The commit that is built, with a mark where files differ from it.
fn commit() -> String {
    let git = |arguments: &[&str]| {
        let said = Command::new("git").args(arguments).current_dir(env!("CARGO_MANIFEST_DIR")).output();
        said.map_or(String::new(), |said| String::from_utf8_lossy(&said.stdout).trim().to_string())
    };
    let changed = !git(&["status", "--porcelain", "--", "src", "Cargo.toml"]).is_empty();
    git(&["rev-parse", "--short", "HEAD"]) + if changed { " and changes to src" } else { "" }
}
