//! The figures of `docs/CAPACITY.md`: what each is made of, the run that gave it, its budget and what carries it.

use super::capacity_figures::FIGURES;
use super::capacity_terms::{Carrier, Figure, Role, Source};
use super::run_file::{Run, Value};
use super::tables::{find, number, table, Fault, Runs};

/// A figure at the planned size.
struct Sized {
    value: Option<f64>,
    slope: String,
    file: String,
    extrapolation: String,
}

/// Tables of the page: `capacity LABEL ROLE` and `over LABEL`.
pub fn capacity(runs: &Runs, name: &str) -> Result<String, Fault> {
    let mut words = name.split(' ');
    let (kind, label) = (words.next(), words.next());
    let unknown = || Fault::Unknown(name.to_string());
    let label = label.ok_or_else(unknown)?;
    match (kind, words.next()) {
        (Some("capacity"), Some(role)) => role_table(runs, label, Role::named(role).ok_or_else(unknown)?),
        (Some("over"), None) => over_table(runs, label),
        _ => Err(unknown()),
    }
}

fn role_table(runs: &Runs, label: &str, role: Role) -> Result<String, Fault> {
    let head = [
        "figure",
        "at the planned size",
        "slope",
        "run",
        "times the largest measured",
        "budget",
        "times the budget",
        "carried by",
    ];
    let lines = FIGURES.iter().filter(|figure| figure.role == role).map(|figure| {
        let sized = size(runs, label, figure)?;
        Ok(vec![
            figure.what.to_string(),
            sized.value.map_or("*not measured*".to_string(), |v| format!("{} {}", number(v), figure.unit)),
            sized.slope.clone(),
            sized.file.clone(),
            sized.extrapolation.clone(),
            figure.budget.map_or("-".to_string(), |b| format!("{} {}", number(b), figure.unit)),
            times_budget(figure, &sized).map_or("-".to_string(), number),
            figure.carrier.to_string(),
        ])
    });
    Ok(table(&head, lines.collect::<Result<Vec<_>, Fault>>()?))
}

/// What is over its budget or missing, the furthest over first.
fn over_table(runs: &Runs, label: &str) -> Result<String, Fault> {
    let mut lines = Vec::new();
    for figure in FIGURES {
        let sized = size(runs, label, figure)?;
        let times = times_budget(figure, &sized);
        if times.is_some_and(|t| t > 1.0) || figure.carrier == Carrier::Missing {
            lines.push((times.unwrap_or(0.0), figure, sized));
        }
    }
    lines.sort_by(|a, b| b.0.total_cmp(&a.0));
    let line = |(times, figure, sized): &(f64, &Figure, Sized)| {
        let over = if *times > 0.0 { number(*times) } else { "-".to_string() };
        vec![
            over,
            figure.role.name().to_string(),
            figure.what.to_string(),
            sized.file.clone(),
            figure.carrier.to_string(),
        ]
    };
    Ok(table(&["times the budget", "role", "figure", "run", "carried by"], lines.iter().map(line)))
}

fn times_budget(figure: &Figure, sized: &Sized) -> Option<f64> {
    Some(sized.value? / figure.budget?)
}

/// What was measured again after the endpoint list was rebuilt; of the others the runs before it stand.
const MEASURED_AGAIN: &[&str] = &["destinations"];

/// The file of a subject's run under a label.
fn file_of(subject: &str, label: &str) -> String {
    let stands = label != "after" || MEASURED_AGAIN.contains(&subject);
    format!("{subject}-{}.json", if stands { label } else { "before" })
}

fn size(runs: &Runs, label: &str, figure: &Figure) -> Result<Sized, Fault> {
    let file = |subject: &str| file_of(subject, label);
    match figure.source {
        Source::Line { subject, column, times } => {
            let name = file(subject);
            Ok(of_line(find(runs, &name)?, &name, column, times))
        }
        Source::Largest { subject, column, times } => {
            let name = file(subject);
            let value = largest(find(runs, &name)?, column).map(|v| v * times);
            Ok(Sized { value, slope: "-".to_string(), file: link(&name), extrapolation: "-".to_string() })
        }
        Source::Assumed(value) => Ok(Sized {
            value: Some(value),
            slope: "-".to_string(),
            file: "*assumed*".to_string(),
            extrapolation: "-".to_string(),
        }),
    }
}

/// The last value that was measured in a column.
fn largest(run: &Run, column: &str) -> Option<f64> {
    run.rows.iter().rev().find_map(|row| row.get(column).and_then(Value::number))
}

/// The measured value where the planned size itself was measured, else that of the line.
fn of_line(run: &Run, name: &str, column: &str, times: f64) -> Sized {
    let fit = run.fit_of(column);
    let measured = fit.and_then(|fit| {
        let there = |row: &&super::run_file::Row| row.get(&fit.by).and_then(Value::number) == Some(fit.at);
        run.rows.iter().find(there)?.get(column)?.number()
    });
    let slope = fit.map(|fit| {
        format!(
            "{} ± {} for each of {}",
            number(fit.slope * times),
            number(fit.standard_error * times),
            fit.by
        )
    });
    let extrapolation = match (measured, fit) {
        (Some(_), _) => "measured there".to_string(),
        (None, Some(fit)) => number(fit.extrapolation),
        (None, None) => "-".to_string(),
    };
    Sized {
        value: measured.or(fit.map(|fit| fit.value_at)).map(|value| value * times),
        slope: slope.unwrap_or("-".to_string()),
        file: link(name),
        extrapolation,
    }
}

fn link(name: &str) -> String {
    format!("[{name}](measurements/scale/{name})")
}
