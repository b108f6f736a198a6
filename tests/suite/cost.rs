//! Measures the overhead of an entry compared with direct requests to the stand-in engine.

use std::time::{Duration, Instant};

use http::{Method, Request, Response};
use http_body_util::BodyExt as _;

use basillead::http::AnswerBody;

use crate::workdir::{SmallCluster, Workdir, process_ticks, resident_kb};

/// Requests measured through the entry, and as many directly.
const REQUESTS: usize = 400;
/// Concurrent streams while throughput is measured.
const STREAMS: usize = 32;
/// Tokens per stream.
const TOKENS: usize = 20_000;
/// Clock ticks per second in `/proc/<pid>/stat`.
const TICKS_PER_S: f64 = 100.0;

fn request(url: &str, key: &str, body: &str) -> Request<bytes::Bytes> {
    Request::builder()
        .method(Method::POST)
        .uri(url)
        .header("authorization", format!("Bearer {key}"))
        .header("content-type", "application/json")
        .body(bytes::Bytes::from(body.to_owned()))
        .expect("a request")
}

/// Sends a request, reads the whole response and returns the time to its first body frame.
async fn time_to_first_frame(dir: &Workdir, request: Request<bytes::Bytes>) -> Duration {
    let started = Instant::now();
    let answer: Response<AnswerBody> = dir.client.send(request).await.expect("an answer");
    assert!(answer.status().is_success(), "{}", answer.status());
    let mut body = answer.into_body();
    body.frame().await.expect("a body").expect("a frame");
    let first = started.elapsed();
    body.collect().await.expect("the rest");
    first
}

/// The `share` quantile (0 to 1) of the times, in milliseconds.
fn quantile_ms(times: &mut [Duration], share: f64) -> f64 {
    times.sort_unstable();
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rank"
    )]
    let rank = ((times.len() - 1) as f64 * share) as usize;
    times[rank].as_secs_f64() * 1e3
}

#[test]
#[ignore = "a measurement, to be run alone"]
fn measure_cost() {
    let dir = Workdir::new("cost");
    let servers = [
        "--server",
        "engines:engine:z0:1",
        "--server",
        "desk:service:z0:1",
    ];
    let quick = ["--token-ms", "0", "--slots", "64"];
    let args: Vec<&str> = servers.into_iter().chain(quick).collect();
    let cluster = SmallCluster::start_with(&dir, &args);
    let list: basillead::wire::ServerList = dir.platform_get("servers");
    let engine = list.servers.iter().find(|server| server.pool == "engines");
    let direct = format!("http://{}/generate", engine.expect("an engine").address);
    let entry = format!("{}/v1/completions", dir.entry_url(0));
    let body = |tokens: usize| {
        format!(r#"{{"model":"stroke-1","prompt":"a b c","max_tokens":{tokens},"stream":true}}"#)
    };
    let direct_body =
        r#"{"id":"x","model":"stroke-1","prompt":"a b c","max_tokens":4,"priority":0,"resume":[]}"#;

    let (mut entry_times, mut direct_times) = (Vec::new(), Vec::new());
    let before = process_ticks(&cluster.entry);
    dir.runtime.block_on(async {
        for _ in 0..REQUESTS {
            direct_times.push(time_to_first_frame(&dir, request(&direct, "", direct_body)).await);
            entry_times
                .push(time_to_first_frame(&dir, request(&entry, &cluster.key, &body(4))).await);
        }
    });
    let cpu = (process_ticks(&cluster.entry) - before) / TICKS_PER_S;
    let (median, p99) = (
        quantile_ms(&mut entry_times, 0.5) - quantile_ms(&mut direct_times, 0.5),
        quantile_ms(&mut entry_times, 0.99) - quantile_ms(&mut direct_times, 0.99),
    );
    println!("added to the first token: median {median:.3} ms, p99 {p99:.3} ms");
    println!(
        "CPU a request: {:.3} ms",
        cpu * 1e3 / f64::from(u32::try_from(REQUESTS).expect("few"))
    );

    let before = process_ticks(&cluster.entry);
    let started = Instant::now();
    dir.runtime.block_on(async {
        let streams = (0..STREAMS)
            .map(|_| time_to_first_frame(&dir, request(&entry, &cluster.key, &body(TOKENS))));
        futures_util::future::join_all(streams).await;
    });
    let seconds = started.elapsed().as_secs_f64();
    let cpu = (process_ticks(&cluster.entry) - before) / TICKS_PER_S;
    let tokens = f64::from(u32::try_from(STREAMS * TOKENS).expect("few"));
    println!(
        "{:.0} tokens/s relayed; CPU a 1,000 tokens {:.2} ms: one core relays {:.0} tokens/s",
        tokens / seconds,
        cpu * 1e6 / tokens,
        tokens / cpu
    );
}

/// Streams kept open while memory is measured.
const OPEN_STREAMS: usize = 500;

#[test]
#[ignore = "a measurement, to be run alone"]
fn measure_memory() {
    let dir = Workdir::new("memory");
    let servers = [
        "--server",
        "engines:engine:z0:1",
        "--server",
        "desk:service:z0:1",
    ];
    let slow = ["--token-ms", "20", "--slots", "2000"];
    let args: Vec<&str> = servers.into_iter().chain(slow).collect();
    let cluster = SmallCluster::start_with(&dir, &args);
    let manifest = crate::workdir::MANIFEST
        .replace("base = 0", "base = 1")
        .replace("checks_fence = true", "checks_fence = true\nslots = 2000");
    dir.publish(&manifest);
    let entry = format!("{}/v1/completions", dir.entry_url(0));
    let body = r#"{"model":"stroke-1","prompt":"a b c","max_tokens":4000,"stream":true}"#;
    let before = resident_kb(&cluster.entry);
    dir.runtime.block_on(async {
        let open = (0..OPEN_STREAMS).map(|_| async {
            let sent = dir.client.send(request(&entry, &cluster.key, body)).await;
            let mut answer = sent.expect("an answer").into_body();
            answer.frame().await.expect("a body").expect("a frame");
            answer
        });
        let open = futures_util::future::join_all(open).await;
        let after = resident_kb(&cluster.entry);
        let each = (after - before) / f64::from(u32::try_from(OPEN_STREAMS).expect("few"));
        println!("{OPEN_STREAMS} open streams: {each:.1} KB each");
        drop(open);
    });
}
