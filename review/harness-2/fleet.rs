//! Starts the project's programs as separate processes, with stand-ins for the platform's
//! operator, clients and instances. It uses the standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Exit code of a case that could not run.
pub const CANNOT_RUN: i32 = 2;
/// Interval of the heartbeats of instances, as in the settings of the small deployments.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Bounds of the small deployment `enlace-boletines`.
pub const BOUNDS: &str = r#"["seedLagS=3","addressReuseS=2","touchS=3","ackS=4","catchUpS=4","drainS=2","graceS=6","lossSlackS=0.2","configApplyS=2","rollbackSlackS=0.25","maxStretchS=5","strictRevocation=true","revokeS=5","retryBudgetRatio=0.2","budgetWindowS=10","retryBudgetSlack=47","quotaWindowS=5","quotaOver=0.1","quotaSlack=20","recoveryS=15"]"#;

/// Writes what was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Self {
        let file = fs::File::create(folder.join("record.txt"));
        let file = file.unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3}  {text}");
    }
}

/// Ids of the processes that the case has started, and its temporary folder.
static STARTED: Mutex<(Vec<u32>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends the case because it cannot run, and all processes that it has started.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    if let Ok(started) = STARTED.lock() {
        for id in &started.0 {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        if let Some(folder) = &started.1 {
            let _ = fs::remove_dir_all(folder);
        }
    }
    std::process::exit(CANNOT_RUN);
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// A random number from the system's generator.
pub fn random() -> u64 {
    let mut bytes = [0; 8];
    fs::File::open("/dev/urandom")
        .and_then(|mut file| file.read_exact(&mut bytes))
        .unwrap_or_else(|error| cannot_run(&format!("random numbers: {error}")));
    u64::from_le_bytes(bytes)
}

/// The processes of one deployment. They end with this value.
pub struct Fleet {
    root: PathBuf,
    folder: PathBuf,
    network: String,
    seeds: Vec<String>,
    processes: HashMap<String, Child>,
    record: Record,
}

impl Fleet {
    /// Prepares a deployment without processes. `root` is the repository.
    pub fn new(root: &Path, record: &Record) -> Self {
        if !root.join("target/release/masticarch-platform").exists() {
            cannot_run("the build of the deploy file has not run");
        }
        let folder = std::env::temp_dir().join(format!("review-2-{:016x}", random()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        STARTED.lock().unwrap().1 = Some(folder.clone());
        Self {
            root: root.to_owned(),
            folder,
            network: free_network(),
            seeds: Vec::new(),
            processes: HashMap::new(),
            record: record.clone(),
        }
    }

    /// The loopback address of a machine.
    pub fn ip(&self, machine: u8) -> String {
        format!("{}.{machine}", self.network)
    }

    /// Starts control processes on machines 10, 11, ... and returns their addresses.
    pub fn start_control(&mut self, count: u8) -> Vec<String> {
        let machines: Vec<String> = (0..count).map(|index| self.ip(10 + index)).collect();
        self.seeds = machines.iter().take(3).cloned().collect();
        for (index, ip) in machines.iter().enumerate() {
            let name = format!("core-{index}");
            let data = self.folder.join(&name);
            let own = format!(
                "dataDir = \"{}\"\n[listen]\ncontrol = \"{ip}:8540\"\n",
                data.display()
            );
            self.write_settings(&name, ip, "core", "control_plane", &own);
            self.start(&name, "control");
        }
        machines
    }

    /// Starts the node beside an instance of a service and returns its address.
    pub fn start_node(&mut self, machine: u8, service: &str) -> String {
        let (name, ip) = (format!("side-{machine}"), self.ip(machine));
        let own = format!(
            "appAddress = \"{ip}:8547\"\nservice = \"{service}\"\n[listen]\ninbound = \"{ip}:8543\"\n\
             outbound = \"{ip}:8548\"\nready = \"{ip}:8546\"\ncontrol = \"{ip}:8540\"\n"
        );
        self.write_settings(&name, &ip, "sidecar", "sidecar", &own);
        self.start(&name, "node");
        ip
    }

    /// Sends a signal, such as `TERM`, to a process of this deployment.
    pub fn signal(&self, name: &str, signal: &str) {
        let Some(process) = self.processes.get(name) else {
            return;
        };
        self.record.line(&format!("SIG{signal} to {name}"));
        let pid = process.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
    }

    /// Name of the node on a machine.
    pub fn node_name(machine: u8) -> String {
        format!("side-{machine}")
    }

    /// Whether a process has ended.
    pub fn has_ended(&mut self, name: &str) -> bool {
        let process = self.processes.get_mut(name);
        process.is_none_or(|process| !matches!(process.try_wait(), Ok(None)))
    }

    /// Starts a process with the command of the deploy file, also again after its end.
    pub fn start(&mut self, name: &str, role: &str) {
        let log = fs::File::create(self.folder.join(format!("{name}.log")));
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let program = self.root.join("target/release/masticarch-platform");
        let process = Command::new(program)
            .args([role, "--secret-file", "deploy/fleet.secret"])
            .current_dir(&self.root)
            .env(
                "MASTICARCH_NODE_FILE",
                self.folder.join(format!("{name}.toml")),
            )
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        let process = process.unwrap_or_else(|error| cannot_run(&error.to_string()));
        STARTED.lock().unwrap().0.push(process.id());
        self.record.line(&format!("start {name}"));
        self.processes.insert(name.into(), process);
    }

    fn write_settings(&self, name: &str, ip: &str, class: &str, serves: &str, own: &str) {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|ip| format!("\"{ip}:8540\""))
            .collect();
        let text = format!(
            "nodeName = \"{name}\"\nrole = \"{class}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{ip}\"\nzone = \"norte-a\"\nregion = \"norte\"\n\
             internalPortRange = [7000,7015]\nseeds = [{}]\nbootstrap = true\n\
             countedForTolerance = {}\ndiscovery = \"static\"\nentry = \"static\"\n\
             heartbeatS = 1.5\nbounds = {BOUNDS}\n{own}\n\
             [faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n",
            seeds.join(","),
            class == "core"
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(path, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A part of the loopback network in which nothing listens on the ports of a machine.
fn free_network() -> String {
    for _ in 0..50 {
        let number = random();
        let network = format!("127.{}.{}", 20 + number % 200, 1 + (number >> 8) % 250);
        if TcpListener::bind(format!("{network}.10:8540")).is_ok() {
            return network;
        }
    }
    cannot_run("no free ports")
}

/// Status, header fields in lower case, and body of an HTTP message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }
}

/// Reads one message with a length. `buffer` keeps what follows it.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Message> {
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break end;
        }
        fill(stream, buffer)?;
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let fields: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = fields
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        fill(stream, buffer)?;
    }
    let body = buffer.drain(..length).collect();
    Ok(Message {
        first_line,
        fields,
        body,
    })
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<()> {
    let mut bytes = [0; 16 << 10];
    match stream.read(&mut bytes)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        count => {
            buffer.extend_from_slice(&bytes[..count]);
            Ok(())
        }
    }
}

/// Opens a connection.
pub fn connect(address: &str, timeout: Duration) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a connection of its own and reads the answer.
pub fn exchange(address: &str, head: &str, body: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = connect(address, timeout)?;
    let text = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[text.as_bytes(), body].concat())?;
    read_message(&mut stream, &mut Vec::new())
}

/// Sends a configuration to the control processes until it is acknowledged.
pub fn put_configuration(control: &[String], text: &str, record: &Record) {
    let until = Instant::now() + Duration::from_secs(20);
    let mut next = 0;
    while Instant::now() < until {
        let mut ip = control[next % control.len()].clone();
        next += 1;
        for _ in 0..3 {
            let head =
                "PUT /-/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n";
            let address = format!("{ip}:8540");
            let answer = exchange(&address, head, text.as_bytes(), Duration::from_secs(1));
            let Ok(answer) = answer else { break };
            match answer.status() {
                200 => return record.line(&format!("configuration acknowledged: {text}")),
                307 => {
                    let location = answer.field("location").unwrap_or_default();
                    let host = location.split('/').nth(2).unwrap_or_default();
                    ip = host.split(':').next().unwrap_or_default().to_owned();
                }
                400 | 412 => cannot_run(&format!(
                    "configuration refused: {}",
                    String::from_utf8_lossy(&answer.body)
                )),
                _ => break,
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    cannot_run("the configuration is not acknowledged");
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: Option<&'a str>,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// Host of all requests and routes.
pub const HOST: &str = "hulo84.example";
/// Key of the only tenant.
pub const KEY: &str = "6wsjnbanfqasnmgkcuyj";

/// A new id of an attempt.
pub fn new_id() -> String {
    format!("{:016x}", random())
}

/// Makes one attempt with this id at a node.
pub fn attempt(node: &str, id: &str, attempt: &Attempt<'_>) -> io::Result<Message> {
    let mut head = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Remaining-Ms: {}\r\n",
        attempt.method,
        attempt.path,
        attempt.deadline.as_millis()
    );
    if let Some(key) = attempt.key {
        let _ = write!(head, "Authorization: Bearer {key}\r\n");
    }
    let address = format!("{node}:8548");
    exchange(&address, &head, attempt.body, attempt.deadline)
}

/// Text of an answer for the record.
pub fn describe(answer: &io::Result<Message>) -> String {
    match answer {
        Ok(answer) => format!(
            "{} signature {} body {:?}",
            answer.status(),
            answer.field("x-server-signature").unwrap_or("none"),
            String::from_utf8_lossy(&answer.body[..answer.body.len().min(60)])
        ),
        Err(error) => format!("no answer: {error}"),
    }
}

/// Waits until a node answers the platform's probe with 200.
pub fn wait_ready(node: &str) {
    let until = Instant::now() + Duration::from_secs(20);
    let head = "GET /-/readiness HTTP/1.1\r\nHost: node\r\n";
    while Instant::now() < until {
        let answer = exchange(&format!("{node}:8546"), head, b"", Duration::from_secs(1));
        if answer.is_ok_and(|answer| answer.status() == 200) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    cannot_run("a node is not ready");
}

/// What an instance does with a request.
pub enum Action {
    /// Works for this long, then answers 200 with its signature.
    Answer(Duration),
    /// Says that it has not run the request, as a full instance does.
    Refuse,
    /// Crashes: all its connections break, and it is back after this time.
    Crash(Duration),
}

type Decide = dyn Fn(&Message) -> Action + Send + Sync;

/// An instance of a service, with its heartbeats to the node on its machine. After a crash
/// it starts again with another id.
#[derive(Clone)]
pub struct Instance {
    shared: Arc<Shared>,
}

struct Shared {
    ip: String,
    service: String,
    /// Id of all runs; a run has an id of its own without it.
    id: Option<String>,
    record: Record,
    decide: Box<Decide>,
    /// By how much the time of day on the machine is ahead.
    clock_ahead: Mutex<Duration>,
    run: Mutex<Run>,
    ended: AtomicBool,
    runs: AtomicU64,
}

#[derive(Default)]
struct Run {
    number: u64,
    id: String,
    born: u128,
    sequence: u64,
    is_draining: bool,
    is_up: bool,
    connections: Vec<TcpStream>,
}

impl Instance {
    /// Starts an instance on a machine.
    pub fn start(
        ip: &str,
        service: &str,
        record: &Record,
        decide: impl Fn(&Message) -> Action + Send + Sync + 'static,
    ) -> Self {
        Self::start_with(ip, service, None, Duration::ZERO, record, decide)
    }

    /// Starts an instance on a machine whose time of day is ahead. With an id, all its runs
    /// have this id.
    pub fn start_with(
        ip: &str,
        service: &str,
        id: Option<&str>,
        clock_ahead: Duration,
        record: &Record,
        decide: impl Fn(&Message) -> Action + Send + Sync + 'static,
    ) -> Self {
        let shared = Arc::new(Shared {
            ip: ip.into(),
            service: service.into(),
            id: id.map(Into::into),
            record: record.clone(),
            decide: Box::new(decide),
            clock_ahead: Mutex::new(clock_ahead),
            run: Mutex::new(Run::default()),
            ended: AtomicBool::new(false),
            runs: AtomicU64::new(0),
        });
        let instance = Self { shared };
        instance.start_run();
        let beating = instance.clone();
        thread::spawn(move || {
            while !beating.shared.ended.load(Ordering::Relaxed) {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        instance
    }

    /// Number of requests that it has begun to run.
    pub fn run_count(&self) -> u64 {
        self.shared.runs.load(Ordering::Relaxed)
    }

    fn start_run(&self) {
        let listener = TcpListener::bind(format!("{}:8547", self.shared.ip));
        let listener = listener.unwrap_or_else(|error| cannot_run(&error.to_string()));
        listener.set_nonblocking(true).unwrap();
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let number = {
            let mut run = self.shared.run.lock().unwrap();
            *run = Run {
                number: run.number + 1,
                id: self
                    .shared
                    .id
                    .clone()
                    .unwrap_or_else(|| format!("i-{:08x}", random() >> 32)),
                born: (now.unwrap_or_default() + *self.shared.clock_ahead.lock().unwrap())
                    .as_millis(),
                is_up: true,
                ..Run::default()
            };
            run.number
        };
        let accepting = self.clone();
        thread::spawn(move || {
            while accepting.is_current(number) {
                match listener.accept() {
                    Ok((stream, _)) => accepting.open(number, stream),
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }

    fn is_current(&self, number: u64) -> bool {
        let run = self.shared.run.lock().unwrap();
        run.is_up && run.number == number && !self.shared.ended.load(Ordering::Relaxed)
    }

    fn open(&self, number: u64, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            self.shared.run.lock().unwrap().connections.push(copy);
        }
        let serving = self.clone();
        thread::spawn(move || {
            let _ = serving.serve(number, stream);
        });
    }

    /// Sets by how much the time of day on the machine is ahead.
    pub fn set_clock_ahead(&self, ahead: Duration) {
        *self.shared.clock_ahead.lock().unwrap() = ahead;
        self.shared.record.line(&format!(
            "clock of the machine {} is {ahead:?} ahead",
            self.shared.ip
        ));
    }

    /// The present run leaves: it says so in this heartbeat and all later ones. Returns
    /// whether the heartbeat was acknowledged.
    pub fn drain(&self) -> bool {
        self.shared.run.lock().unwrap().is_draining = true;
        self.beat() == Some(200)
    }

    /// Sends one heartbeat of the present run. Returns the status of the answer.
    fn beat(&self) -> Option<u16> {
        let (id, body) = {
            let mut run = self.shared.run.lock().unwrap();
            if !run.is_up {
                return None;
            }
            run.sequence += 1;
            let state = if run.is_draining { "draining" } else { "ready" };
            let body = format!(
                "{{\"address\":\"{}:8547\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
                 \"zone\":\"norte-a\",\"slots\":72}},\"status\":{{\"state\":\"{state}\",\
                 \"sequence\":{},\"warmupRemainingS\":0}},\"born\":{}}}",
                self.shared.ip, self.shared.service, run.sequence, run.born
            );
            (run.id.clone(), body)
        };
        let head = format!(
            "PUT /-/instances/{id} HTTP/1.1\r\nHost: node\r\nContent-Type: application/json\r\n"
        );
        let address = format!("{}:8540", self.shared.ip);
        let answer = exchange(&address, &head, body.as_bytes(), Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        if status != 200 || body.contains("draining") {
            self.shared
                .record
                .line(&format!("heartbeat {body} -> {status}"));
        }
        Some(status)
    }

    fn serve(&self, number: u64, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        loop {
            let request = read_message(&mut stream, &mut buffer)?;
            if !self.is_current(number) {
                return Ok(());
            }
            let id = self.shared.run.lock().unwrap().id.clone();
            let attempt = request.field("x-attempt-id").unwrap_or_default().to_owned();
            let expected = request.field("x-expected-instance");
            if expected.is_some_and(|expected| expected != id) {
                self.note(&id, &request, "not run: 421");
                let head = "HTTP/1.1 421 Misdirected Request";
                stream.write_all(&answer(head, &format!("X-Instance-Id: {id}\r\n"), b""))?;
                continue;
            }
            match (self.shared.decide)(&request) {
                Action::Refuse => {
                    self.note(&id, &request, "not run: 503");
                    let fields = format!("X-Attempt-Id: {attempt}\r\nX-Request-Not-Run: 1\r\n");
                    let head = "HTTP/1.1 503 Service Unavailable";
                    stream.write_all(&answer(head, &fields, b""))?;
                }
                Action::Answer(work) => {
                    self.shared.runs.fetch_add(1, Ordering::Relaxed);
                    self.note(&id, &request, "runs");
                    thread::sleep(work);
                    let fields = format!(
                        "X-Attempt-Id: {attempt}\r\nX-Server-Signature: {id}.{attempt}\r\n"
                    );
                    stream.write_all(&answer("HTTP/1.1 200 OK", &fields, b"done"))?;
                }
                Action::Crash(down) => {
                    self.shared.runs.fetch_add(1, Ordering::Relaxed);
                    self.note(&id, &request, "runs, and the instance crashes");
                    self.crash(down);
                    return Ok(());
                }
            }
        }
    }

    /// Breaks all connections, and starts again after some time.
    pub fn crash(&self, down: Duration) {
        let connections = {
            let mut run = self.shared.run.lock().unwrap();
            run.is_up = false;
            std::mem::take(&mut run.connections)
        };
        // The listener closes within a few milliseconds; connections break at once.
        thread::sleep(Duration::from_millis(5));
        for connection in connections {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let starting = self.clone();
        thread::spawn(move || {
            thread::sleep(down);
            starting.start_run();
            starting.beat();
            starting.shared.record.line(&format!(
                "instance of {} on {} is back",
                starting.shared.service, starting.shared.ip
            ));
        });
    }

    fn note(&self, id: &str, request: &Message, what: &str) {
        let attempt = request.field("x-attempt-id").unwrap_or("none");
        self.shared.record.line(&format!(
            "instance {id} of {} on {}: {} attempt {attempt} {what}",
            self.shared.service, self.shared.ip, request.first_line
        ));
    }
}

fn answer(head: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let text = format!("{head}\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}
