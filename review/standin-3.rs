//! Stand-ins for the platform's store, its control interface and backend servers, a small HTTP
//! client, and the processes of the system. Only the standard library is used.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt::Write as _;
use std::io::{self, Read as _, Write as _};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// Ids of the processes that were started and not yet ended here.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes, and this one with status 2, which says that the case couldn't run.
pub fn abort() -> ! {
    for id in STARTED.lock().unwrap().iter() {
        // SAFETY: the process was started by this program and is not yet reaped.
        unsafe { kill(*id as i32, SIGKILL) };
    }
    std::process::exit(2)
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// What happened, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn note(&self, line: impl Into<String>) {
        let at = self.start.elapsed();
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        std::fs::write(path, text).expect("writing the record");
    }
}

// HTTP

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn id(&self) -> String {
        self.header("basillead-request-id")
            .unwrap_or_default()
            .to_owned()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with bytes that were read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn cut() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16384];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(cut());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                let line = String::from_utf8_lossy(&line).into_owned();
                return Ok(line.trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a message; one without a length has no body.
    pub fn read(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = usize::from_str_radix(&self.line()?, 16).map_err(|_| cut())?;
                let chunk = self.take(size)?;
                self.line()?;
                if size == 0 {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(size) = message.header("content-length") {
            let size = size.parse().map_err(|_| cut())?;
            message.body = self.take(size)?;
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "HTTP/1.1 {status} Answer\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves each connection on a thread of its own.
pub fn serve<F>(ip: IpAddr, handler: F) -> SocketAddr
where
    F: Fn(Wire) + Send + Sync + 'static,
{
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || handler(Wire::new(stream)));
        }
    });
    address
}

// Store

const RETAINED_SECONDS: u64 = 300;
/// Bytes that a partition holds before its oldest records expire, and bytes that are stored in all.
const PART_BYTES: usize = 200_000_000;
const STORE_BYTES: usize = 400_000_000;
/// Read calls a second that the store takes; more get 429.
const READS_PER_SECOND: usize = 2000;
/// Bytes a second that all reads share.
const READ_BYTES_PER_SECOND: u64 = 80_000_000;

#[derive(Default)]
struct Topic {
    /// Offset of the oldest record that is left.
    first: usize,
    /// All records; those before `first` are empty.
    records: Vec<Vec<u8>>,
    bytes: usize,
}

impl Topic {
    fn add(&mut self, record: Vec<u8>) {
        self.bytes += record.len();
        self.records.push(record);
        while self.bytes > PART_BYTES {
            self.trim(self.first + 1);
        }
    }

    /// Deletes the records before an offset.
    fn trim(&mut self, before: usize) {
        while self.first < before.min(self.records.len()) {
            self.bytes -= std::mem::take(&mut self.records[self.first]).len();
            self.first += 1;
        }
    }
}

#[derive(Default)]
pub struct StoreState {
    topics: HashMap<String, Topic>,
    /// Last sequence number and the last five responses, by producer and partition.
    producers: HashMap<String, (u64, VecDeque<(u64, String)>)>,
    /// Times of the read calls of the last second.
    reads: VecDeque<Instant>,
    /// When the responses to all reads so far will have been sent.
    sent: Option<Instant>,
    /// Read calls taken and refused, and bytes sent for them.
    pub counts: (usize, usize, u64),
}

/// The platform's store: a log, as PROTOCOL.md describes it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: IpAddr) -> Self {
        let state = Arc::new((Mutex::new(StoreState::default()), Condvar::new()));
        let shared = Arc::clone(&state);
        let address = serve(ip, move |mut wire| {
            while let Ok(request) = wire.read() {
                let bytes = store_answer(&shared, &request);
                if wire.write(&bytes).is_err() {
                    return;
                }
            }
        });
        Self { state, address }
    }

    /// Read calls taken and refused, and bytes sent for them.
    pub fn counts(&self) -> (usize, usize, u64) {
        self.state.0.lock().unwrap().counts
    }

    /// Writes a keyed record, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state
            .topics
            .entry(format!("{topic}/0"))
            .or_default()
            .add(record);
        changed.notify_all();
    }
}

fn store_answer(shared: &(Mutex<StoreState>, Condvar), request: &Message) -> Vec<u8> {
    let part = request.query("part").unwrap_or("0");
    let name = format!("{}/{part}", request.query("topic").unwrap_or_default());
    match request.path() {
        "/log-append" => append(shared, request, &name),
        "/log-read" => read(shared, request, &name),
        "/log-newest" => newest(shared, request, &name),
        "/log-trim" => {
            let body = request.text();
            let topic = json_text(&body, "topic").unwrap_or_default();
            let part = json_number(&body, "part").unwrap_or(0);
            let before = json_number(&body, "before").unwrap_or(0) as usize;
            let mut state = shared.0.lock().unwrap();
            let topic = state.topics.entry(format!("{topic}/{part}")).or_default();
            topic.trim(before);
            response(200, &[], b"{}")
        }
        _ => response(404, &[], b""),
    }
}

fn append(shared: &(Mutex<StoreState>, Condvar), request: &Message, name: &str) -> Vec<u8> {
    // The time that the platform states for an append.
    thread::sleep(ms(4));
    let number = |field| {
        request
            .query(field)
            .and_then(|text| text.parse::<u64>().ok())
    };
    let (state, changed) = shared;
    let mut state = state.lock().unwrap();
    let mut records = Vec::new();
    let mut rest = request.body.as_slice();
    while let Some((head, tail)) = rest.split_first_chunk::<4>() {
        let (record, tail) = tail.split_at(u32::from_be_bytes(*head) as usize);
        records.push(record.to_vec());
        rest = tail;
    }
    let producer = request
        .query("producer")
        .map(|producer| format!("{producer} {name}"));
    if let (Some(producer), Some(seq)) = (&producer, number("seq"))
        && let Some((last, answers)) = state.producers.get(producer)
    {
        if let Some((_, answer)) = answers.iter().find(|(known, _)| *known == seq) {
            return response(200, &[], answer.as_bytes());
        }
        if seq != last + 1 {
            let body = format!("{{\"why\":\"seq\",\"seq\":{}}}", last + 1);
            return response(409, &[], body.as_bytes());
        }
    }
    let stored: usize = state.topics.values().map(|topic| topic.bytes).sum();
    if stored + request.body.len() > STORE_BYTES {
        return response(507, &[], b"");
    }
    let topic = state.topics.entry(name.to_owned()).or_default();
    let offset = topic.records.len();
    for record in records {
        topic.add(record);
    }
    let answer = format!("{{\"offset\":{offset},\"end\":{}}}", topic.records.len());
    if let (Some(producer), Some(seq)) = (producer, number("seq")) {
        let known = state.producers.entry(producer).or_default();
        known.0 = seq;
        known.1.push_back((seq, answer.clone()));
        if known.1.len() > 5 {
            known.1.pop_front();
        }
    }
    changed.notify_all();
    response(200, &[], answer.as_bytes())
}

fn read(shared: &(Mutex<StoreState>, Condvar), request: &Message, name: &str) -> Vec<u8> {
    let number = |field| {
        request
            .query(field)
            .and_then(|text| text.parse::<u64>().ok())
    };
    let from = number("from").unwrap_or(0) as usize;
    let limit = number("maxKb").unwrap_or(1024) as usize * 1024;
    let deadline = Instant::now() + ms(number("waitMs").unwrap_or(0).min(30_000));
    let (state, changed) = shared;
    let mut state = state.lock().unwrap();
    if !state.takes_read() {
        return response(429, &[], b"");
    }
    loop {
        let topic = state.topics.entry(name.to_owned()).or_default();
        let (first, end) = (topic.first, topic.records.len());
        if from < first {
            return response(410, &[], format!("{{\"first\":{first}}}").as_bytes());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if from >= end && !left.is_zero() {
            state = changed.wait_timeout(state, left).unwrap().0;
            continue;
        }
        let mut body = Vec::new();
        body.extend_from_slice(&(end as u64).to_be_bytes());
        body.extend_from_slice(&(first as u64).to_be_bytes());
        for (at, record) in topic.records.iter().skip(from).enumerate() {
            if at > 0 && body.len() + record.len() > limit {
                break;
            }
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        let sent = state.reserve(body.len() as u64);
        drop(state);
        thread::sleep(sent.saturating_duration_since(Instant::now()));
        return response(200, &[], &body);
    }
}

impl StoreState {
    /// Counts a read call; returns whether the store takes it.
    fn takes_read(&mut self) -> bool {
        let now = Instant::now();
        while self
            .reads
            .front()
            .is_some_and(|at| now.duration_since(*at) >= ms(1000))
        {
            self.reads.pop_front();
        }
        if self.reads.len() >= READS_PER_SECOND {
            self.counts.1 += 1;
            return false;
        }
        self.reads.push_back(now);
        self.counts.0 += 1;
        true
    }

    /// Reserves the share of the reads' bandwidth; returns when the response has been sent.
    fn reserve(&mut self, bytes: u64) -> Instant {
        self.counts.2 += bytes;
        let now = Instant::now();
        let span = Duration::from_nanos(bytes * 1_000_000_000 / READ_BYTES_PER_SECOND);
        let sent = self.sent.map_or(now, |sent| sent.max(now)) + span;
        self.sent = Some(sent);
        sent
    }
}

fn newest(shared: &(Mutex<StoreState>, Condvar), request: &Message, name: &str) -> Vec<u8> {
    let after = request
        .query("after")
        .unwrap_or_default()
        .replace("%2D", "-");
    let mut state = shared.0.lock().unwrap();
    if !state.takes_read() {
        return response(429, &[], b"");
    }
    let topic = state.topics.entry(name.to_owned()).or_default();
    let mut rows: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
    for (offset, record) in topic.records.iter().enumerate().skip(topic.first) {
        let length = record[0] as usize;
        let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
        let value = record[length + 1..].to_vec();
        if value.is_empty() {
            rows.remove(&key);
        } else {
            rows.insert(key, (offset, value));
        }
    }
    let items: Vec<String> = rows
        .iter()
        .filter(|(key, _)| **key > after)
        .map(|(key, (offset, value))| {
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                base64(value)
            )
        })
        .collect();
    let body = format!(
        "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
        items.join(","),
        topic.records.len()
    );
    response(200, &[], body.as_bytes())
}

/// A call of a duty that the control interface got.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub at: Instant,
    pub path: String,
    pub body: String,
    pub holder: String,
    pub fence: u64,
}

/// The platform's control interface, which has no servers to add: it answers orders with 409.
#[derive(Clone)]
pub struct Cloud {
    calls: Arc<Mutex<Vec<DutyCall>>>,
    pub address: SocketAddr,
}

impl Cloud {
    pub fn start(ip: IpAddr) -> Self {
        let calls: Arc<Mutex<Vec<DutyCall>>> = Arc::default();
        let shared = Arc::clone(&calls);
        let address = serve(ip, move |mut wire| {
            while let Ok(request) = wire.read() {
                let text = |name| request.header(name).unwrap_or_default().to_owned();
                shared.lock().unwrap().push(DutyCall {
                    at: Instant::now(),
                    path: request.path().to_owned(),
                    body: request.text(),
                    holder: text("basillead-duty-holder"),
                    fence: text("basillead-fencing-token").parse().unwrap_or(0),
                });
                let status = if request.path() == "/scale" { 409 } else { 200 };
                if wire.write(&response(status, &[], b"{}")).is_err() {
                    return;
                }
            }
        });
        Self { calls, address }
    }

    pub fn calls(&self) -> Vec<DutyCall> {
        self.calls.lock().unwrap().clone()
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for at in 0..4 {
            if at <= chunk.len() {
                text.push(DIGITS[(number >> (18 - 6 * at)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Text of the first field with this name in JSON without escapes.
pub fn json_text(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

/// Number in the first field with this name in JSON.
pub fn json_number(json: &str, name: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

// Backend servers

/// Registers a server and writes its entry again at each heartbeat.
pub fn register(store: &Store, id: &str, address: SocketAddr, service: &str, extra: &'static str) {
    let (store, id, service) = (store.clone(), id.to_owned(), service.to_owned());
    let born = unix_ms();
    let write = move |seq: u64| {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z-a\",\
             \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{seq},\
             \"born\":{born}{extra}}}"
        );
        store.put("keyed.servers", &id, &entry);
    };
    write(1);
    thread::spawn(move || {
        for seq in 2.. {
            thread::sleep(ms(1200));
            write(seq);
        }
    });
}

/// Answers for a request that names another server, or none if it names this one.
pub fn misdirected(request: &Message, id: &str) -> Option<Vec<u8>> {
    let expected = request.header("basillead-expect-instance");
    expected
        .is_some_and(|expected| expected != id)
        .then(|| response(421, &[("Basillead-Request-Id", &request.id())], b""))
}

/// A signed answer of a server.
pub fn signed(status: u16, request: &Message, server: &str, body: &[u8]) -> Vec<u8> {
    let id = request.id();
    let stamp = format!("{server}.{id}");
    let headers = [
        ("Basillead-Request-Id", id.as_str()),
        ("Basillead-Server-Stamp", stamp.as_str()),
        ("Keep-Alive", "timeout=5"),
    ];
    response(status, &headers, body)
}

/// The answer of a server that is full: the request has not run.
pub fn full(request: &Message) -> Vec<u8> {
    let id = request.id();
    let headers = [
        ("Basillead-Request-Id", id.as_str()),
        ("Basillead-Not-Executed", "1"),
        ("Keep-Alive", "timeout=5"),
    ];
    response(503, &headers, b"")
}

/// Head of an event stream of a server.
pub fn stream_head(request: &Message, server: &str, version: u64) -> Vec<u8> {
    let id = request.id();
    format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Basillead-Request-Id: {id}\r\nBasillead-Server-Stamp: {server}.{id}\r\n\
         Basillead-Weight-Versions: {version}\r\nKeep-Alive: timeout=5\r\n\r\n"
    )
    .into_bytes()
}

pub fn chunk(data: &str) -> Vec<u8> {
    format!("{:x}\r\n{data}\r\n", data.len()).into_bytes()
}

/// Runs an item: writes events `first..=last`, one each `pause`; false if the caller has left.
pub fn write_events(wire: &mut Wire, first: u64, last: u64, pause: Duration) -> bool {
    for event in first..=last {
        thread::sleep(pause);
        if wire.is_closed() {
            return false;
        }
        let data = chunk(&format!("id: {event}\ndata: piece {event}\n\n"));
        if wire.write(&data).is_err() {
            return false;
        }
    }
    wire.write(b"0\r\n\r\n").is_ok()
}

/// Weights and orders of a model server.
#[derive(Clone)]
pub struct Engine {
    version: Arc<AtomicU64>,
    orders: Arc<AtomicU64>,
    busy: Arc<AtomicBool>,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            version: Arc::new(AtomicU64::new(1)),
            orders: Arc::default(),
            busy: Arc::default(),
        }
    }

    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Answers a report or an order; none for other requests.
    pub fn control(&self, request: &Message) -> Option<Vec<u8>> {
        match request.path() {
            "/report" => {
                let body = format!(
                    "{{\"stage\":\"dual\",\"models\":[{{\"name\":\"m0\",\"version\":{},\
                     \"adapters\":[]}}],\"busy\":{},\"seq\":{},\"waiting\":0,\"running\":0,\
                     \"kvUsed\":0,\"kvTotal\":75847,\"handles\":0}}",
                    self.version(),
                    self.busy.load(Ordering::SeqCst),
                    self.orders.load(Ordering::SeqCst)
                );
                Some(response(200, &[], body.as_bytes()))
            }
            "/order" => {
                let body = request.text();
                let version = json_number(&body, "version").unwrap_or(0);
                let expected = json_number(&body, "expected");
                let orders = self.orders.load(Ordering::SeqCst);
                if self.busy.load(Ordering::SeqCst) || expected.is_some_and(|seq| seq != orders) {
                    return Some(response(409, &[], b""));
                }
                if version == self.version() {
                    return Some(response(200, &[], b""));
                }
                self.orders.fetch_add(1, Ordering::SeqCst);
                self.busy.store(true, Ordering::SeqCst);
                let engine = self.clone();
                thread::spawn(move || {
                    thread::sleep(ms(900));
                    engine.version.store(version, Ordering::SeqCst);
                    engine.busy.store(false, Ordering::SeqCst);
                });
                Some(response(202, &[], b""))
            }
            _ => None,
        }
    }
}

// Clients

/// Sends a request on a connection and reads the answer.
pub fn exchange(
    wire: &mut Wire,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<Message> {
    let mut head = format!("{method} {target} HTTP/1.1\r\nHost: desk.example\r\n");
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    wire.write(&bytes)?;
    wire.read()
}

pub fn connect(address: SocketAddr) -> io::Result<Wire> {
    let stream = TcpStream::connect_timeout(&address, ms(1000))?;
    stream.set_read_timeout(Some(ms(15_000)))?;
    Ok(Wire::new(stream))
}

pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";

/// Sends a request of a client with the key on a new connection.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    id: &str,
    body: &[u8],
) -> io::Result<Message> {
    let bearer = format!("Bearer {KEY}");
    let mut headers = vec![("Authorization", bearer.as_str()), ("Connection", "close")];
    if !id.is_empty() {
        headers.push(("Basillead-Request-Id", id));
    }
    if method == "POST" {
        headers.push(("Basillead-Deadline-Ms", "12000"));
    }
    exchange(&mut connect(address)?, method, target, &headers, body)
}

// Links

/// First time after which TCP sends unacknowledged bytes again; each further time is twice as long.
const RETRANSMIT_TIME: Duration = Duration::from_millis(200);

#[derive(Default)]
struct LinkState {
    is_cut: bool,
    /// When the last cut ended.
    healed: Option<Instant>,
}

/// A machine's link to one address of the platform, which can be cut.
///
/// Bytes that are sent on an open connection during a cut are held up. They arrive when TCP sends
/// them again after the cut, also if the sender has closed the connection by then; they are lost if
/// it has reset the connection. A connection opened during a cut never gets through.
#[derive(Clone)]
pub struct Link {
    state: Arc<Mutex<LinkState>>,
    pub address: SocketAddr,
}

impl Link {
    pub fn start(ip: IpAddr, to: SocketAddr) -> Self {
        let state: Arc<Mutex<LinkState>> = Arc::default();
        let shared = Arc::clone(&state);
        let address = serve(ip, move |wire| {
            if shared.lock().unwrap().is_cut {
                while shared.lock().unwrap().is_cut {
                    thread::sleep(ms(5));
                }
                return;
            }
            let Ok(upstream) = TcpStream::connect(to) else {
                return;
            };
            let _ = upstream.set_nodelay(true);
            let (Ok(back), Ok(down)) = (upstream.try_clone(), wire.stream.try_clone()) else {
                return;
            };
            let state = Arc::clone(&shared);
            thread::spawn(move || pump(back, down, &state));
            pump(wire.stream, upstream, &shared);
        });
        Self { state, address }
    }

    pub fn cut(&self) {
        self.state.lock().unwrap().is_cut = true;
    }

    pub fn heal(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_cut = false;
        state.healed = Some(Instant::now());
    }
}

/// When TCP first sends bytes again after `healed` that were first sent at `sent`.
fn retransmission(sent: Instant, healed: Instant) -> Instant {
    let mut wait = RETRANSMIT_TIME;
    let mut at = sent + wait;
    while at < healed {
        wait *= 2;
        at += wait;
    }
    at
}

/// Passes bytes on in one direction.
fn pump(mut from: TcpStream, mut to: TcpStream, state: &Mutex<LinkState>) {
    let _ = from.set_read_timeout(Some(ms(5)));
    let mut held: Vec<u8> = Vec::new();
    let mut first_sent = None;
    let mut is_closed = false;
    loop {
        let mut bytes = [0; 16384];
        match (!is_closed).then(|| from.read(&mut bytes)) {
            None => thread::sleep(ms(5)),
            Some(Ok(0)) => is_closed = true,
            Some(Ok(count)) => {
                held.extend_from_slice(&bytes[..count]);
                if state.lock().unwrap().is_cut {
                    first_sent.get_or_insert_with(Instant::now);
                }
            }
            Some(Err(error)) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {}
                // A reset, after which held bytes are lost.
                _ => {
                    let _ = to.shutdown(std::net::Shutdown::Both);
                    return;
                }
            },
        }
        let (is_cut, healed) = {
            let state = state.lock().unwrap();
            (state.is_cut, state.healed)
        };
        if is_cut {
            continue;
        }
        if let (Some(sent), Some(healed)) = (first_sent, healed) {
            if Instant::now() < retransmission(sent, healed) {
                continue;
            }
            first_sent = None;
        }
        if !held.is_empty() && to.write_all(&std::mem::take(&mut held)).is_err() {
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
        if is_closed {
            let _ = to.shutdown(std::net::Shutdown::Write);
            return;
        }
    }
}

// The system

/// A process of the system, which is killed when this is dropped.
pub struct Instance {
    pub name: String,
    child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
    log: PathBuf,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.end();
    }
}

impl Instance {
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this program and is not yet reaped.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Memory that the process has at present, in KB.
    pub fn memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Kills the process.
    pub fn end(&mut self) {
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn is_ready(&self) -> bool {
        let answer = connect(self.ready)
            .and_then(|mut wire| exchange(&mut wire, "GET", "/readiness", &[], b""));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

/// A small deployment: a store, a control interface and a folder for settings and logs.
pub struct Deployment {
    dir: PathBuf,
    /// First two octets of the addresses, which are all loopback addresses.
    net: [u8; 2],
    pub store: Store,
    pub cloud: Cloud,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Deployment {
    /// Starts the platform with a configuration: its routes and its services, in JSON.
    pub fn start(routes: &str, services: &str) -> Self {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("basillead-review-3-{pid}"));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let net = [(pid >> 8) as u8 | 1, pid as u8];
        let ip = IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], 1));
        let store = Store::start(ip);
        let config = format!(
            "{{\"version\":4,\"routes\":[{routes}],\"services\":[{services}],\
             \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":33554432,\
             \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
             \"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"]}}]}}"
        );
        store.put("keyed.op", "config", &config);
        let cloud = Cloud::start(ip);
        Self {
            dir,
            net,
            store,
            cloud,
        }
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.net[0], self.net[1], last))
    }

    /// Starts a process with the command of the deploy file.
    pub fn instance(&self, number: u8) -> Instance {
        self.instance_at(number, self.store.address, self.cloud.address)
    }

    /// Like [`Self::instance`], with other addresses of the store and the control interface.
    pub fn instance_at(&self, number: u8, store: SocketAddr, cloud: SocketAddr) -> Instance {
        let ip = self.ip(10 + number);
        let port = || {
            let listener = TcpListener::bind((ip, 0)).expect("a free port");
            listener.local_addr().expect("an address")
        };
        let (front, ready, directory) = (port(), port(), port());
        let name = format!("edge-z-a-{number}");
        let settings = format!(
            "{{\"nodeName\":\"{name}\",\"role\":\"instance\",\"machineClass\":\"edge\",\
             \"serves\":[\"edge\",\"registry\"],\"ip\":\"{ip}\",\"zone\":\"z-a\",\"region\":\"z\",\
             \"zones\":{{\"z-a\":\"z\"}},\"listen\":{{\"front\":\"{front}\",\"ready\":\"{ready}\",\
             \"directory\":\"{directory}\"}},\"seeds\":[],\"bootstrap\":true,\
             \"limits\":{{\"cpuShare\":0.5,\"cores\":1,\"memoryMb\":290,\"maxFds\":8200,\
             \"linkMbps\":1000.0,\"diskMb\":0}},\"dataDir\":null,\"discovery\":\"platform\",\
             \"entry\":\"registry\",\"heartbeatMs\":1200,\
             \"bounds\":{{\"contactMs\":3000,\"ackMs\":4000,\"drainMs\":2000,\"graceS\":8,\
             \"lossSlackMs\":200,\"configApplyMs\":2000,\"strictRevoke\":true,\"revokeMs\":5000,\
             \"requireFencing\":false,\"leaseMs\":3000,\"thawMs\":300,\"reportWindowS\":5,\
             \"usageOff\":0.05,\"usageLateS\":10,\"finishS\":10,\"statusS\":120,\
             \"cancelMs\":3000,\"settleMs\":1000,\"ttl_max_s\":5}},\
             \"platform\":{{\"address\":\"{store}\",\"form\":\"log\",\"writesPerS\":800,\
             \"readsPerS\":2000,\"parts\":8,\"appendMs\":4.0,\"recordBytes\":262144,\
             \"callBytes\":2097152,\"retentionS\":{RETAINED_SECONDS},\"partMb\":200}},\
             \"cloud\":{{\"address\":\"{cloud}\",\"duties\":[\"metering\",\"autoscale\"],\
             \"dutyPerS\":50.0}}}}",
        );
        let path = self.dir.join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("writing the settings");
        let log = self.dir.join(format!("{name}.log"));
        let output = std::fs::File::create(&log).expect("a log");
        let child = Command::new("target/release/basillead-platform")
            .args(["--metrics", "7360"])
            .env("BASILLEAD_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("starting target/release/basillead-platform");
        STARTED.lock().unwrap().push(child.id());
        Instance {
            name,
            child,
            front,
            ready,
            log,
        }
    }

    /// Starts processes and waits until all are ready.
    pub fn instances(&self, count: u8) -> Vec<Instance> {
        let started: Vec<Instance> = (1..=count).map(|number| self.instance(number)).collect();
        for instance in &started {
            eventually("an instance is ready", || instance.is_ready());
        }
        started
    }
}

/// Waits until a condition holds; the case can't run if it doesn't within 15 s.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + ms(15_000);
    while !holds() {
        assert!(Instant::now() < deadline, "not within 15 s: {what}");
        thread::sleep(ms(20));
    }
}
