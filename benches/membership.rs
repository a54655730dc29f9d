//! What membership does and costs in virtual time, by the size of the fleet: `cargo bench --bench membership`.
//! Prints the tables of `docs/measurements/membership.md` and writes its charts beside it.

#![allow(dead_code)]

#[path = "../tests/membership/world.rs"]
mod world;

use basaltloom::membership::{Guards, Terms};
use plotters::prelude::*;
use std::collections::BTreeSet;
use std::time::Instant;
use world::{Network, World, MS, SEC};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/measurements");

/// The value below which so much of all lies.
fn quantile(all: &mut [u64], share: f64) -> u64 {
    all.sort_unstable();
    let at = (share * all.len() as f64).ceil() as usize;
    all.get(at.saturating_sub(1)).copied().unwrap_or(0)
}

/// Milliseconds until the first, the middle and the last relay held one that was killed to be faulty, over seeds.
fn deaths(n: usize, seeds: u64, loss: f64) -> [Vec<u64>; 3] {
    let mut told = [Vec::new(), Vec::new(), Vec::new()];
    for seed in 0..seeds {
        let mut w = World::settled(n, seed, Terms::default());
        if loss > 0.0 {
            w.network = Network { loss, repeat: 0.05, jitter: 200 * MS, ..Network::default() };
            w.run(5 * SEC);
        }
        let dead = w.below(n);
        let (from, rest) = (w.time(), (0..n).filter(|i| *i != dead).collect::<BTreeSet<usize>>());
        w.kill(dead);
        w.run(14 * SEC);
        let all = w.told_faulty(dead, from, &rest);
        assert_eq!(all.len(), n - 1, "of {n}, seed {seed}: not all were told");
        for (kept, at) in told.iter_mut().zip([0, (n - 1) / 2, n - 2]) {
            kept.push(all[at] / MS);
        }
    }
    told
}

/// Datagrams and bytes a second of a relay, nothing going on, and the CPU microseconds that it takes.
fn cost(n: usize) -> (f64, f64, f64) {
    let mut w = World::settled(n, 1, Terms::default());
    w.run(20 * SEC);
    let before: Vec<_> = w.nodes.iter().filter_map(|m| Some(m.membership.as_ref()?.figures())).collect();
    let from = Instant::now();
    w.run(20 * SEC);
    let (spent, relays) = (from.elapsed().as_secs_f64(), n as f64 * 20.0);
    let after: Vec<_> = w.nodes.iter().filter_map(|m| Some(m.membership.as_ref()?.figures())).collect();
    let sum = |f: fn(&basaltloom::membership::Figures) -> u64| {
        after.iter().map(f).sum::<u64>() as f64 - before.iter().map(f).sum::<u64>() as f64
    };
    (sum(|f| f.sent) / relays, sum(|f| f.bytes) / relays, spent * 1e6 / relays)
}

/// Relay-seconds in which healthy relays were wrongly faulty while the datagrams of a third waited for four fifths of
/// each period, for a minute.
fn starved(period: u64, guards: Guards) -> f64 {
    let n = 16;
    let mut sum = 0.0;
    for seed in 0..4 {
        let mut w = World::settled(n, seed, Terms { guards, ..Terms::default() });
        (0..n / 3).for_each(|i| w.clog(i, period * SEC, period * SEC / 5));
        w.run(60 * SEC);
        (0..n / 3).for_each(|i| w.clog(i, SEC, SEC));
        w.run(10 * SEC);
        sum += w.wrongly_faulty(&(0..n).collect(), &(n / 3..n).collect()).0;
    }
    sum
}

type Line = (&'static str, Vec<(f64, f64)>);

fn chart(file: &str, title: &str, x: &str, y: &str, lines: &[Line]) {
    let path = format!("{FOLDER}/{file}");
    let most = |f: fn(&(f64, f64)) -> f64| lines.iter().flat_map(|l| &l.1).map(f).fold(0.0, f64::max);
    let (right, top) = (most(|p| p.0), most(|p| p.1) * 1.15);
    let area = SVGBackend::new(&path, (640, 400)).into_drawing_area();
    area.fill(&WHITE).expect("fill");
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d((2.0..right).log_scale(), 0.0..top)
        .expect("axes");
    chart.configure_mesh().x_desc(x).y_desc(y).draw().expect("mesh");
    for (i, (name, points)) in lines.iter().enumerate() {
        let color = Palette99::pick(i).to_rgba();
        let line = LineSeries::new(points.iter().copied(), color.stroke_width(2)).point_size(4);
        let drawn = chart.draw_series(line).expect("line");
        drawn.label(*name).legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw().expect("labels");
    area.present().expect("written");
}

fn main() {
    println!("| relays | lost | seeds | first p50, p99 | middle p50, p99 | last p50, p99 (ms) |\n| --- | --- | --- | --- | --- | --- |");
    let mut curves: Vec<Line> = vec![
        ("first", Vec::new()),
        ("middle", Vec::new()),
        ("last, p50", Vec::new()),
        ("last, p99", Vec::new()),
    ];
    for (n, seeds, loss) in [
        (4, 100, 0.0),
        (8, 100, 0.0),
        (16, 100, 0.0),
        (16, 60, 0.1),
        (16, 60, 0.3),
        (64, 30, 0.0),
        (300, 8, 0.0),
        (1_000, 2, 0.0),
    ] {
        let mut told = deaths(n, seeds, loss);
        let figures: Vec<(u64, u64)> =
            told.iter_mut().map(|t| (quantile(t, 0.5), quantile(t, 0.99))).collect();
        let words: Vec<String> = figures.iter().map(|(a, b)| format!("{a}, {b}")).collect();
        println!("| {n} | {loss} | {seeds} | {} |", words.join(" | "));
        if loss == 0.0 {
            let at = [figures[0].0, figures[1].0, figures[2].0, figures[2].1];
            curves.iter_mut().zip(at).for_each(|(c, ms)| c.1.push((n as f64, ms as f64)));
        }
    }
    chart("membership-death.svg", "A death is known", "relays", "ms after it", &curves);

    println!(
        "\n| relays | datagrams a second | bytes a second | CPU (us a second) |\n| --- | --- | --- | --- |"
    );
    let (mut datagrams, mut bytes) = (Vec::new(), Vec::new());
    for n in [4, 16, 64, 300, 1_000] {
        let (sent, size, spent) = cost(n);
        println!("| {n} | {sent:.1} | {size:.0} | {spent:.0} |");
        datagrams.push((n as f64, sent * 100.0));
        bytes.push((n as f64, size));
    }
    let lines = [("datagrams a second, times 100", datagrams), ("bytes a second", bytes)];
    chart("membership-cost.svg", "What a relay sends, nothing going on", "relays", "", &lines);

    println!("\n| datagrams of a third wait for 4/5 of | with all guards | plain SWIM (relay-seconds, four seeds) |\n| --- | --- | --- |");
    for period in [2, 5, 10, 20] {
        let (ours, plain) = (starved(period, Guards::default()), starved(period, Guards::plain()));
        println!("| {period} s | {ours:.1} | {plain:.1} |");
    }
}
