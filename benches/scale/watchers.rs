//! By watchers and by the size of the list: what one source of configuration has to send. The source is our stand-in.

use crate::options::Slopes;
use crate::scale::discovery::{Discovery, THREAD};
use crate::scale::fit::add_fit;
use crate::scale::list::ListShape;
use crate::scale::process_figures::named_threads_time;
use crate::scale::run_file::Run;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt};

const WATCHERS: [usize; 4] = [100, 300, 1_000, 2_700];
const LISTS: [usize; 4] = [1_000, 10_000, 50_000, 190_000];
const QUICK: [usize; 3] = [10, 20, 40];
/// Entries of the list that is watched: a change costs the same whatever its size.
const WATCHED_LIST: usize = 1_000;
const CHANGES: usize = 30;
const HOLD_MS: u64 = 20_000;
const WITHIN: Duration = Duration::from_secs(20);

const COLUMNS: [&str; 8] = [
    "watchers",
    "a change: bytes to all",
    "a change: CPU of the source (ms)",
    "a change: told to all after (ms)",
    "entries",
    "whole list (bytes)",
    "whole list: CPU of the source, first (ms)",
    "whole list: CPU of the source, again (ms)",
];

/// Measures all numbers of watchers, then all sizes of the list.
pub fn measure(slopes: &Slopes) -> Run {
    let mut run = Run::begin("watchers", &slopes.label, slopes.seed, &COLUMNS);
    run.notes.push("The source is our own stand-in, one thread; its CPU stands for what any source has to do at least. Watchers are bare connections in the same process.".to_string());
    for watchers in slopes.sizes(&WATCHERS, &QUICK) {
        measure_watchers(&mut run, watchers);
    }
    for entries in slopes.sizes(&LISTS, &QUICK) {
        measure_list(&mut run, entries);
    }
    for column in
        ["a change: bytes to all", "a change: CPU of the source (ms)", "a change: told to all after (ms)"]
    {
        add_fit(&mut run, column, "watchers", crate::relays::PLANNED);
    }
    for column in [
        "whole list (bytes)",
        "whole list: CPU of the source, first (ms)",
        "whole list: CPU of the source, again (ms)",
    ] {
        add_fit(&mut run, column, "entries", crate::destinations::PLANNED);
    }
    run
}

fn source(entries: usize) -> Discovery {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    Discovery::start(any, &ListShape { entries, address: any })
}

fn measure_watchers(run: &mut Run, watchers: usize) {
    let discovery = source(WATCHED_LIST);
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let clients = builder.worker_threads(2).enable_all().build().expect("a runtime for watchers");
    let counted = tokio::sync::watch::Sender::new(0_usize);
    for _ in 0..watchers {
        clients.spawn(watch(discovery.address(), discovery.version(), counted.clone()));
    }
    // All are there once a first change has reached each.
    discovery.change(0, |entry| entry.share = 3.0);
    let all = |count: usize| {
        let mut heard = counted.subscribe();
        let reached = async {
            tokio::time::timeout(WITHIN, heard.wait_for(|n| *n >= count)).await.is_ok_and(|r| r.is_ok())
        };
        clients.block_on(reached)
    };
    let mut complete = all(watchers);
    let (cpu, bytes, mut waited) = (named_threads_time(THREAD), discovery.answered().bytes, Duration::ZERO);
    for i in 0..CHANGES {
        let from = Instant::now();
        discovery.change(i % WATCHED_LIST, |entry| entry.share = 0.5);
        complete = complete && all((i + 2) * watchers);
        waited += from.elapsed();
    }
    let each = |sum: f64| complete.then_some(sum / CHANGES as f64);
    run.push([
        ("watchers", (watchers as f64).into()),
        ("a change: bytes to all", each((discovery.answered().bytes - bytes) as f64).into()),
        (
            "a change: CPU of the source (ms)",
            each((named_threads_time(THREAD) - cpu).as_secs_f64() * 1e3).into(),
        ),
        ("a change: told to all after (ms)", each(waited.as_secs_f64() * 1e3).into()),
    ]);
    clients.shutdown_background();
}

/// Watches from a version on for good; counts the versions that come.
async fn watch(at: SocketAddr, from: u64, counted: tokio::sync::watch::Sender<usize>) -> std::io::Result<()> {
    let mut stream = tokio::io::BufReader::new(tokio::net::TcpStream::connect(at).await?);
    let mut version = from;
    loop {
        let request =
            format!("GET /v1/endpoints?from={version}&hold_ms={HOLD_MS} HTTP/1.1\r\nHost: x\r\n\r\n");
        stream.write_all(request.as_bytes()).await?;
        let (mut line, mut length) = (String::new(), 0);
        while line != "\r\n" {
            line.clear();
            stream.read_line(&mut line).await?;
            if let Some(said) = line.strip_prefix("Content-Length: ") {
                length = said.trim().parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await?;
        let said = String::from_utf8_lossy(&body).into_owned();
        let seq = said.strip_prefix(r#"{"seq":"#).and_then(|rest| rest.split(',').next()?.parse().ok());
        if let Some(seq) = seq.filter(|seq| *seq > version) {
            version = seq;
            counted.send_modify(|n| *n += 1);
        }
    }
}

fn measure_list(run: &mut Run, entries: usize) {
    let discovery = source(entries);
    let fetch = || {
        let before = named_threads_time(THREAD);
        let bytes = whole_list(discovery.address()).ok();
        (bytes, (named_threads_time(THREAD) - before).as_secs_f64() * 1e3)
    };
    let ((_, first), (bytes, again)) = (fetch(), fetch());
    run.push([
        ("entries", (entries as f64).into()),
        ("whole list (bytes)", bytes.map(|bytes| bytes as f64).into()),
        ("whole list: CPU of the source, first (ms)", first.into()),
        ("whole list: CPU of the source, again (ms)", again.into()),
    ]);
}

/// Fetches the whole list once; its length.
fn whole_list(at: SocketAddr) -> std::io::Result<u64> {
    let mut stream = TcpStream::connect(at)?;
    stream.write_all(b"GET /v1/endpoints HTTP/1.1\r\nHost: x\r\n\r\n")?;
    let mut stream = BufReader::new(stream);
    let (mut line, mut length) = (String::new(), 0);
    while line != "\r\n" {
        line.clear();
        stream.read_line(&mut line)?;
        if let Some(said) = line.strip_prefix("Content-Length: ") {
            length = said.trim().parse().unwrap_or(0);
        }
    }
    std::io::copy(&mut stream.take(length), &mut std::io::sink())
}
