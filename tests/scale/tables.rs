//! Tables of pages, made from run files and put between marks: `<!-- table: NAME -->` and `<!-- end -->`.

use super::run_file::{Fit, Run, Value};
use std::collections::BTreeMap;
use std::fmt;

const BEGIN: &str = "<!-- table: ";
const BEGIN_ENDS: &str = " -->\n";
const END: &str = "<!-- end -->";

/// Why a page's tables cannot be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A mark without its end.
    Unended(String),
    /// A table of this name is made by nobody.
    Unknown(String),
    /// A run file that is cited is not there, or lacks the fit or row that is cited.
    Missing { file: String, what: String },
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Unended(name) => write!(f, "table {name:?} has no end mark"),
            Fault::Unknown(name) => write!(f, "no table {name:?} is known"),
            Fault::Missing { file, what } => write!(f, "{file} is missing, or has no {what}"),
        }
    }
}

/// Runs by the names of their files.
pub type Runs = BTreeMap<String, Run>;

/// The page with its tables made anew.
pub fn rewrite(page: &str, make: impl Fn(&str) -> Result<String, Fault>) -> Result<String, Fault> {
    let (mut rest, mut out) = (page, String::new());
    while let Some(at) = rest.find(BEGIN) {
        let (before, marked) = rest.split_at(at);
        let name_ends =
            marked.find(BEGIN_ENDS).ok_or_else(|| Fault::Unended(marked.chars().take(40).collect()))?;
        let name = &marked[BEGIN.len()..name_ends];
        let end = marked.find(END).ok_or_else(|| Fault::Unended(name.to_string()))?;
        out += before;
        out += &format!("{BEGIN}{name}{BEGIN_ENDS}{}{END}", make(name)?);
        rest = &marked[end + END.len()..];
    }
    Ok(out + rest)
}

/// Tables of `docs/measurements/scale.md`: `rows FILE`, `fits FILE` and `run FILE`.
pub fn measured(runs: &Runs, name: &str) -> Result<String, Fault> {
    let (kind, file) = name.split_once(' ').ok_or_else(|| Fault::Unknown(name.to_string()))?;
    let run = find(runs, file)?;
    match kind {
        "rows" => Ok(rows(run)),
        "fits" => Ok(fits(run)),
        "run" => Ok(description(run)),
        _ => Err(Fault::Unknown(name.to_string())),
    }
}

/// A run by its file's name.
pub fn find<'a>(runs: &'a Runs, file: &str) -> Result<&'a Run, Fault> {
    runs.get(file).ok_or_else(|| Fault::Missing { file: file.to_string(), what: "content".to_string() })
}

/// A table in the form of a page.
pub fn table(head: &[&str], lines: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut out = format!("| {} |\n|{}\n", head.join(" | "), " --- |".repeat(head.len()));
    for line in lines {
        out += &format!("| {} |\n", line.join(" | "));
    }
    out
}

fn rows(run: &Run) -> String {
    let head: Vec<&str> = run.columns.iter().map(String::as_str).collect();
    table(&head, run.rows.iter().map(|row| run.columns.iter().map(|c| value(row.get(c))).collect()))
}

fn fits(run: &Run) -> String {
    let head = [
        "figure",
        "by",
        "at nothing",
        "slope",
        "standard error",
        "largest residual",
        "points",
        "planned size",
        "there",
        "times the largest measured",
    ];
    let line = |fit: &Fit| {
        let numbers = [fit.intercept, fit.slope, fit.standard_error, fit.largest_residual];
        let mut cells = vec![fit.of.clone(), fit.by.clone()];
        cells.extend(numbers.map(number));
        cells.extend([fit.points as f64, fit.at, fit.value_at, fit.extrapolation].map(number));
        cells
    };
    table(&head, run.fits.iter().map(line))
}

fn description(run: &Run) -> String {
    let m = &run.machine;
    let mut out = format!(
        "`{}`, seed {}, commit {}, {}; {} cores ({}), {} MB, kernel {}, load averages at the start {}.\n",
        run.command, run.seed, run.commit, run.date, m.cores, m.processor, m.memory_mb, m.kernel, m.load
    );
    for note in &run.notes {
        out += &format!("- {note}\n");
    }
    out
}

fn value(value: Option<&Value>) -> String {
    match value {
        Some(Value::Number(n)) => number(*n),
        Some(Value::Text(text)) => text.clone(),
        Some(Value::Missing) | None => "-".to_string(),
    }
}

/// Three places that count, whole numbers in groups of three.
pub fn number(n: f64) -> String {
    let size = n.abs();
    if size == 0.0 {
        return "0".to_string();
    }
    if size >= 100.0 {
        return grouped(n.round() as i64);
    }
    let places = (2 - size.log10().floor() as i32).clamp(0, 9) as usize;
    let text = format!("{n:.places$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_string(),
        false => text,
    }
}

fn grouped(n: i64) -> String {
    let digits = n.unsigned_abs().to_string();
    let mut out = String::new();
    for (i, digit) in digits.chars().enumerate() {
        if i > 0 && (digits.len() - i).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    if n < 0 {
        format!("-{out}")
    } else {
        out
    }
}
