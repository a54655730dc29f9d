//! The command line.

use crate::scale::run_file::FOLDER;
use argh::{FromArgValue, FromArgs};
use std::path::{Path, PathBuf};

/// measures what the program costs by its size
#[derive(FromArgs, Debug)]
pub struct Options {
    #[argh(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Slopes(Slopes),
    Fleet(FleetOptions),
    Tables(Tables),
}

/// measures figures at several sizes and lays lines through them
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "slopes")]
pub struct Slopes {
    /// destinations, held, relays, sharing or watchers; all of them otherwise
    #[argh(option)]
    pub only: Option<Subject>,
    /// sizes to measure, separated by commas, instead of the subject's own
    #[argh(option)]
    pub sizes: Option<Sizes>,
    /// the seed (1 otherwise)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// where the run's file goes (docs/measurements/scale otherwise)
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// names the state of the program, as `before` or `after`
    #[argh(option, default = "String::from(\"trial\")")]
    pub label: String,
    /// the commit that BASALTLOOM_PROGRAM was built from, where it is not the one checked out
    #[argh(option)]
    pub program: Option<String>,
    /// small sizes and few repeats: shows that the bench runs, its figures are of no use
    #[argh(switch)]
    pub quick: bool,
}

impl Slopes {
    /// The folder of the run's file.
    pub fn folder(&self) -> PathBuf {
        folder(self.out.as_deref())
    }

    /// The sizes to measure: those asked for, a few small ones, or the subject's own.
    pub fn sizes(&self, own: &[usize], quick: &[usize]) -> Vec<usize> {
        match &self.sizes {
            Some(Sizes(sizes)) => sizes.clone(),
            None if self.quick => quick.to_vec(),
            None => own.to_vec(),
        }
    }
}

/// runs hollow relays beside processes of the program
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "fleet")]
pub struct FleetOptions {
    /// processes of the program (8 otherwise)
    #[argh(option, default = "8")]
    pub real: usize,
    /// hollow relays (2692 otherwise)
    #[argh(option, default = "2_692")]
    pub hollow: usize,
    /// threads of hollow relays (6 otherwise)
    #[argh(option, default = "6")]
    pub threads: usize,
    /// entries of the list (190000 otherwise)
    #[argh(option, default = "190_000")]
    pub entries: usize,
    /// the seed (1 otherwise)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// where the run's file goes (docs/measurements/scale otherwise)
    #[argh(option)]
    pub out: Option<PathBuf>,
    /// names the state of the program, as `before` or `after`
    #[argh(option, default = "String::from(\"trial\")")]
    pub label: String,
    /// the commit that BASALTLOOM_PROGRAM was built from, where it is not the one checked out
    #[argh(option)]
    pub program: Option<String>,
    /// short phases
    #[argh(switch)]
    pub quick: bool,
}

impl FleetOptions {
    /// The folder of the run's file.
    pub fn folder(&self) -> PathBuf {
        folder(self.out.as_deref())
    }
}

/// The folder asked for, or the one in the repository.
pub fn folder(out: Option<&Path>) -> PathBuf {
    out.map_or_else(|| Path::new(env!("CARGO_MANIFEST_DIR")).join(FOLDER), Path::to_path_buf)
}

/// makes the tables of the pages anew from the runs' files
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "tables")]
pub struct Tables {}

/// What slopes are measured of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    Destinations,
    Relays,
    Sharing,
    Held,
    Watchers,
}

impl Subject {
    /// All of them.
    pub const ALL: [Subject; 5] =
        [Subject::Destinations, Subject::Relays, Subject::Sharing, Subject::Held, Subject::Watchers];
}

impl FromArgValue for Subject {
    fn from_arg_value(value: &str) -> Result<Subject, String> {
        match value {
            "destinations" => Ok(Subject::Destinations),
            "relays" => Ok(Subject::Relays),
            "sharing" => Ok(Subject::Sharing),
            "held" => Ok(Subject::Held),
            "watchers" => Ok(Subject::Watchers),
            other => Err(format!("nothing is measured of {other:?}")),
        }
    }
}

/// Sizes as the command line has them.
#[derive(Clone, Debug)]
pub struct Sizes(pub Vec<usize>);

impl FromArgValue for Sizes {
    fn from_arg_value(value: &str) -> Result<Sizes, String> {
        let sizes: Result<Vec<usize>, _> = value.split(',').map(|size| size.trim().parse()).collect();
        sizes.map(Sizes).map_err(|why| format!("{value:?}: {why}"))
    }
}

/// Reads the command line; `cargo bench` adds a word of its own.
pub fn from_command_line() -> Options {
    let words: Vec<String> = std::env::args().skip(1).filter(|word| word != "--bench").collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Options::from_args(&["scale"], &words).unwrap_or_else(|exit| {
        eprintln!("{}", exit.output);
        std::process::exit(i32::from(exit.status.is_err()))
    })
}
