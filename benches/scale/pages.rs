//! Makes the tables of the pages, and their charts, anew from the runs' files.

use crate::charts;
use crate::scale::capacity::capacity;
use crate::scale::run_file::{Run, FOLDER};
use crate::scale::tables::{self, Fault, Runs};
use std::fs;
use std::io;
use std::path::Path;

/// Rewrites all pages.
pub fn rewrite_all() -> io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let runs = Run::all(&root.join(FOLDER))?;
    rewrite(&root.join("docs/measurements/scale.md"), |name| tables::measured(&runs, name))?;
    rewrite(&root.join("docs/CAPACITY.md"), |name| capacity(&runs, name))?;
    draw_all(root, &runs)
}

fn rewrite(path: &Path, make: impl Fn(&str) -> Result<String, Fault>) -> io::Result<()> {
    let page = fs::read_to_string(path)?;
    let made =
        tables::rewrite(&page, make).map_err(|why| io::Error::other(format!("{}: {why}", path.display())))?;
    if made != page {
        fs::write(path, made)?;
        println!("{} is made anew", path.display());
    }
    Ok(())
}

fn draw_all(root: &Path, runs: &Runs) -> io::Result<()> {
    let measurements = root.join("docs/measurements");
    let of = |subject: &str| -> Vec<&Run> { runs.values().filter(|run| run.subject == subject).collect() };
    for (file, title, column) in [
        ("scale-memory.svg", "Memory of one relay", "resident (MB)"),
        ("scale-change.svg", "A change of one entry", "CPU a change (ms)"),
    ] {
        charts::draw(&measurements.join(file), title, "entries", column, &of("destinations"))?;
    }
    Ok(())
}
