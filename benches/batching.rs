//! Delivery times and worth with batching off, fixed and adaptive, and pipelining, against stand-in partners of
//! several paces: `cargo bench --bench batching [SECONDS]`. Seeded; prints the tables of
//! `docs/measurements/batching.md` and writes its charts.

#[path = "../tests/stand_ins/page_form.rs"]
mod page_form;
#[path = "batching/partner.rs"]
mod partner;

use basaltloom::configuration::{judge, Environment, Origin};
use basaltloom::operator;
use basaltloom::program::wiring::{self, Plan, PlatformPlan};
use basaltloom::routing::Clock;
use basaltloom::transport::network::Tcp;
use hdrhistogram::Histogram;
use page_form::completed;
use partner::{ms, partner, us, Pace, Seen};
use plotters::prelude::*;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until};

const MOST_SLOTS: usize = 16;
/// The module keeps so many of its slots for one destination.
const AT_ONCE: f64 = 0.75;
const BATCHES: Pace = Pace { slots: MOST_SLOTS, ..Pace::PLAIN };
const PIPES: Pace = Pace { name: "", call: ms(20), item: us(500), slots: 8, ..Pace::PLAIN };

/// Partners that take batches, from a call that costs little beside its messages to one that costs most.
const BATCH_PACES: [Pace; 7] = [
    Pace { name: "5 ms + 0.05", call: ms(5), item: us(250), slots: 4, ..BATCHES },
    Pace { name: "20 ms + 0.2", call: ms(20), item: ms(4), slots: 8, ..BATCHES },
    Pace { name: "50 ms + 0.8", call: ms(50), item: ms(40), ..BATCHES },
    Pace { name: "100 ms + 0.1, limited", call: ms(100), item: ms(10), limit: 60.0, ..BATCHES },
    Pace { name: "200 ms + 0.4", call: ms(200), item: ms(80), ..BATCHES },
    Pace { name: "500 ms + 0.05", call: ms(500), item: ms(25), ..BATCHES },
    Pace { name: "20 ms + 0.1, breaks", call: ms(20), item: ms(2), slots: 8, breaks: 0.03, ..BATCHES },
];

/// What the operator's file says in each mode.
const BATCH_MODES: [(&str, &str); 4] = [
    ("off", "messages 1"),
    ("fixed", "messages 10"),
    ("fixed, lingers", "messages 10\n linger 20ms"),
    ("adaptive", "messages 10\n size adaptive\n linger 20ms"),
];

/// Partners that answer calls behind one another in their order.
const PIPE_PACES: [Pace; 4] = [
    Pace { name: "2 workers, side by side", workers: 2, side_by_side: true, ..PIPES },
    Pace { name: "many, side by side", side_by_side: true, ..PIPES },
    Pace { name: "many, one by one", ..PIPES },
    Pace { name: "2 workers, breaks", workers: 2, side_by_side: true, breaks: 0.03, ..PIPES },
];
const PIPE_MODES: [(&str, &str); 3] =
    [("depth 1", "messages 1"), ("depth 2", "messages 1\n depth 2"), ("depth 8", "messages 1\n depth 8")];

/// Partners and modes that share a table and its charts.
struct Series {
    name: &'static str,
    paces: &'static [Pace],
    modes: &'static [(&'static str, &'static str)],
}

const SERIES: [Series; 2] = [
    Series { name: "batching", paces: &BATCH_PACES, modes: &BATCH_MODES },
    Series { name: "pipelining", paces: &PIPE_PACES, modes: &PIPE_MODES },
];
const LOADS: [f64; 2] = [0.6, 1.6];
const REPEATS: u64 = 5;
/// Runs side by side: most of a run is waiting.
const LANES: usize = 8;
const AIM_MS: f64 = 2_000.0;
const DEADLINE_MS: f64 = 10_000.0;
const LATE_WORTH: f64 = 0.4;

/// What came of one run.
struct Run {
    asked: usize,
    delivered: usize,
    carried_a_second: f64,
    worth: f64,
    micros: Histogram<u64>,
    calls: usize,
}

/// The relay on a thread of its own, its batching as the mode says.
fn relay(
    hop: SocketAddr,
    slots: usize,
    mode: &str,
    seed: u64,
) -> (SocketAddr, oneshot::Sender<()>, thread::JoinHandle<()>) {
    let port = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let (end, ended) = oneshot::channel::<()>();
    let state =
        std::env::temp_dir().join(format!("basaltloom-batching-{}-{}", std::process::id(), port.port()));
    let text = completed(&format!(
        r#"{{"listen":"{port}","seed":"{seed}","limits":{{"sockets":512,"disk_mb":64}},"known":{{"seq":1,"whole":true,
"hosts":[{{"host":"h","dial":"{hop}","site":"z","class":"k","block":1,"health":"active","share":1.0,"born_ms":0}}]}},
"settings":{{"azs":["z"],"kinds":["k"],"fleet_size":1,"domain":{{"calls_out":{slots},"per_call":[10]}},
"limits":{{"max_open":4000,"most_tries":8,"retry_after":true,"max_retry_after":3000000000,"keepalive":10000000000,
"cancel":true}},"rules":{{"cold_share":1.0,"fall":1500000000,"overload_factor":1000.0,"warm_up":100000000}},
"services":[{{"name":"notice","aim":2000000000,"deadline":10000000000,"importance":1,"late_worth":0.4,
"repeat":"pure"}}]}}}}"#
    ));
    let mode = format!("batching {{\n {mode}\n}}");
    let handle = thread::spawn(move || {
        let operator = operator::parse("bench", &mode).expect("a mode");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a loop");
        LocalSet::new().block_on(&runtime, async move {
            let environment = Environment { state: Some(state.clone()), ..Environment::default() };
            let configuration = judge(&text, None).expect("a configuration");
            let configuration = configuration.at_start(&environment, Origin::default());
            let platform = Some(PlatformPlan { configuration, environment, names_before: None });
            let plan = Plan { platform, operator, descriptors: 512, ..Plan::default() };
            wiring::run(plan, Rc::new(Tcp), Clock::system(), async { drop(ended.await) })
                .await
                .expect("it runs");
            std::fs::remove_dir_all(&state).ok();
        });
    });
    (port, end, handle)
}

/// Messages at a rate, at random times, for so long; then time for what is held.
fn run(pace: Pace, load: f64, mode: &str, seed: u64, seconds: f64) -> Run {
    let (seen, calls): (Seen, _) = (Seen::default(), Arc::new(Mutex::new(0)));
    let hop = partner(pace, seed, seen.clone(), calls.clone());
    let (address, end, handle) = relay(hop, pace.slots, mode, seed);
    let rate = load * pace.carries_singly(AT_ONCE);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a loop");
    let sent: HashMap<String, Instant> = LocalSet::new().block_on(&runtime, async {
        while TcpStream::connect(address).await.is_err() {
            sleep(Duration::from_millis(5)).await;
        }
        let sent = Rc::new(std::cell::RefCell::new(HashMap::new()));
        let idle = Rc::new(std::cell::RefCell::new(Vec::<BufReader<TcpStream>>::new()));
        let mut dice = ChaCha8Rng::seed_from_u64(seed ^ 0xabcd);
        let (begun, mut at, mut n) = (tokio::time::Instant::now(), 0.0, 0);
        loop {
            let chance = (f64::from(dice.next_u32()) + 1.0) / (f64::from(u32::MAX) + 2.0);
            at += -chance.ln() / rate;
            if at > seconds {
                break;
            }
            sleep_until(begun + Duration::from_secs_f64(at)).await;
            let id = format!("m{n}");
            n += 1;
            sent.borrow_mut().insert(id.clone(), Instant::now());
            let idle = idle.clone();
            tokio::task::spawn_local(async move {
                let kept = idle.borrow_mut().pop();
                let mut stream = match kept {
                    Some(stream) => stream,
                    None => match TcpStream::connect(address).await {
                        Ok(stream) => BufReader::new(stream),
                        Err(_) => return,
                    },
                };
                let text = format!(
                    "POST /notice HTTP/1.1\r\nhost: x\r\nx-request-id: {id}\r\nx-timeout: 10000m\r\n\
                     x-consignee: dest=1\r\ncontent-length: 100\r\n\r\n{}",
                    "x".repeat(100)
                );
                let mut line = String::new();
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
                while stream.read_line(&mut line).await.is_ok_and(|n| n > 0) {
                    if line.ends_with("\r\n\r\n") || line == "\r\n" {
                        idle.borrow_mut().push(stream);
                        return;
                    }
                    line.clear();
                }
            });
        }
        sleep(Duration::from_secs_f64((pace.call.as_secs_f64() * 3.0 + 0.5).min(3.0))).await;
        sent.take()
    });
    end.send(()).ok();
    let asked_to_end = Instant::now();
    while !handle.is_finished() {
        assert!(
            asked_to_end.elapsed() < Duration::from_secs(60),
            "the relay does not end: {} {mode}",
            pace.name
        );
        thread::sleep(Duration::from_millis(20));
    }
    handle.join().ok();
    let seen = seen.lock().expect("no panic");
    let mut micros = Histogram::new(3).expect("three digits");
    let (mut worth, mut delivered, mut within) = (0.0, 0, 0);
    let first = sent.values().min().copied().unwrap_or(Instant::now());
    for (id, at) in &sent {
        let Some(done) = seen.get(id) else { continue };
        let took = done.duration_since(*at);
        let ms = took.as_secs_f64() * 1e3;
        let late = ((ms - AIM_MS) / (DEADLINE_MS - AIM_MS)).max(0.0);
        worth += if late >= 1.0 { 0.0 } else { 1.0 - (1.0 - LATE_WORTH) * late };
        delivered += 1;
        within += usize::from(done.duration_since(first).as_secs_f64() <= seconds);
        micros.record(took.as_micros() as u64).expect("a time in range");
    }
    let (asked, calls) = (sent.len(), *calls.lock().expect("no panic"));
    Run {
        asked,
        delivered,
        carried_a_second: within as f64 / seconds,
        worth: worth / asked.max(1) as f64,
        micros,
        calls,
    }
}

/// Mean and half the spread of some repeats.
fn spread(values: &[f64]) -> (f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let most = values.iter().copied().fold(f64::MIN, f64::max);
    let least = values.iter().copied().fold(f64::MAX, f64::min);
    (mean, (most - least) / 2.0)
}

/// The repeats of each series, partner, load and mode.
type Results = HashMap<(usize, usize, usize, usize), Vec<Run>>;

fn main() {
    let seconds = std::env::args().filter_map(|a| a.parse().ok()).next().unwrap_or(8.0);
    let mut jobs = Vec::new();
    for (s, series) in SERIES.iter().enumerate() {
        for p in 0..series.paces.len() {
            for l in 0..LOADS.len() {
                let modes = 0..series.modes.len();
                jobs.extend(modes.flat_map(|m| (1..=REPEATS).map(move |seed| (s, p, l, m, seed))));
            }
        }
    }
    // Mixed, so that what runs side by side disturbs all modes alike.
    let mut dice = ChaCha8Rng::seed_from_u64(7);
    jobs.sort_by_cached_key(|_| dice.next_u64());
    let (jobs, done) = (Arc::new(Mutex::new(jobs)), Arc::new(Mutex::new(Results::new())));
    let lane = || {
        let (jobs, done) = (jobs.clone(), done.clone());
        thread::spawn(move || loop {
            let Some((s, p, l, m, seed)) = jobs.lock().expect("no panic").pop() else { return };
            let series = &SERIES[s];
            let run = run(series.paces[p], LOADS[l], series.modes[m].1, seed, seconds);
            done.lock().expect("no panic").entry((s, p, l, m)).or_default().push(run);
        })
    };
    let lanes: Vec<_> = (0..LANES).map(|_| lane()).collect();
    lanes.into_iter().for_each(|lane| lane.join().expect("a lane"));
    let done = done.lock().expect("no panic");
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/measurements");
    for (s, series) in SERIES.iter().enumerate() {
        table(s, series, &done);
        for (l, load) in LOADS.iter().enumerate() {
            let p999 = |p, m| of(&done[&(s, p, l, m)], |r| r.micros.value_at_quantile(0.999) as f64 / 1e3);
            let file = folder.join(format!("{}-p999-load-{:.0}.svg", series.name, load * 10.0));
            let title = format!("p99.9 of delivery, load {load:.1} of what single calls carry");
            chart(&file, &title, series, &p999);
        }
    }
}

/// A figure of some repeats: mean and half the spread.
fn of(runs: &[Run], figure: impl Fn(&Run) -> f64) -> (f64, f64) {
    spread(&runs.iter().map(figure).collect::<Vec<_>>())
}

fn table(s: usize, series: &Series, done: &Results) {
    println!("\n| partner | load | mode | messages | delivered | a call | carried/s | p50 ms | p99 ms | p99.9 ms | worth |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (p, pace) in series.paces.iter().enumerate() {
        for (l, load) in LOADS.iter().enumerate() {
            for (m, (mode, _)) in series.modes.iter().enumerate() {
                let runs = &done[&(s, p, l, m)];
                let show =
                    |(mean, half): (f64, f64), digits: usize| format!("{mean:.digits$} ± {half:.digits$}");
                let at = |q: f64| show(of(runs, |r| r.micros.value_at_quantile(q) as f64 / 1e3), 0);
                println!(
                    "| {} | {load:.1} | {mode} | {:.0} | {:.3} | {:.1} | {} | {} | {} | {} | {} |",
                    pace.name,
                    of(runs, |r| r.asked as f64).0,
                    of(runs, |r| r.delivered as f64 / r.asked.max(1) as f64).0,
                    of(runs, |r| r.delivered as f64 / r.calls.max(1) as f64).0,
                    show(of(runs, |r| r.carried_a_second), 1),
                    at(0.5),
                    at(0.99),
                    at(0.999),
                    show(of(runs, |r| r.worth), 3),
                );
            }
        }
    }
}

/// Bars of p99.9 by partner and mode, on a logarithmic scale, with the spread of the repeats.
fn chart(file: &std::path::Path, title: &str, series: &Series, p999: &dyn Fn(usize, usize) -> (f64, f64)) {
    let (paces, modes) = (series.paces, series.modes);
    let root = SVGBackend::new(file, (1_000, 420)).into_drawing_area();
    root.fill(&WHITE).expect("a page");
    let columns = paces.len() * (modes.len() + 1);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0f64..columns as f64, (1f64..20_000f64).log_scale())
        .expect("axes");
    let label = |x: &f64| {
        let at = *x as usize / (modes.len() + 1);
        paces.get(at).map_or(String::new(), |p| p.name.to_string())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(paces.len())
        .x_label_formatter(&label)
        .y_desc("ms")
        .draw()
        .expect("a mesh");
    for (m, (mode, _)) in modes.iter().enumerate() {
        let colour = Palette99::pick(m).to_rgba();
        let bars = (0..paces.len()).flat_map(|p| {
            let (mean, half) = p999(p, m);
            let x = (p * (modes.len() + 1) + m) as f64;
            let bar = Rectangle::new([(x + 0.1, 1.0), (x + 0.9, mean.max(1.0))], colour.filled());
            let whisker =
                Rectangle::new([(x + 0.47, (mean - half).max(1.0)), (x + 0.53, mean + half)], BLACK.filled());
            [bar, whisker]
        });
        let drawn = chart.draw_series(bars).expect("bars");
        drawn
            .label(*mode)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart.configure_series_labels().border_style(BLACK).background_style(WHITE).draw().expect("a legend");
    root.present().expect("a chart");
}
