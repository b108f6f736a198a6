//! Runs the real programs in a scratch directory, on a loopback address per test.

use std::io::Read as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use basillead::http::Client;
use bytes::Bytes;
use http::{Method, Request, Response};
use serde::de::DeserializeOwned;
use tempfile::TempDir;

/// Timeout of waits and calls, unless a test sets its own.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Operator's key of every test instance.
pub const OPERATOR_KEY: &str = "operator-secret";
/// Peers' secret of every test instance.
pub const PEER_SECRET: &str = "peer-secret";

const PLATFORM_PORT: u16 = 9_000;
const ENTRY_PORT: u16 = 7_000;
const CONTROL_PORT: u16 = 7_200;
const ENTRY_PEER_PORT: u16 = 7_400;
const CONTROL_PEER_PORT: u16 = 7_600;

/// A manifest with one engine pool, one service pool and two tenants.
pub const MANIFEST: &str = r#"
base = 0
[limits]
address_ms = 1000
[[tenants]]
name = "desk"
weight = 2
[[tenants]]
name = "stroke"
[[pools]]
name = "engines"
kind = "engine"
checks_fence = true
[[pools]]
name = "desk"
kind = "service"
[[models]]
name = "stroke-1"
pool = "engines"
version = 1
[[routes]]
path = "/orders"
pool = "desk"
[[routes]]
path = "/look"
pool = "desk"
repeatable = true
[[routes]]
path = "/open"
pool = "desk"
open = true
repeatable = true
"#;

/// A child process that is killed when it is dropped.
#[derive(Debug)]
pub struct Process(pub Child);

impl Process {
    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        let done = Command::new("kill")
            .args([&format!("-{name}"), &pid])
            .status();
        assert!(
            done.is_ok_and(|status| status.success()),
            "kill -{name} {pid} failed"
        );
    }

    /// Waits until the process exits; panics after `limit`.
    pub fn wait(&mut self, limit: Duration) -> std::process::ExitStatus {
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.0.try_wait().expect("the process can be waited for") {
                return status;
            }
            assert!(
                Instant::now() < until,
                "the process did not exit within {limit:?}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A scratch directory and a loopback address that no other test uses.
#[derive(Debug)]
pub struct Workdir {
    dir: TempDir,
    ip: IpAddr,
    pub client: Client,
    pub runtime: tokio::runtime::Runtime,
}

/// Number of directories that this process has created.
static COUNT: AtomicU16 = AtomicU16::new(0);

impl Workdir {
    /// Creates a directory whose path contains `name`.
    pub fn new(name: &str) -> Self {
        let dir = tempfile::Builder::new().prefix(name).tempdir();
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        // Derives the address from the process id and the count of directories, so that
        // neither concurrent test processes nor the tests of one process share addresses.
        let [_, a, b, c] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 64 + (a & 0x3f), b, c)
            .to_bits()
            .wrapping_add(u32::from(count) << 16);
        let ip = Ipv4Addr::from_bits(ip);
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        Self {
            dir: dir.expect("a scratch directory"),
            ip: IpAddr::V4(Ipv4Addr::new(
                127,
                ip.octets()[1],
                ip.octets()[2],
                ip.octets()[3],
            )),
            client: Client::new(),
            runtime: runtime.expect("a runtime"),
        }
    }

    /// Path of a file in the directory.
    pub fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Writes a file in the directory and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a file in the scratch directory");
        path
    }

    fn address(&self, port: u16, n: usize) -> SocketAddr {
        SocketAddr::new(self.ip, port + u16::try_from(n).expect("a small number"))
    }

    /// Base URL of the stand-in platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.address(PLATFORM_PORT, 0))
    }

    /// Base URL of the entry of instance `n`.
    pub fn entry_url(&self, n: usize) -> String {
        format!("http://{}", self.address(ENTRY_PORT, n))
    }

    /// Base URL of the control daemon of instance `n`.
    pub fn control_url(&self, n: usize) -> String {
        format!("http://{}", self.address(CONTROL_PORT, n))
    }

    /// The instance list for `count` instances, spread over `zones` zones.
    pub fn instances(&self, count: usize, zones: usize) -> serde_json::Value {
        let instance = |n: usize| {
            serde_json::json!({
                "id": format!("i{n}"), "region": "r", "zone": zone(n, zones),
                "entry": self.address(ENTRY_PORT, n).to_string(),
                "control": self.address(CONTROL_PORT, n).to_string(),
                "entry_peer": self.address(ENTRY_PEER_PORT, n).to_string(),
                "control_peer": self.address(CONTROL_PEER_PORT, n).to_string(),
                "state": "live",
            })
        };
        (0..count).map(instance).collect()
    }

    /// Writes the settings file of instance `n`, in one of `zones` zones, and returns its path.
    pub fn settings(&self, n: usize, zones: usize) -> PathBuf {
        self.write("operator.key", OPERATOR_KEY);
        self.write("peer.key", PEER_SECRET);
        let platform = format!("{}/from/i{n}", self.platform_url());
        let text = format!(
            r#"
instance = "i{n}"
region = "r"
zone = "{zone}"
[entry]
http = "{entry}"
peer = "{entry_peer}"
[control]
http = "{control}"
peer = "{control_peer}"
[platform]
log = "{platform}/log"
instances = "{platform}/instances"
servers = "{platform}/servers"
usage = "{platform}/usage"
weights = "{platform}/weights"
[secrets]
peer = "peer.key"
operator = "operator.key"
[log]
format = "text"
level = "info"
"#,
            zone = zone(n, zones),
            entry = self.address(ENTRY_PORT, n),
            entry_peer = self.address(ENTRY_PEER_PORT, n),
            control = self.address(CONTROL_PORT, n),
            control_peer = self.address(CONTROL_PEER_PORT, n),
        );
        self.write(&format!("i{n}.toml"), &text)
    }

    /// Starts a program whose standard error is appended to `NAME.log`.
    pub fn spawn(&self, program: &str, args: &[&str], name: &str) -> Process {
        self.spawn_with(program, args, name, &[])
    }

    /// Like [`Workdir::spawn`], with additional environment variables.
    pub fn spawn_with(
        &self,
        program: &str,
        args: &[&str],
        name: &str,
        env: &[(&str, &str)],
    ) -> Process {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.path(&format!("{name}.log")))
            .expect("a log file");
        let child = Command::new(program)
            .args(args)
            .envs(env.iter().copied())
            .current_dir(self.dir.path())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        Process(child.expect("the program starts"))
    }

    /// Starts the stand-in platform and its backend servers with additional arguments.
    pub fn platform(&self, instances: usize, zones: usize, args: &[&str]) -> Process {
        let list = self.instances(instances, zones).to_string();
        let list = self.write("instances.json", &list);
        let listen = self.address(PLATFORM_PORT, 0).to_string();
        let mut all = vec!["platform", "--listen", &listen, "--instances"];
        all.push(list.to_str().expect("a UTF-8 path"));
        all.extend_from_slice(args);
        let process = self.spawn(env!("CARGO_BIN_EXE_basillead-standin"), &all, "platform");
        self.wait_http(&format!("{}/servers", self.platform_url()));
        process
    }

    /// Starts the entry of instance `n`.
    pub fn entry(&self, n: usize, zones: usize) -> Process {
        let settings = self.settings(n, zones);
        let args = ["--settings", settings.to_str().expect("a UTF-8 path")];
        let program = env!("CARGO_BIN_EXE_basillead-entry");
        let process = self.spawn(program, &args, &format!("entry{n}"));
        self.wait_http(&format!("{}/healthz", self.entry_url(n)));
        process
    }

    /// Starts the control daemon of instance `n`.
    pub fn control(&self, n: usize, zones: usize) -> Process {
        self.control_with(n, zones, &[])
    }

    /// Like [`Workdir::control`], with additional environment variables.
    pub fn control_with(&self, n: usize, zones: usize, env: &[(&str, &str)]) -> Process {
        let settings = self.settings(n, zones);
        let args = ["--settings", settings.to_str().expect("a UTF-8 path")];
        let program = env!("CARGO_BIN_EXE_basillead-control");
        let process = self.spawn_with(program, &args, &format!("control{n}"), env);
        self.wait_http(&format!("{}/healthz", self.control_url(n)));
        process
    }

    /// Waits until a GET request to `url` succeeds.
    pub fn wait_http(&self, url: &str) {
        wait_until(url, || {
            self.get(url)
                .is_some_and(|answer| answer.status().is_success())
        });
    }

    /// Runs the command-line tool against control daemon 0.
    pub fn basillead(&self, args: &[&str]) -> Output {
        let control = self.control_url(0);
        let mut all = args.to_vec();
        all.extend_from_slice(&["--control", &control, "--key-file", "operator.key"]);
        self.local(&all)
    }

    /// Runs the command-line tool without a control daemon.
    pub fn local(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_basillead"));
        command.args(args).current_dir(self.dir.path());
        command.output().expect("the command-line tool runs")
    }

    /// Starts the command-line tool against control daemon 0.
    pub fn spawn_basillead(&self, args: &[&str]) -> Process {
        self.spawn_basillead_at(0, args)
    }

    /// Starts the command-line tool against control daemon `n`.
    pub fn spawn_basillead_at(&self, n: usize, args: &[&str]) -> Process {
        let control = self.control_url(n);
        let mut all = args.to_vec();
        all.extend(["--control", &control, "--key-file", "operator.key"]);
        self.spawn(env!("CARGO_BIN_EXE_basillead"), &all, "basillead")
    }

    /// Publishes a manifest; panics if the manifest is not accepted.
    pub fn publish(&self, manifest: &str) -> Output {
        self.write("manifest.toml", manifest);
        let output = self.basillead(&["publish", "manifest.toml"]);
        assert!(output.status.success(), "publish: {}", show(&output));
        output
    }

    /// Revision in force at control daemon 1 or, if that does not answer, control daemon 0.
    pub fn revision(&self) -> u64 {
        let status = |n| {
            let url = format!("{}/operator/status", self.control_url(n));
            let answer = self.call(Method::GET, &url, Some(OPERATOR_KEY), &[], "")?;
            serde_json::from_slice::<basillead::wire::Status>(answer.body()).ok()
        };
        let status = status(1).or_else(|| status(0));
        status.expect("a status").revision
    }

    /// Grants a key to a tenant and returns the key.
    pub fn grant(&self, tenant: &str) -> String {
        let output = self.basillead(&["key", "grant", "--tenant", tenant]);
        let text = show(&output);
        let key = text.lines().find_map(|line| line.strip_prefix("key: "));
        key.unwrap_or_else(|| panic!("no key in the output: {text}"))
            .to_owned()
    }

    /// Sends a GET request; returns `None` without a complete response.
    pub fn get(&self, url: &str) -> Option<Response<Bytes>> {
        self.call(Method::GET, url, None, &[], "")
    }

    /// Sends a request and reads the whole response; returns `None` if it is not complete.
    pub fn call(
        &self,
        method: Method,
        url: &str,
        key: Option<&str>,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Option<Response<Bytes>> {
        let mut request = Request::builder().method(method).uri(url);
        if let Some(key) = key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Bytes::from(body.to_owned()))
            .expect("a request");
        self.runtime
            .block_on(self.client.fetch(request, WAIT_TIMEOUT))
            .ok()
    }

    /// Posts JSON to a control page of the stand-in platform.
    pub fn platform_post(&self, page: &str, body: &serde_json::Value) {
        let url = format!("{}/{page}", self.platform_url());
        let answer = self.call(Method::POST, &url, None, &[], &body.to_string());
        assert!(
            answer.is_some_and(|answer| answer.status().is_success()),
            "POST {url} failed"
        );
    }

    /// Takes an interface of the stand-in platform down or up, for one instance or for all.
    pub fn fault(&self, interface: &str, instance: Option<&str>, down: bool) {
        let faults = serde_json::json!({"down": down});
        let fault = serde_json::json!({
            "interface": interface, "instance": instance, "faults": faults,
        });
        self.platform_post("fault", &fault);
    }

    /// Reads JSON from a control page of the stand-in platform.
    pub fn platform_get<T: DeserializeOwned>(&self, page: &str) -> T {
        let url = format!("{}/{page}", self.platform_url());
        let answer = self.get(&url).expect("the platform answers");
        serde_json::from_slice(answer.body()).expect("the platform's JSON")
    }

    /// Contents of `NAME.log`; empty if there is no such file.
    pub fn log(&self, name: &str) -> String {
        let mut text = String::new();
        let file = std::fs::File::open(self.path(&format!("{name}.log")));
        let _ = file.map(|mut file| file.read_to_string(&mut text));
        text
    }
}

/// Zone of instance `n`.
fn zone(n: usize, zones: usize) -> String {
    format!("z{}", n % zones)
}

/// Standard output and standard error of a program as text.
pub fn show(output: &Output) -> String {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("{out}{err}")
}

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    wait_within(what, WAIT_TIMEOUT, &mut condition);
}

/// Waits until a condition holds; panics after `limit`.
pub fn wait_within(what: &str, limit: Duration, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + limit;
    while !condition() {
        assert!(Instant::now() < until, "not within {limit:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A stand-in platform, one control daemon and one entry, with the test manifest in force.
#[derive(Debug)]
pub struct SmallCluster {
    _platform: Process,
    pub control: Process,
    pub entry: Process,
    /// Valid key of the tenant `desk`.
    pub key: String,
}

/// Server arguments of [`SmallCluster`]: one engine and one plain server.
pub const SMALL_SERVERS: [&str; 4] = [
    "--server",
    "engines:engine:z0:1",
    "--server",
    "desk:service:z0:1",
];

impl SmallCluster {
    /// Starts the processes and waits until the key is accepted.
    pub fn start(dir: &Workdir) -> Self {
        Self::start_with(dir, &SMALL_SERVERS)
    }

    /// Like [`SmallCluster::start`], with other arguments for the stand-in platform.
    pub fn start_with(dir: &Workdir, servers: &[&str]) -> Self {
        let platform = dir.platform(1, 1, servers);
        let control = dir.control(0, 1);
        let entry = dir.entry(0, 1);
        dir.publish(MANIFEST);
        let key = dir.grant("desk");
        let url = format!("{}/look", dir.entry_url(0));
        wait_until("the key is accepted", || {
            let answer = dir.call(Method::GET, &url, Some(&key), &[], "");
            answer.is_some_and(|answer| answer.status() == http::StatusCode::OK)
        });
        Self {
            _platform: platform,
            control,
            entry,
            key,
        }
    }
}

/// CPU time of a process in clock ticks, in user and system mode.
pub fn process_ticks(process: &Process) -> f64 {
    let path = format!("/proc/{}/stat", process.0.id());
    let stat = std::fs::read_to_string(path).expect("the process runs");
    let (_, fields) = stat.rsplit_once(')').expect("a name in brackets");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    // `utime` and `stime` of proc(5), counted from the field that follows the name.
    let ticks = |n: usize| fields[n].parse::<f64>().expect("ticks");
    ticks(11) + ticks(12)
}

/// Resident memory of a process in KB.
pub fn resident_kb(process: &Process) -> f64 {
    let path = format!("/proc/{}/status", process.0.id());
    let status = std::fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.expect("VmRSS").parse().expect("a number")
}
