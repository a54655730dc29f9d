//! Charts beside the tables.

use crate::scale::run_file::Run;
use plotters::prelude::*;
use std::io;
use std::path::Path;

/// One curve: its name and its points.
type Curve = (String, Vec<(f64, f64)>);

/// Draws a column of several runs against another, both axes in decades.
pub fn draw(path: &Path, title: &str, by: &str, column: &str, runs: &[&Run]) -> io::Result<()> {
    let curves: Vec<Curve> = runs.iter().map(|run| (run.label.clone(), points(run, by, column))).collect();
    let all = || curves.iter().flat_map(|(_, points)| points);
    if all().count() == 0 {
        return Ok(());
    }
    plot(path, title, (by, column), &curves).map_err(|why| io::Error::other(why.to_string()))
}

fn points(run: &Run, by: &str, column: &str) -> Vec<(f64, f64)> {
    let number =
        |row: &crate::scale::run_file::Row, name: &str| row.get(name).and_then(|value| value.number());
    run.rows.iter().filter_map(|row| Some((number(row, by)?, number(row, column)?))).collect()
}

fn plot(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    curves: &[Curve],
) -> Result<(), Box<dyn std::error::Error>> {
    let all: Vec<(f64, f64)> = curves.iter().flat_map(|(_, points)| points.clone()).collect();
    let range = |of: fn(&(f64, f64)) -> f64| {
        let values = || all.iter().map(of);
        values().fold(f64::MAX, f64::min) * 0.8..values().fold(f64::MIN, f64::max) * 1.25
    };
    let area = SVGBackend::new(path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(range(|p| p.0).log_scale(), range(|p| p.1).log_scale())?;
    chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).draw()?;
    for (i, (name, points)) in curves.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let line = LineSeries::new(points.iter().copied(), color.stroke_width(2)).point_size(4);
        let legend = move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color);
        chart.draw_series(line)?.label(name.as_str()).legend(legend);
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
