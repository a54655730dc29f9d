//! What the program costs by its size, and a fleet on one machine: `cargo bench --bench scale -- slopes`, `-- fleet` and
//! `-- tables`. Each run is a file in `docs/measurements/scale/`; the pages' tables are made from these files.

mod charts;
mod destinations;
mod fleet;
mod held;
mod options;
mod pages;
mod relays;
#[path = "../../tests/scale/mod.rs"]
mod scale;
mod watchers;
#[path = "../../tests/membership/world.rs"]
#[allow(dead_code)]
mod world;

use fleet::Verdict;
use options::{Command, FleetOptions, Options, Slopes, Subject};
use scale::run_file::Run;
use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options: Options = options::from_command_line();
    let done = match options.command {
        Command::Slopes(slopes) => measure_slopes(&slopes),
        Command::Fleet(fleet) => measure_fleet(&fleet),
        Command::Tables(_) => pages::rewrite_all(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("scale: {why}");
            ExitCode::FAILURE
        }
    }
}

fn measure_slopes(slopes: &Slopes) -> io::Result<()> {
    let subjects = Subject::ALL.into_iter().filter(|subject| slopes.only.is_none_or(|only| only == *subject));
    for subject in subjects {
        let run: Run = match subject {
            Subject::Destinations => destinations::measure(slopes),
            Subject::Relays => relays::measure(slopes),
            Subject::Sharing => relays::measure_sharing(slopes),
            Subject::Held => held::measure(slopes)?,
            Subject::Watchers => watchers::measure(slopes),
        };
        let path = run.save(&slopes.folder())?;
        println!("{}", path.display());
    }
    Ok(())
}

fn measure_fleet(options: &FleetOptions) -> io::Result<()> {
    let (run, verdict) = fleet::measure(options);
    println!("{}", run.save(&options.folder())?.display());
    match verdict {
        Verdict::HollowIsRight => Ok(()),
        Verdict::HollowIsWrong => Err(io::Error::other("a hollow relay does not cost what a real one does")),
    }
}
