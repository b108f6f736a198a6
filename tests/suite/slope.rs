//! Measures the cost of membership for idle daemons. Run it alone, in release mode:
//! `cargo test --release --all-features --test suite -- --ignored --nocapture slope_`.

use std::time::{Duration, Instant};

use crate::peers::{Cluster, status};
use crate::workdir::{MANIFEST, Process, Workdir, process_ticks, resident_kb, wait_within};

/// Period over which idle daemons are measured.
const WINDOW: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Resources that a daemon has used since its start, and its resident memory.
#[derive(Clone, Copy, Debug)]
struct ResourceUsage {
    ticks: f64,
    rss_kb: f64,
    sent: f64,
    received: f64,
}

/// Value of the first metric whose line starts with `name`, else 0.
fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// Reads the resource usage of a daemon.
fn read_usage(dir: &Workdir, process: &Process, url: &str) -> ResourceUsage {
    let page = dir.get(&format!("{url}/metrics")).expect("metrics");
    let page = String::from_utf8_lossy(page.body()).into_owned();
    let bytes = |direction: &str| {
        let in_direction = |line: &&str| {
            line.starts_with("basillead_peer_bytes") && line.contains(&format!("\"{direction}\""))
        };
        page.lines()
            .find(in_direction)
            .map_or(0.0, |line| metric(line, ""))
    };
    ResourceUsage {
        ticks: process_ticks(process),
        rss_kb: resident_kb(process),
        sent: bytes("sent"),
        received: bytes("received"),
    }
}

/// Prints means over daemons: percent of a core, MB resident, KB per second sent and received.
fn report(name: &str, before: &[ResourceUsage], after: &[ResourceUsage], seconds: f64) {
    let count = f64::from(u32::try_from(before.len()).expect("few daemons"));
    let mean = |f: &dyn Fn(&ResourceUsage, &ResourceUsage) -> f64| {
        before.iter().zip(after).map(|(a, b)| f(a, b)).sum::<f64>() / count
    };
    let cpu = mean(&|a, b| (b.ticks - a.ticks) / TICKS_PER_S / seconds * 100.0);
    let rss = mean(&|_, b| b.rss_kb / 1024.0);
    let sent = mean(&|a, b| (b.sent - a.sent) / seconds / 1000.0);
    let received = mean(&|a, b| (b.received - a.received) / seconds / 1000.0);
    println!(
        "{name}: {cpu:.2}% of a core, {rss:.1} MB, {sent:.2} KB/s sent, {received:.2} KB/s received"
    );
}

#[test]
#[ignore = "a measurement, to be run alone"]
fn slope_at_rest() {
    for count in [10, 20, 40] {
        let dir = Workdir::new("slope");
        let cluster = Cluster::start(&dir, count, 3);
        wait_within("all daemons are listed", Duration::from_secs(30), || {
            let status = status(&dir, 0);
            let daemons = status["daemons"].as_array().map_or(0, Vec::len);
            daemons == 2 * count
        });
        std::thread::sleep(Duration::from_secs(5));
        let read_all =
            |processes: &[Option<Process>], url: &dyn Fn(usize) -> String| -> Vec<ResourceUsage> {
                let running = processes.iter().enumerate();
                running
                    .filter_map(|(n, process)| {
                        process
                            .as_ref()
                            .map(|process| read_usage(&dir, process, &url(n)))
                    })
                    .collect()
            };
        let (entry_url, control_url) = (|n| dir.entry_url(n), |n| dir.control_url(n));
        let started = Instant::now();
        let entries = read_all(&cluster.entries, &entry_url);
        let controls = read_all(&cluster.controls, &control_url);
        std::thread::sleep(WINDOW);
        let seconds = started.elapsed().as_secs_f64();
        let later = read_all(&cluster.entries, &entry_url);
        report(
            &format!("{count} instances, entry"),
            &entries,
            &later,
            seconds,
        );
        let later = read_all(&cluster.controls, &control_url);
        report(
            &format!("{count} instances, control"),
            &controls,
            &later,
            seconds,
        );
    }
}

/// Measures the time until the status of every daemon shows that all hold a new manifest, for 20
/// manifests.
#[test]
#[ignore = "a measurement, to be run alone"]
fn slope_spread() {
    let dir = Workdir::new("spread");
    let _cluster = Cluster::start(&dir, 10, 3);
    let mut times = Vec::new();
    for round in 0..20 {
        let revision = status(&dir, 0)["revision"].as_u64().expect("a revision");
        let manifest = MANIFEST.replace("base = 0", &format!("base = {revision}"));
        dir.publish(&manifest.replace("weight = 2", &format!("weight = {}", round + 3)));
        let target = status(&dir, 0)["revision"].as_u64().expect("a revision");
        let published = Instant::now();
        wait_within("all agree on the manifest", Duration::from_secs(30), || {
            (0..10).all(|n| {
                let status = status(&dir, n);
                let daemons = status["daemons"].as_array().map_or(&[][..], Vec::as_slice);
                daemons.len() == 20 && daemons.iter().all(|daemon| daemon["revision"] == target)
            })
        });
        times.push(published.elapsed().as_millis());
    }
    times.sort_unstable();
    println!(
        "20 daemons: all know that all hold a manifest: median {} ms, longest {} ms",
        times[times.len() / 2],
        times[times.len() - 1]
    );
}

/// Measures the encoded size of a heartbeat, and of the digest of an idle control daemon.
#[test]
#[ignore = "a measurement, to be run alone"]
fn slope_message_sizes() {
    let beat = basillead::wire::Beat {
        id: u64::MAX,
        seq: 100_000,
        age: 900,
        next: 100_000,
        fresh: true,
    };
    let digest = basillead::wire::Digest {
        age_ms: 900,
        config_next: 100_000,
        content: 100_000,
        crashes: Vec::new(),
        daemon: basillead::wire::Daemon::Control,
        demand: Vec::new(),
        denied: Vec::new(),
        fresh: true,
        incarnation: "0".repeat(24),
        instance: "instance-100".to_owned(),
        leases: Vec::new(),
        leaving: false,
        loads: Vec::new(),
        manifest: "0".repeat(64),
        peer: "10.100.100.100:7400".to_owned(),
        revision: 100_000,
        seq: 100_000,
        url: "http://10.100.100.100:7000".to_owned(),
        zone: "zone-1".to_owned(),
    };
    let mut buf = Vec::new();
    ciborium::into_writer(&beat, &mut buf).expect("CBOR");
    println!("beat: {} bytes", buf.len());
    buf.clear();
    ciborium::into_writer(&digest, &mut buf).expect("CBOR");
    println!("digest at rest: {} bytes", buf.len());
}
