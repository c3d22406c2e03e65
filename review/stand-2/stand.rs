//! Stand-ins and process control for the cases of the second review. It uses only the standard
//! library, so that `rustc` alone builds it.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio, exit},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub mod desk;
pub mod engine;
pub mod sha256;

/// The program of the deploy file.
const PROGRAM: &str = "target/deploy/gypsum-platform";
/// A script ends by itself after so long, whatever happens.
const TIME_LIMIT: Duration = Duration::from_secs(115);
/// The longest head or body that a stand-in reads, in bytes.
const MAX_BYTES: usize = 8 * 1024 * 1024;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
pub const HOST: &str = "review.example";
pub const ENGINES: &str = "engines";
pub const DESK: &str = "desk";
pub const ORIGIN: &str = "origin";
pub const MODEL: &str = "model-one";
pub const LAYERS: u64 = 16;
pub const CHUNKS: usize = 48;
pub const CHUNK_BYTES: usize = 49_152;

const CONTROL_PORT: u16 = 8000;
const READY_PORT: u16 = 8002;
const FRONT_PORT: u16 = 8005;
pub const APP_PORT: u16 = 8080;
const INNER_PORT: u16 = 7700;

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// What was sent, answered and run, in the order in which it was seen.
pub struct Record {
    file: Mutex<File>,
    begun: Instant,
}

impl Record {
    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:8.3} s  {}", line.as_ref());
    }
}

/// How a script ends.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case in a temporary folder, ends its processes and exits with its verdict.
pub fn run(case: impl FnOnce(&Arc<Stage>) -> Verdict) -> ! {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let path = Path::new(&folder).join("record.txt");
    let file = File::create(&path).unwrap_or_else(|error| {
        eprintln!("{}: {error}", path.display());
        exit(2)
    });
    let record = Arc::new(Record { file: Mutex::new(file), begun: Instant::now() });
    let stage = Stage::new(record.clone());
    let watched = stage.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watched.record.note("the time limit of the script is over");
        watched.finish();
        exit(2);
    });
    record.note(format!("disruption: {}", has_trouble()));
    let called = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| case(&stage)));
    stage.finish();
    let verdict = called.unwrap_or_else(|_| Verdict::NotRun("the script panicked".to_owned()));
    let (text, code) = match verdict {
        Verdict::Held(text) => (format!("held: {text}"), 0),
        Verdict::Broken(text) => (format!("broken: {text}"), 1),
        Verdict::NotRun(text) => (format!("could not run: {text}"), 2),
    };
    record.note(&text);
    println!("{text}");
    exit(code)
}

/// The processes of one run, in a network of loopback addresses of their own.
pub struct Stage {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    network: [u8; 2],
    processes: Mutex<BTreeMap<String, Child>>,
    is_over: AtomicBool,
}

impl Stage {
    fn new(record: Arc<Record>) -> Arc<Self> {
        let mut seed = wall_ms().wrapping_mul(6_364_136_223_846_793_005) ^ u64::from(std::process::id());
        let network = loop {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let network = [20 + (seed >> 40) as u8 % 200, (seed >> 50) as u8];
            let [a, b] = network;
            let is_free = |port| TcpListener::bind((std::net::Ipv4Addr::new(127, a, b, 1), port)).is_ok();
            if [CONTROL_PORT, FRONT_PORT, INNER_PORT].into_iter().all(is_free) {
                break network;
            }
        };
        let folder = std::env::temp_dir().join(format!("gypsum-review-{}", std::process::id()));
        let _ = fs::create_dir_all(&folder);
        Arc::new(Self {
            record,
            folder,
            network,
            processes: Mutex::default(),
            is_over: AtomicBool::new(false),
        })
    }

    pub fn ip(&self, host: usize) -> String {
        format!("127.{}.{}.{host}", self.network[0], self.network[1])
    }

    pub fn addr(&self, host: usize, port: u16) -> SocketAddr {
        let [a, b] = self.network;
        SocketAddr::from(([127, a, b, host as u8], port))
    }

    pub fn control(&self, host: usize) -> SocketAddr {
        self.addr(host, CONTROL_PORT)
    }

    pub fn front(&self, host: usize) -> SocketAddr {
        self.addr(host, FRONT_PORT)
    }

    /// Starts a role of the deploy file on a machine. `extra` are further fields of its settings.
    pub fn start(&self, role: &str, host: usize, extra: &str) -> io::Result<()> {
        let name = format!("{role}-{host}");
        let ip = self.ip(host);
        let data = match role {
            // A machine without a disk sends callers on.
            "control" if host <= 3 => {
                let data = self.folder.join(format!("{name}.data"));
                fs::create_dir_all(&data)?;
                format!("\"data_dir\": \"{}\",", data.display())
            }
            _ => String::new(),
        };
        let (class, memory, cpu, link, fds) = match role {
            "agent" => ("side", 128, 0.3, 9.4, 2048),
            _ => ("edge", 260, 0.45, 1000.0, 4100),
        };
        let seeds: Vec<String> = (1..=3).map(|host| format!("\"{}\"", self.control(host))).collect();
        let settings = format!(
            r#"{{"node_name": "machine-{host}", "role": "{role}", "machine_class": "{class}",
"ip": "{ip}", "zone": "{zone}", "region": "{region}",
"zones": {{"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}},
"listen": {{"front": "{ip}:{FRONT_PORT}", "ready": "{ip}:{READY_PORT}", "control": "{ip}:{CONTROL_PORT}"}},
"inner_ports": [{INNER_PORT}, {last}], "seeds": [{seeds}], "bootstrap": true, "fault_counted": true,
"limits": {{"cpu_share": {cpu}, "cores": 1, "memory_mb": {memory}, "max_fds": {fds}, "link_mbps": {link}, "disk_mb": 64}},
{data} {extra}
"discovery": "self_register", "entry": "anycast", "heartbeat_ms": 1200, "config_mode": "highest",
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "chunks"],
"fault_tolerance": {{"machines": 1, "zones": 1, "regions": 0}},
"bounds": {{"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
"grace_s": 8, "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "revoke_strict": true,
"revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 108, "cold_factor": 1.5, "cold_margin": 5,
"evacuate_ms": 5000, "recovery_s": 12, "event_delay_ms": 120, "retry_after_s": 0, "version_ms": 8000, "version_all_ms": 0}}}}"#,
            zone = zone(host),
            region = zone(host).replace("zone", "region"),
            last = INNER_PORT + 15,
            seeds = seeds.join(", "),
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("GYPSUMHINGE_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.note(format!("platform: {name} started"));
        lock(&self.processes).insert(name, child);
        Ok(())
    }

    /// Three machines with control and entry, one in each zone.
    pub fn start_core(&self) -> io::Result<()> {
        for host in 1..=3 {
            self.start("control", host, "")?;
            self.start("entry", host, "")?;
        }
        Ok(())
    }

    /// Sends a signal to a process that this run started.
    pub fn signal(&self, name: &str, signal: &str) {
        if let Some(child) = lock(&self.processes).get(name) {
            let line = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").arg("-c").arg(line).status();
            self.record.note(format!("platform: SIG{signal} to {name}"));
        }
    }

    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Ends every process and removes the folder.
    fn finish(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        for (_, mut child) in std::mem::take(&mut *lock(&self.processes)) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

pub fn zone(host: usize) -> &'static str {
    ZONES[host % ZONES.len()]
}

/// A message of HTTP/1.1.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn bad(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.by_ref().take(64 * 1024).read_until(b'\n', &mut line)?;
    if !line.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let text = String::from_utf8_lossy(&line);
    Ok(text.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads a message. An answer without a length lasts until its connection ends.
fn read_message(reader: &mut impl BufRead, is_answer: bool) -> io::Result<Message> {
    let line = read_line(reader)?;
    let mut message = Message { line, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| bad("a header without a colon"))?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let is_chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    match length {
        _ if is_chunked => loop {
            let line = read_line(reader)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
            let size = size.map_err(|_| bad("a chunk without a size"))?;
            if size == 0 {
                while !read_line(reader)?.is_empty() {}
                break;
            }
            let begin = message.body.len();
            if begin + size > MAX_BYTES {
                return Err(bad("too long"));
            }
            message.body.resize(begin + size, 0);
            reader.read_exact(&mut message.body[begin..])?;
            read_line(reader)?;
        },
        Some(length) if length > MAX_BYTES => return Err(bad("too long")),
        Some(length) => {
            message.body.resize(length, 0);
            reader.read_exact(&mut message.body)?;
        }
        None if is_answer => drop(reader.take(MAX_BYTES as u64).read_to_end(&mut message.body)?),
        None => {}
    }
    Ok(message)
}

/// What a stand-in answers.
pub enum Answer {
    Whole { status: u16, headers: Vec<(String, String)>, body: Vec<u8> },
    /// None: the connection ends.
    Closed,
    /// Events, with the pause before each.
    Stream { headers: Vec<(String, String)>, pause: Duration, events: Vec<String> },
}

pub fn plain(status: u16, body: impl Into<Vec<u8>>) -> Answer {
    Answer::Whole { status, headers: Vec::new(), body: body.into() }
}

fn head(status: u16, headers: &[(String, String)]) -> String {
    let reason = match status {
        200 => "OK",
        202 => "Accepted",
        _ => "Status",
    };
    let mut text = format!("HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}

fn write_answer(stream: &mut TcpStream, answer: Answer) -> io::Result<()> {
    match answer {
        Answer::Closed => Err(io::ErrorKind::ConnectionAborted.into()),
        Answer::Whole { status, headers, body } => {
            let head = format!("{}Content-Length: {}\r\n\r\n", head(status, &headers), body.len());
            stream.write_all(&[head.as_bytes(), &body].concat())
        }
        Answer::Stream { headers, pause, events } => {
            let head = format!(
                "{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                head(200, &headers)
            );
            stream.write_all(head.as_bytes())?;
            for event in events {
                thread::sleep(pause);
                stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            }
            stream.write_all(b"0\r\n\r\n")
        }
    }
}

/// Answers calls on an address, each connection on a thread of its own.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(Message) -> Answer + Send + Sync + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(message) = read_message(&mut reader, false) {
                    if write_answer(&mut writer, answer(message)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

/// Makes one call on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(&[head.as_bytes(), body].concat())?;
    read_message(&mut BufReader::new(stream), true)
}

/// The number in a field of a JSON text. Field names are unique in the texts that are read here.
pub fn number(text: &str, field: &str) -> Option<u64> {
    let (_, rest) = text.split_once(&format!("\"{field}\":"))?;
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// The operator: sends an order to one control machine after the other until it is acknowledged.
pub fn order(stage: &Stage, path: &str, body: &str, limit: Duration) -> Result<Instant, String> {
    let begun = Instant::now();
    let mut last = "no call was made".to_owned();
    let mut turn = 0;
    while begun.elapsed() < limit {
        turn = turn % 3 + 1;
        let headers = [("Content-Type", "application/json")];
        let called = call(stage.control(turn), "POST", path, &headers, body.as_bytes(), Duration::from_secs(1));
        match called {
            Ok(answer) if (200..300).contains(&answer.status()) => {
                let at = Instant::now();
                stage.record.note(format!("operator: {path} acknowledged by machine-{turn}"));
                return Ok(at);
            }
            Ok(answer) => last = format!("{} {}", answer.status(), answer.text()),
            Err(error) => last = error.to_string(),
        }
        thread::sleep(Duration::from_millis(200));
    }
    Err(format!("{path}: {last}"))
}

/// A configuration with one streaming route, one safe and one unsafe one.
pub fn config(stage: &Stage, version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, is_resumable: bool| {
        format!(
            r#"{{"name": "{name}", "host": "{HOST}", "path_prefix": "/{name}/", "route_kind": "{kind}", "timeout_ms": 3000,
"latency_target_ms": 400, "priority": 1, "service": "{service}", "max_attempts": 2, "public": false,
"sticky": {is_resumable}, "resumable": {is_resumable}, "itl_target_ms": 300, "allowed_regions": []}}"#
        )
    };
    let routes = [
        route("stream", "streaming", ENGINES, true),
        route("safe", "idempotent", DESK, false),
        route("once", "non_idempotent", DESK, false),
    ];
    format!(
        r#"{{"version": {version}, "routes": [{routes}], "services": [
{{"name": "{ENGINES}", "health_path": "/healthz", "max_conns": 344, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0,
"engine": {{"slots": 16, "kv_capacity": 1640000, "kv_token_bytes": 163840, "link_mbps": 400000.0, "stride": 6,
"models": [{{"name": "{MODEL}", "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}}], "size_mb": 282000.0, "adapter_slots": 8,
"loads_per_s": 0.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0,
"pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0, "loads_at_once": 8, "delays": [],
"usual": {{"prompt": 964, "answer": 119}}, "layers": {LAYERS}, "layer_mb": 4540.0, "act_bytes": 16384, "pipe_mbps": 0.0,
"chunks": {CHUNKS}, "chunk_bytes": {CHUNK_BYTES}}}}},
{{"name": "{ORIGIN}", "origin": "{origin}", "zone": "zone-c", "link_mbps": 15.0, "max_conns": 48}},
{{"name": "{DESK}", "health_path": "/healthz", "max_conns": 54, "protocol": "h1", "tls": false, "cold_s": 0.0, "cold_per_s": 0.0}}],
"limits": {{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}},
"tenants": {tenants}}}"#,
        routes = routes.join(", "),
        origin = stage.addr(90, APP_PORT),
    )
}

/// A chunk of a version of the weights.
pub fn chunk(version: u64, index: usize) -> Vec<u8> {
    let mut state = version.wrapping_mul(1_000_003) ^ (index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (0..CHUNK_BYTES)
        .map(|_| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 56) as u8
        })
        .collect()
}

/// The origin of weights. While `is_down` is set it answers nothing.
pub fn serve_origin(stage: &Arc<Stage>, is_down: &Arc<AtomicBool>) -> io::Result<()> {
    let is_down = is_down.clone();
    serve(stage.addr(90, APP_PORT), move |message| {
        while is_down.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(5));
        }
        let target = message.target().to_owned();
        let field = |name: &str| {
            let (_, rest) = target.split_once(&format!("{name}="))?;
            rest.split('&').next()?.parse::<u64>().ok()
        };
        let version = field("version").unwrap_or(1);
        match field("item_count") {
            Some(index) => plain(200, chunk(version, index as usize)),
            None => {
                let digests: Vec<String> =
                    (0..CHUNKS).map(|index| format!("\"{}\"", sha256::hex(&chunk(version, index)))).collect();
                let body = format!(
                    r#"{{"model": "{MODEL}", "version": {version}, "chunk_bytes": {CHUNK_BYTES}, "layers": {LAYERS}, "digests": [{}]}}"#,
                    digests.join(",")
                );
                plain(200, body)
            }
        }
    })
}

/// One start of a runner, with what every runner does: it registers itself, and answers the calls
/// that any service may get.
pub struct Runner {
    pub id: String,
    pub service: &'static str,
    pub host: usize,
    pub born: u64,
    sequence: AtomicU64,
}

impl Runner {
    pub fn new(id: &str, service: &'static str, host: usize) -> Self {
        Self { id: id.to_owned(), service, host, born: wall_ms(), sequence: AtomicU64::new(0) }
    }

    /// Sets the time of its start, by its machine's clock, in milliseconds since the Unix epoch.
    pub fn with_born(mut self, born: u64) -> Self {
        self.born = born;
        self
    }

    /// The body of the next heartbeat.
    pub fn beat(&self, stage: &Stage, state: &str, held: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":16,"state":"{state}","cold_left_ms":0,{held}"born":{},"sequence":{sequence}}}"#,
            self.service,
            stage.addr(self.host, APP_PORT),
            zone(self.host),
            self.born
        )
    }

    /// Sends one heartbeat, and says whether it was acknowledged.
    pub fn send(&self, stage: &Stage, control: usize, body: &str) -> bool {
        let path = format!("/v1/Instances.Heartbeat/{}", self.id);
        let headers = [("Content-Type", "application/json")];
        let called = call(stage.control(control), "POST", &path, &headers, body.as_bytes(), Duration::from_secs(1));
        called.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    /// The headers that every answer bears which the runner gives to a request that it ran.
    pub fn signed(&self, attempt: &str) -> Vec<(String, String)> {
        vec![
            ("X-Gypsumhinge-Attempt-Id".to_owned(), attempt.to_owned()),
            ("X-Gypsumhinge-Response-Seal".to_owned(), format!("seal.{}.{attempt}", self.id)),
        ]
    }

    /// A rejection of a request that isn't meant for this runner, or has no id.
    pub fn rejection(&self, message: &Message) -> Option<Answer> {
        let not_run = |status: u16| {
            let mut headers = vec![("X-Gypsumhinge-Not-Executed".to_owned(), "1".to_owned())];
            if let Some(attempt) = message.header("x-gypsumhinge-attempt-id") {
                headers.push(("X-Gypsumhinge-Attempt-Id".to_owned(), attempt.to_owned()));
            }
            Answer::Whole { status, headers, body: Vec::new() }
        };
        let target = message.header("x-gypsumhinge-target-instance");
        match () {
            () if target.is_some_and(|target| target != self.id) => Some(not_run(421)),
            () if message.header("x-gypsumhinge-attempt-id").is_none() => Some(not_run(400)),
            () => None,
        }
    }
}
