//! A process of its own, whose memory tells what decoding a long list takes.

use basaltloom::catalog::Endpoint;
use basaltloom::protocol::discovery::{Decoder, Names};
use bytes::Bytes;

const ENTRIES: usize = 190_000;

/// Kilobytes of memory by this name, as the system counts them.
fn memory(name: &str) -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn entry(i: usize) -> String {
    let (a, b, c) = (i >> 16, i >> 8 & 255, i & 255);
    format!(
        r#"{{"host":"s-{i:08x}","dial":"10.{a}.{b}.{c}:5000","site":"a","class":"m2","block":{},"health":"active","share":1.0,"born_ms":1764600000000}}"#,
        i % 10_000
    )
}

/// Guards the relay's memory: a list of 190,000 endpoints in pieces takes little more than the endpoints themselves.
#[test]
fn a_long_list_takes_little_more_memory_than_its_endpoints() {
    let names = Names::default();
    let mut decoder = Decoder::new(&names);
    let mut endpoints: Vec<Endpoint> = Vec::with_capacity(ENTRIES);
    let before = memory("VmRSS:");
    let mut bytes = 0;
    let mut feed = |text: String| {
        bytes += text.len();
        decoder.feed(Bytes::from(text), &mut |e| endpoints.push(e)).unwrap();
    };
    feed(r#"{"seq":41,"whole":true,"hosts":["#.to_string());
    for from in (0..ENTRIES).step_by(100) {
        let entries: Vec<String> = (from..from + 100).map(entry).collect();
        feed(if from == 0 { entries.join(",") } else { ",".to_string() + &entries.join(",") });
    }
    feed("]}".to_string());
    let heading = decoder.finish().unwrap();
    let peak = (memory("VmHWM:") - before) * 1024;
    assert_eq!((endpoints.len(), heading.skipped.count), (ENTRIES, 0));
    assert!(bytes > 25_000_000, "{bytes}");
    // Each with its name on the heap.
    let result = ENTRIES * (std::mem::size_of::<Endpoint>() + 32);
    assert!(peak < result + 4_000_000, "{peak} bytes at the most for a result of {result}, of {bytes} bytes");
}
