//! Delivery times and worth with batching off, fixed and adaptive, and pipelining, against stand-in partners of
//! several paces: `cargo bench --bench batching [SECONDS]`. Seeded; prints the tables of
//! `docs/measurements/batching.md` and writes its charts.

use basaltloom::operator;
use basaltloom::program::config;
use basaltloom::program::wiring::{self, Plan, PlatformPlan};
use basaltloom::routing::Clock;
use basaltloom::transport::network::Tcp;
use hdrhistogram::Histogram;
use plotters::prelude::*;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, Semaphore};
use tokio::task::LocalSet;
use tokio::time::{sleep, sleep_until};

/// How a stand-in partner works.
#[derive(Clone, Copy)]
struct Pace {
    name: &'static str,
    call: Duration,
    item: Duration,
    /// Calls that it works on at once; others wait in line.
    width: usize,
    /// Calls a second, above which it refuses; 0: none.
    limit: f64,
    /// Share of calls that it works on and then drops.
    breaks: f64,
}

const fn pace(name: &'static str, call_ms: u64, item_us: u64, limit: f64, breaks: f64) -> Pace {
    let (call, item) = (Duration::from_millis(call_ms), Duration::from_micros(item_us));
    Pace { name, call, item, width: SLOTS, limit, breaks }
}

const SLOTS: usize = 16;
const AT_ONCE: f64 = 12.0;
const PACES: [Pace; 7] = [
    pace("5 ms + 0.05", 5, 250, 0.0, 0.0),
    pace("20 ms + 0.2", 20, 4_000, 0.0, 0.0),
    pace("50 ms + 0.8", 50, 40_000, 0.0, 0.0),
    pace("100 ms + 0.1, limited", 100, 10_000, 60.0, 0.0),
    pace("200 ms + 0.4", 200, 80_000, 0.0, 0.0),
    pace("500 ms + 0.05", 500, 25_000, 0.0, 0.0),
    pace("20 ms + 0.1, breaks", 20, 2_000, 0.0, 0.03),
];

/// What the operator's file says in each mode.
const MODES: [(&str, &str); 4] = [
    ("off", "messages 1"),
    ("fixed", "messages 10"),
    ("fixed, lingers", "messages 10\n linger 20ms"),
    ("adaptive", "messages 10\n size adaptive\n linger 20ms"),
];
const REPEATS: u64 = 3;
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

type Seen = Arc<Mutex<HashMap<String, Instant>>>;

/// A partner on a thread of its own.
fn partner(pace: Pace, seed: u64, seen: Seen, calls: Arc<Mutex<usize>>) -> SocketAddr {
    let (told, address) = mpsc::channel();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a loop");
        LocalSet::new().block_on(&runtime, async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            told.send(listener.local_addr().expect("an address")).expect("somebody waits");
            let width = Rc::new(Semaphore::new(pace.width));
            let dice = Rc::new(std::cell::RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
            let window = Rc::new(std::cell::RefCell::new((Instant::now(), 0.0)));
            while let Ok((stream, _)) = listener.accept().await {
                let (width, dice, window) = (width.clone(), dice.clone(), window.clone());
                let (seen, calls) = (seen.clone(), calls.clone());
                tokio::task::spawn_local(async move {
                    stream.set_nodelay(true).ok();
                    let mut stream = BufReader::new(stream);
                    while let Some((batch, ids)) = hear(&mut stream).await {
                        *calls.lock().expect("no panic") += 1;
                        if pace.limit > 0.0 {
                            let full = {
                                let mut w = window.borrow_mut();
                                if w.0.elapsed() >= Duration::from_secs(1) {
                                    *w = (Instant::now(), 0.0);
                                }
                                w.1 += 1.0;
                                (w.1 > pace.limit).then(|| 1.0 - w.0.elapsed().as_secs_f64())
                            };
                            if let Some(wait) = full {
                                let text = format!(
                                    "HTTP/1.1 429 X\r\nretry-after: {:.3}\r\ncontent-length: 0\r\n\r\n",
                                    wait.max(0.001)
                                );
                                if stream.write_all(text.as_bytes()).await.is_err() {
                                    return;
                                }
                                continue;
                            }
                        }
                        let place = width.acquire().await;
                        sleep(pace.call + pace.item * ids.len() as u32).await;
                        drop(place);
                        if f64::from(dice.borrow_mut().next_u32()) / f64::from(u32::MAX) < pace.breaks {
                            return;
                        }
                        let ends: String = ids.iter().map(|id| format!("{id} accepted\r\n")).collect();
                        let body = if batch { ends } else { String::new() };
                        let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                        if stream.write_all(text.as_bytes()).await.is_err() {
                            return;
                        }
                        let now = Instant::now();
                        let mut seen = seen.lock().expect("no panic");
                        for id in ids {
                            seen.entry(id).or_insert(now);
                        }
                    }
                });
            }
        });
    });
    address.recv().expect("its address")
}

/// One call: whether it is a batch, and its ids.
async fn hear(stream: &mut BufReader<TcpStream>) -> Option<(bool, Vec<String>)> {
    let (mut line, mut batch, mut length, mut ids) = (String::new(), false, 0, Vec::new());
    loop {
        line.clear();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let lower = line.to_ascii_lowercase();
        batch |= lower.starts_with("post /hook/batch");
        if let Some(id) = lower.strip_prefix("x-request-id:") {
            ids.push(id.trim().to_string());
        } else if let Some(n) = lower.strip_prefix("content-length:") {
            length = n.trim().parse().ok()?;
        } else if line == "\r\n" {
            break;
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let mut rest = &body[..];
    while batch && !rest.is_empty() {
        let end = rest.iter().position(|b| *b == b'\n')?;
        let head = std::str::from_utf8(&rest[..end]).ok()?.trim();
        let mut fields = head.split(' ');
        ids.push(fields.next()?.to_string());
        let len: usize = fields.nth(1)?.parse().ok()?;
        rest = rest.get(end + 1 + len + 2..)?;
    }
    Some((batch, ids))
}

/// The relay on a thread of its own, its batching as the mode says.
fn relay(
    hop: SocketAddr,
    mode: &str,
    seed: u64,
) -> (SocketAddr, oneshot::Sender<()>, thread::JoinHandle<()>) {
    let port = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    let (end, ended) = oneshot::channel::<()>();
    let state =
        std::env::temp_dir().join(format!("basaltloom-batching-{}-{}", std::process::id(), port.port()));
    let text = format!(
        r#"{{"listen":"{port}","seed":"{seed}","limits":{{"sockets":512,"disk_mb":64}},"known":{{"seq":1,"whole":true,
"hosts":[{{"host":"h","dial":"{hop}","site":"z","class":"k","block":1,"health":"active","share":1.0,"born_ms":0}}]}},
"settings":{{"azs":["z"],"kinds":["k"],"fleet_size":1,"domain":{{"calls_out":{SLOTS},"per_call":[10]}},
"limits":{{"max_open":4000,"most_tries":8,"retry_after":true,"max_retry_after":3000000000,"keepalive":10000000000,
"cancel":true}},"rules":{{"cold_share":1.0,"fall":1500000000,"overload_factor":1000.0,"warm_up":100000000}},
"services":[{{"name":"notice","aim":2000000000,"deadline":10000000000,"importance":1,"late_worth":0.4,
"repeat":"pure"}}]}}}}"#
    );
    let mode = format!("batching {{\n {mode}\n}}");
    let handle = thread::spawn(move || {
        let operator = operator::parse("bench", &mode).expect("a mode");
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a loop");
        LocalSet::new().block_on(&runtime, async move {
            let mut config = config::decode(&text.parse().expect("JSON")).expect("a configuration");
            config.state = state.clone();
            let (_moved, reread) = tokio::sync::mpsc::unbounded_channel();
            let platform = Some(PlatformPlan { config, reread });
            let plan = Plan { platform, smpp: None, operator, changes: None, descriptors: 512 };
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
    let (address, end, handle) = relay(hop, mode, seed);
    let single = (pace.call + pace.item).as_secs_f64();
    let carries = (AT_ONCE / single).min(if pace.limit > 0.0 { pace.limit } else { f64::MAX });
    let rate = load * carries;
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

fn main() {
    let seconds = std::env::args().filter_map(|a| a.parse().ok()).next().unwrap_or(8.0);
    let mut jobs = Vec::new();
    for (p, pace) in PACES.iter().enumerate() {
        for load in [0.6, 1.6] {
            for (m, (_, mode)) in MODES.iter().enumerate() {
                for repeat in 0..REPEATS {
                    jobs.push((p, *pace, load, m, *mode, 1 + repeat));
                }
            }
        }
    }
    let (jobs, done) = (Arc::new(Mutex::new(jobs)), Arc::new(Mutex::new(HashMap::<_, Vec<Run>>::new())));
    // Most of a run is waiting: a few side by side do not disturb one another.
    let lanes: Vec<_> = (0..12)
        .map(|_| {
            let (jobs, done) = (jobs.clone(), done.clone());
            thread::spawn(move || loop {
                let Some((p, pace, load, m, mode, seed)) = jobs.lock().expect("no panic").pop() else {
                    return;
                };
                let run = run(pace, load, mode, seed, seconds);
                let key = (p, (load * 10.0) as u32, m);
                done.lock().expect("no panic").entry(key).or_default().push(run);
            })
        })
        .collect();
    lanes.into_iter().for_each(|lane| lane.join().expect("a lane"));
    let done = done.lock().expect("no panic");
    println!("| partner | load | mode | messages | delivered | a call | carried/s | p50 ms | p99 ms | p99.9 ms | worth |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (p, pace) in PACES.iter().enumerate() {
        for load in [6, 16] {
            for (m, (mode, _)) in MODES.iter().enumerate() {
                let runs = &done[&(p, load, m)];
                let of = |f: &dyn Fn(&Run) -> f64| spread(&runs.iter().map(f).collect::<Vec<_>>());
                let show =
                    |(mean, half): (f64, f64), digits: usize| format!("{mean:.digits$} ± {half:.digits$}");
                let at = |q: f64| show(of(&|r| r.micros.value_at_quantile(q) as f64 / 1e3), 0);
                println!(
                    "| {} | {:.1} | {mode} | {:.0} | {:.3} | {:.1} | {} | {} | {} | {} | {} |",
                    pace.name,
                    f64::from(load) / 10.0,
                    of(&|r| r.asked as f64).0,
                    of(&|r| r.delivered as f64 / r.asked.max(1) as f64).0,
                    of(&|r| r.delivered as f64 / r.calls.max(1) as f64).0,
                    show(of(&|r| r.carried_a_second), 1),
                    at(0.5),
                    at(0.99),
                    at(0.999),
                    show(of(&|r| r.worth), 3),
                );
            }
        }
    }
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/measurements");
    for load in [6u32, 16] {
        let p999 = |p: usize, m: usize| {
            spread(
                &done[&(p, load, m)]
                    .iter()
                    .map(|r| r.micros.value_at_quantile(0.999) as f64 / 1e3)
                    .collect::<Vec<_>>(),
            )
        };
        let file = folder.join(format!("batching-p999-load-{load}.svg"));
        chart(
            &file,
            &format!("p99.9 of delivery, load {:.1} of what single calls carry", f64::from(load) / 10.0),
            &p999,
        );
    }
}

/// Bars of p99.9 by partner and mode, on a logarithmic scale, with the spread of the repeats.
fn chart(file: &std::path::Path, title: &str, p999: &dyn Fn(usize, usize) -> (f64, f64)) {
    let root = SVGBackend::new(file, (1_000, 420)).into_drawing_area();
    root.fill(&WHITE).expect("a page");
    let columns = PACES.len() * (MODES.len() + 1);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0f64..columns as f64, (1f64..20_000f64).log_scale())
        .expect("axes");
    let label = |x: &f64| {
        let at = *x as usize / (MODES.len() + 1);
        PACES.get(at).map_or(String::new(), |p| p.name.to_string())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(PACES.len())
        .x_label_formatter(&label)
        .y_desc("ms")
        .draw()
        .expect("a mesh");
    for (m, (mode, _)) in MODES.iter().enumerate() {
        let colour = Palette99::pick(m).to_rgba();
        let bars = (0..PACES.len()).flat_map(|p| {
            let (mean, half) = p999(p, m);
            let x = (p * (MODES.len() + 1) + m) as f64;
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
