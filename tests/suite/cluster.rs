//! Entries and control daemons whose usage reports are checked against the engines' token counts.

use std::process::Command;
use std::time::Duration;

use basillead::wire::{LogPage, UsageReport, UsageUncertain, UsageUnit};
use http::{Method, StatusCode};

use crate::workdir::{MANIFEST, Process, Workdir, show, wait_until, wait_within};

/// Server arguments of the stand-in platform.
pub const SERVERS: [&str; 4] = [
    "--server",
    "engines:engine:z0:2",
    "--server",
    "desk:service:z0:1",
];
/// Timeout of a lease takeover after the holder has ended, including the successor's reports.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(30);

/// Entries and control daemons of one stand-in platform, with usage windows of two seconds.
pub struct Cluster<'d> {
    dir: &'d Workdir,
    _platform: Process,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    key: String,
}

impl<'d> Cluster<'d> {
    /// Starts `count` instances whose control daemons have `failpoints` set.
    pub fn start(dir: &'d Workdir, count: usize, failpoints: &str) -> Self {
        let platform = dir.platform(count, 1, &SERVERS);
        let start = |n| control(dir, n, failpoints);
        let controls = (0..count).map(start).collect();
        let entries = (0..count).map(|n| entry(dir, n, "")).collect();
        dir.publish(&format!("{MANIFEST}\n[usage]\nwindow_s = 2\n"));
        let key = dir.grant("desk");
        let cluster = Self {
            dir,
            _platform: platform,
            controls,
            entries,
            key,
        };
        for n in 0..count {
            wait_until("an entry completes a request", || cluster.complete(n, 1));
        }
        cluster
    }

    /// Requests a completion of `tokens` tokens from entry `n`; returns whether it succeeded.
    pub fn complete(&self, n: usize, tokens: u32) -> bool {
        let url = format!("{}/v1/completions", self.dir.entry_url(n));
        let body = format!(r#"{{"model":"stroke-1","prompt":"a b c","max_tokens":{tokens}}}"#);
        let answer = self
            .dir
            .call(Method::POST, &url, Some(&self.key), &[], &body);
        answer.is_some_and(|answer| answer.status() == StatusCode::OK)
    }

    /// Requests completions from every entry for about `windows` usage windows.
    pub fn load(&self, windows: u32) {
        for _ in 0..windows * 4 {
            for n in 0..self.entries.len() {
                wait_until("a completion", || self.complete(n, 10));
            }
            std::thread::sleep(Duration::from_millis(400));
        }
    }

    /// Number of tokens that the engines generated.
    pub fn generated(&self) -> u64 {
        self.dir.platform_get("generated")
    }

    /// Reports that the usage interface received, in order.
    pub fn reports(&self) -> Vec<UsageReport> {
        self.dir.platform_get("usage")
    }

    /// Generated tokens summed over the reports, counting repeated reports once.
    pub fn reported(&self) -> u64 {
        let mut reports = self.reports();
        reports.dedup_by_key(|report| report.window);
        let lines = reports.iter().flat_map(|report| &report.lines);
        let generated = lines.filter(|line| line.unit == UsageUnit::TokensOut);
        generated.map(|line| line.amount + line.late).sum()
    }

    /// Waits until every token is reported, then checks the reports.
    pub fn expect_all_reported(&self) {
        let generated = self.generated();
        assert!(generated > 0);
        let all_reported = || self.reported() == generated;
        wait_within("all tokens reported", TAKEOVER_TIMEOUT, all_reported);
        self.check_reports();
    }

    /// Checks that windows are in order with one value each, and that a replay of the log yields
    /// the same bytes.
    pub fn check_reports(&self) {
        let reports = self.reports();
        let url = format!("{}/usage", self.dir.platform_url());
        let raw = self.dir.get(&url).expect("the platform answers");
        let mut canonical = Vec::new();
        for report in &reports {
            canonical.push(serde_json::to_string(report).expect("JSON"));
        }
        let list = format!("[{}]", canonical.join(","));
        assert_eq!(
            raw.body(),
            list.as_bytes(),
            "the reports are not in canonical JSON"
        );
        let replayed = self.replay();
        for pair in reports.windows(2) {
            assert!(
                pair[0].window <= pair[1].window,
                "windows out of order: {pair:?}"
            );
        }
        for (report, text) in reports.iter().zip(&canonical) {
            let suffix = format!("\"window\":{}}}", report.window);
            let same = replayed.iter().filter(|line| line.ends_with(&suffix));
            let same: Vec<&String> = same.collect();
            assert_eq!(same, [text], "replay of window {}", report.window);
        }
    }

    /// Reports that a replay of the log yields, as JSON lines.
    pub fn replay(&self) -> Vec<String> {
        let log = format!("{}/log", self.dir.platform_url());
        let output = Command::new(env!("CARGO_BIN_EXE_basillead"))
            .args(["replay", "--json", "--log", &log])
            .output()
            .expect("the command-line tool runs");
        assert!(output.status.success(), "{}", show(&output));
        let text = String::from_utf8(output.stdout).expect("UTF-8");
        text.lines().map(str::to_owned).collect()
    }

    /// Requests in flight in the last record of an incarnation that then fell silent.
    pub fn uncertain(&self) -> Vec<UsageUncertain> {
        let page: LogPage = self.dir.platform_get("log/usage");
        let mut reader = basillead::log::UsageReader::default();
        reader.apply_page(&page);
        reader.fold().status(u64::MAX).uncertain
    }

    /// Replaces the faults of an interface, for one instance or for all.
    pub fn set_faults(&self, interface: &str, instance: Option<&str>, faults: &serde_json::Value) {
        let set = serde_json::json!({
            "interface": interface, "instance": instance, "faults": faults,
        });
        self.dir.platform_post("fault", &set);
    }

    /// Number of the instance that sent the last report.
    pub fn reporter(&self) -> Option<usize> {
        self.reporters().last().copied()
    }

    /// Numbers of the instances that sent reports, in order.
    pub fn reporters(&self) -> Vec<usize> {
        let names: Vec<String> = self.dir.platform_get("reporters");
        let number = |name: &String| name[1..].parse().expect("an instance's number");
        names.iter().map(number).collect()
    }
}

/// Starts a daemon of instance `n` with `failpoints`.
fn daemon(dir: &Workdir, program: &str, name: &str, n: usize, failpoints: &str) -> Process {
    let settings = dir.settings(n, 1);
    let args = ["--settings", settings.to_str().expect("a UTF-8 path")];
    dir.spawn_with(program, &args, name, &[("FAILPOINTS", failpoints)])
}

/// Starts the control daemon of instance `n` with `failpoints`.
pub fn control(dir: &Workdir, n: usize, failpoints: &str) -> Process {
    let program = env!("CARGO_BIN_EXE_basillead-control");
    let process = daemon(dir, program, &format!("control{n}"), n, failpoints);
    dir.wait_http(&format!("{}/healthz", dir.control_url(n)));
    process
}

/// Starts the entry of instance `n` with `failpoints`.
pub fn entry(dir: &Workdir, n: usize, failpoints: &str) -> Process {
    let program = env!("CARGO_BIN_EXE_basillead-entry");
    let process = daemon(dir, program, &format!("entry{n}"), n, failpoints);
    dir.wait_http(&format!("{}/healthz", dir.entry_url(n)));
    process
}
