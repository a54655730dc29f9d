//! The cost of an admission: `cargo bench --bench admission`. It must not grow with the number of addresses.

use basaltloom::admission::{Admission, Caps, Deed, Rate, Settings, Verdict};
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use std::net::{IpAddr, Ipv4Addr};

/// A leg comes, asks, is answered; the oldest of so many goes.
fn admission(c: &mut Criterion) {
    let mut group = c.benchmark_group("arrive, ask, answer, go");
    for addresses in [10u32, 10_000, 1_000_000] {
        for full in [false, true] {
            let name = format!("{addresses} addresses, {}", if full { "room full" } else { "room free" });
            let mut settings = Settings::plain(1_000, 10_000);
            settings.rest.address = Caps { legs: None, rate: Some(Rate { each_second: 1e6, burst: 1e6 }) };
            let mut a = Admission::new(settings);
            let mut open = std::collections::VecDeque::new();
            let (mut n, mut now) = (0u32, 0u64);
            let keep = if full { 2_000 } else { 500 };
            let mut step = move || {
                // Every address comes before any comes again.
                n = n.wrapping_mul(5).wrapping_add(3) % (1 << 20);
                now += 1_000;
                let from = IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + n % addresses));
                if let Verdict::Admit(leg) | Verdict::AdmitAndClose(leg, _) = a.arrive(now, from, true) {
                    a.asked(now, leg);
                    a.answered(now, leg, Deed::Good);
                    open.push_back(leg);
                }
                while open.len() > keep || a.closing() > 4 {
                    let Some(leg) = open.pop_front() else { break };
                    a.gone(now, leg);
                }
            };
            // All addresses have been seen, as far as they are remembered.
            (0..1u32 << 20).for_each(|_| step());
            group.bench_function(BenchmarkId::from_parameter(name), |b| b.iter(&mut step));
        }
    }
    group.finish();
}

criterion_group!(benches, admission);
criterion_main!(benches);
