//! Stand-ins of the platform, for the scripts of the review: starts the programs of the
//! deploy file as separate processes on loopback addresses, and plays the operator, the
//! clients and the instances. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Longest time of a script; after it, everything is ended and the case counts as not run.
const WATCHDOG: Duration = Duration::from_secs(115);

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

pub fn sleep(value: f64) {
    thread::sleep(seconds(value));
}

/// Milliseconds of Unix time.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

// ---------------------------------------------------------------- record

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Seconds since the start of the script.
pub fn now() -> f64 {
    RECORD.get().map_or(0.0, |record| record.start.elapsed().as_secs_f64())
}

/// Writes a line to the record.
pub fn note(text: &str) {
    if let Some(record) = RECORD.get() {
        let mut file = record.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", record.start.elapsed().as_secs_f64());
    }
}

/// As [`note`], and prints the line.
pub fn say(text: &str) {
    note(text);
    println!("{:9.3} {text}", now());
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug)]
pub struct Message {
    /// Words of the first line.
    pub first: Vec<String>,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` when the other side has closed the connection before it.
pub fn read_message(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let head_end = loop {
        if let Some(at) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        let mut buffer = [0; 16384];
        match stream.read(&mut buffer)? {
            0 if rest.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => rest.extend_from_slice(&buffer[..read]),
        }
    };
    let head = String::from_utf8_lossy(&rest[..head_end]).into_owned();
    rest.drain(..head_end);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let first = first.split(' ').map(Into::into).collect();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    while rest.len() < length {
        let mut buffer = vec![0; 65536];
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => rest.extend_from_slice(&buffer[..read]),
        }
    }
    let body = rest.drain(..length).collect();
    Ok(Some(Message { first, headers, body }))
}

/// Sends one request on a connection of its own and reads the answer.
pub fn http(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, timeout.min(seconds(1.0)))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        text += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method != "GET" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut rest = Vec::new();
    read_message(&mut stream, &mut rest)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

// ---------------------------------------------------------------- processes

/// What a deployment needs to know of all its machines.
pub struct Fleet {
    pub repository: PathBuf,
    pub folder: PathBuf,
    case: PathBuf,
    /// Second and third number of the loopback addresses.
    net: (u8, u8),
    port: u16,
    pub core: usize,
    pub bounds: Vec<(String, String)>,
}

/// Kind of a machine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Role {
    Control,
    Node,
}

/// One machine and its process.
pub struct Machine {
    pub fleet: Arc<Fleet>,
    pub role: Role,
    pub name: String,
    pub ip: Ipv4Addr,
    pub service: String,
    pub bootstrap: AtomicBool,
    child: Mutex<Option<Child>>,
}

const PORTS: u16 = 32;

impl Fleet {
    /// Begins a script: opens the record and chooses addresses, ports and a temporary
    /// folder.
    pub fn begin(case: &str, core: usize) -> Arc<Self> {
        let repository = std::env::current_dir().unwrap();
        let folder = std::env::var("CASE_FOLDER").map_or_else(
            |_| repository.join("review").join(case),
            PathBuf::from,
        );
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        let _ = RECORD.set(Record { start: Instant::now(), file: Mutex::new(file) });
        // A failure of the script itself ends what it has started.
        std::panic::set_hook(Box::new(|info| {
            say(&format!("the script failed: {info}"));
            end_all();
            std::process::exit(NOT_RUN);
        }));
        let seed = random();
        let net = ((seed % 200 + 20) as u8, ((seed / 200) % 250 + 1) as u8);
        let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&temporary).unwrap();
        let port = free_ports(net, seed);
        let bounds = [
            ("seedLagS", "3"), ("addressReuseS", "2"), ("touchS", "3"), ("ackS", "4"),
            ("catchUpS", "4"), ("drainS", "2"), ("graceS", "6"), ("lossSlackS", "0.2"),
            ("configApplyS", "2"), ("rollbackSlackS", "0.25"), ("maxStretchS", "5"),
            ("strictRevocation", "true"), ("revokeS", "5"), ("retryBudgetRatio", "0.2"),
            ("budgetWindowS", "10"), ("retryBudgetSlack", "48"), ("quotaWindowS", "5"),
            ("quotaOver", "0.1"), ("quotaSlack", "20"), ("recoveryS", "15"),
        ];
        let bounds = bounds.iter().map(|(name, value)| ((*name).into(), (*value).into()));
        let fleet = Arc::new(Self {
            repository,
            folder: temporary,
            case: folder,
            net,
            port,
            core,
            bounds: bounds.collect(),
        });
        let folder = fleet.folder.clone();
        thread::spawn(move || {
            thread::sleep(WATCHDOG);
            say("the script took too long");
            end_all();
            let _ = fs::remove_dir_all(folder);
            std::process::exit(NOT_RUN);
        });
        say(&format!("case {case}, trouble {}, ports from {port}", trouble()));
        fleet
    }

    fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, number)
    }

    /// Path of the record.
    pub fn record(&self) -> PathBuf {
        self.case.join("record.txt")
    }

    pub fn control_ip(&self, index: usize) -> Ipv4Addr {
        self.ip(10 + index as u8)
    }

    /// Address of the operators' port of a control machine.
    pub fn operator(&self, index: usize) -> SocketAddr {
        SocketAddr::new(self.control_ip(index).into(), self.port + 19)
    }

    pub fn control(self: &Arc<Self>, index: usize) -> Arc<Machine> {
        self.machine(Role::Control, format!("core-{index}"), self.control_ip(index), "")
    }

    pub fn node(self: &Arc<Self>, index: usize, service: &str) -> Arc<Machine> {
        self.machine(Role::Node, format!("sidecar-{index}"), self.ip(100 + index as u8), service)
    }

    fn machine(self: &Arc<Self>, role: Role, name: String, ip: Ipv4Addr, service: &str) -> Arc<Machine> {
        Arc::new(Machine {
            fleet: Arc::clone(self),
            role,
            name,
            ip,
            service: service.into(),
            bootstrap: AtomicBool::new(true),
            child: Mutex::new(None),
        })
    }
}

/// A number that differs from that of other scripts, also of those started at the same moment.
fn random() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

/// A first port such that this and the next ones are free on some of the addresses.
fn free_ports(net: (u8, u8), seed: u64) -> u16 {
    for attempt in 0..200_u64 {
        let first = 12_000 + ((seed / 50_000 + attempt * 977) % 18_000) as u16;
        let free = (0..PORTS).all(|offset| {
            [10_u8, 11, 12, 100, 101, 102].iter().all(|number| {
                let ip = IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, *number));
                TcpListener::bind(SocketAddr::new(ip, first + offset)).is_ok()
            })
        });
        if free {
            return first;
        }
    }
    say("no free ports");
    std::process::exit(NOT_RUN);
}

static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn signal(pid: u32, name: &str) {
    let _ = Command::new("sh")
        .arg("-c")
        .arg(format!("kill -{name} {pid}"))
        .stderr(Stdio::null())
        .status();
}

/// Ends all processes that were started and not waited for.
pub fn end_all() {
    let pids = std::mem::take(&mut *CHILDREN.lock().unwrap());
    for pid in pids {
        signal(pid, "KILL");
    }
}

/// Ends a script.
pub fn finish(fleet: &Fleet, code: i32) -> ! {
    end_all();
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&fleet.folder);
    }
    say(match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    });
    std::process::exit(code);
}

impl Machine {
    fn address(&self, offset: u16) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.fleet.port + offset)
    }

    /// For clients.
    pub fn outbound(&self) -> SocketAddr {
        self.address(17)
    }

    /// For probes.
    pub fn ready(&self) -> SocketAddr {
        self.address(18)
    }

    /// For heartbeats at a node, for operators at a control process.
    pub fn control(&self) -> SocketAddr {
        self.address(19)
    }

    /// Of the instance.
    pub fn app(&self) -> SocketAddr {
        self.address(20)
    }

    pub fn data(&self) -> PathBuf {
        self.fleet.folder.join(format!("{}-data", self.name))
    }

    fn write_settings(&self) -> PathBuf {
        let fleet = &self.fleet;
        let seeds: Vec<String> = (0..fleet.core.min(3))
            .map(|index| format!("\"{}\"", fleet.operator(index)))
            .collect();
        let bounds: Vec<String> = fleet
            .bounds
            .iter()
            .map(|(name, value)| format!("\"{name}={value}\""))
            .collect();
        let (class, serves) = match self.role {
            Role::Control => ("core", "control_plane"),
            Role::Node => ("sidecar", "sidecar"),
        };
        let mut text = format!(
            "nodeName = \"{}\"\nrole = \"{}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{}\"\nzone = \"swr-a\"\nregion = \"swr\"\ninternalPortRange = [{},{}]\n\
             seeds = [{}]\nbootstrap = {}\ncountedForTolerance = {}\ndiscovery = \"local\"\n\
             entry = \"local\"\nheartbeatS = 1.5\nbounds = [{}]\n",
            self.name,
            if self.role == Role::Control { "control" } else { "node" },
            self.ip,
            fleet.port,
            fleet.port + 15,
            seeds.join(","),
            self.bootstrap.load(Ordering::SeqCst),
            self.role == Role::Control,
            bounds.join(","),
        );
        if self.role == Role::Control {
            text += &format!("dataDir = \"{}\"\n", self.data().display());
        } else {
            text += &format!("appAddress = \"{}\"\nservice = \"{}\"\n", self.app(), self.service);
        }
        text += "[zones]\nswr-a = \"swr\"\n[listen]\n";
        if self.role == Role::Node {
            text += &format!(
                "inbound = \"{}\"\noutbound = \"{}\"\nready = \"{}\"\n",
                self.address(16),
                self.outbound(),
                self.ready()
            );
        }
        text += &format!("control = \"{}\"\n", self.control());
        let memory = if self.role == Role::Control { 256 } else { 260 };
        text += &format!(
            "[limits]\ncpuShare = 0.6\ncores = 1\nmemoryMb = {memory}\nfdLimit = 4096\n\
             linkMbps = 1000.0\ndiskMb = 256\n[faultTolerance]\nmachines = 2\nzones = 0\nregions = 0\n"
        );
        let path = self.fleet.folder.join(format!("{}.toml", self.name));
        fs::write(&path, text).unwrap();
        path
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let settings = self.write_settings();
        if self.role == Role::Control {
            fs::create_dir_all(self.data()).unwrap();
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.fleet.folder.join(format!("{}.log", self.name)))
            .unwrap();
        let role = if self.role == Role::Control { "control" } else { "node" };
        let child = Command::new("target/release/masticarch-platform")
            .args([role, "--secret-file", "deploy/fleet.secret"])
            .current_dir(&self.fleet.repository)
            .env("MASTICARCH_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let Ok(child) = child else {
            say("target/release/masticarch-platform cannot be started");
            end_all();
            std::process::exit(NOT_RUN);
        };
        CHILDREN.lock().unwrap().push(child.id());
        note(&format!("{} starts, process {}", self.name, child.id()));
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.lock().unwrap().as_ref().map(Child::id)
    }

    /// Sends a signal.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            note(&format!("{} gets SIG{name}", self.name));
            signal(pid, name);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        self.signal("KILL");
        self.wait();
    }

    /// Waits for the end of the process.
    pub fn wait(&self) {
        let child = self.child.lock().unwrap().take();
        if let Some(mut child) = child {
            let status = child.wait();
            note(&format!("{} has ended: {status:?}", self.name));
            CHILDREN.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Waits until the node answers probes with 200.
    pub fn wait_ready(&self, limit: f64) -> bool {
        let until = Instant::now() + seconds(limit);
        while Instant::now() < until {
            let answer = http(self.ready(), "GET", "/-/readiness", &[], b"", seconds(1.0));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            sleep(0.05);
        }
        false
    }
}

// ---------------------------------------------------------------- operator

/// Sends an order as the pages tell: follows a redirect twice, goes to another machine after
/// a failure, a 5xx or a second without an answer. Returns the clear answer.
pub fn order(fleet: &Fleet, body: &str, limit: f64) -> Option<Message> {
    ask_control(fleet, "PUT", body.as_bytes(), limit)
}

/// Reads the configuration back.
pub fn read_back(fleet: &Fleet, limit: f64) -> Option<Message> {
    ask_control(fleet, "GET", b"", limit)
}

static NEXT: AtomicUsize = AtomicUsize::new(0);

fn ask_control(fleet: &Fleet, method: &str, body: &[u8], limit: f64) -> Option<Message> {
    let until = Instant::now() + seconds(limit);
    let mut pause = 0.05;
    while Instant::now() < until {
        let first = NEXT.load(Ordering::Relaxed) % fleet.core;
        let mut address = fleet.operator(first);
        let mut answer = None;
        for _ in 0..3 {
            // A second, and more for large bodies.
            let timeout = seconds(1.0 + body.len() as f64 / 1e6);
            answer = http(address, method, "/-/config", &[("Content-Type", "application/json".into())], body, timeout).ok();
            let location = answer
                .as_ref()
                .filter(|answer| answer.status() == 307)
                .and_then(|answer| answer.header("location"))
                .and_then(|text| text.strip_prefix("http://")?.split('/').next()?.parse().ok());
            match location {
                Some(next) => address = next,
                None => break,
            }
        }
        match answer {
            Some(answer) if answer.status() < 500 && !matches!(answer.status(), 307 | 408 | 429) => {
                return Some(answer);
            }
            _ => {
                NEXT.fetch_add(1, Ordering::Relaxed);
                sleep(pause);
                pause = f64::min(pause * 1.5, 0.5);
            }
        }
    }
    None
}

// ---------------------------------------------------------------- instance

/// What an instance does with requests.
pub struct Instance {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub born: u64,
    pub slots: usize,
    pub work: Duration,
    /// `Server-Limit` in the answers, if any.
    pub limit: Mutex<Option<f64>>,
    pub sequence: AtomicU64,
    running: AtomicUsize,
    /// Time and attempt id of each request that has arrived and was begun.
    pub runs: Mutex<Vec<(f64, String)>>,
    pub gone: AtomicBool,
}

impl Instance {
    pub fn start(machine: &Machine, id: &str, slots: usize, work_ms: u64) -> Arc<Self> {
        let instance = Arc::new(Self {
            id: id.into(),
            service: machine.service.clone(),
            address: machine.app(),
            born: unix_ms(),
            slots,
            work: Duration::from_millis(work_ms),
            limit: Mutex::new(None),
            sequence: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            runs: Mutex::new(Vec::new()),
            gone: AtomicBool::new(false),
        });
        let listener = TcpListener::bind(instance.address).expect("port of the instance");
        let serving = Arc::clone(&instance);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = serving.serve(stream);
                });
            }
        });
        instance
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut rest = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut rest)? {
            if self.gone.load(Ordering::SeqCst) {
                return Ok(());
            }
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            let path = request.first.get(1).cloned().unwrap_or_default();
            if path == "/health" {
                self.reply(&mut stream, 200, &id, &[("X-Instance-Id", self.id.clone())], "")?;
                continue;
            }
            let expected = request.header("x-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                note(&format!("{} answers 421 to {id}", self.id));
                self.reply(&mut stream, 421, &id, &[("X-Request-Not-Run", "1".into())], "")?;
                continue;
            }
            // The queue takes a few requests more than there are slots.
            if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots + self.slots / 2 {
                self.running.fetch_sub(1, Ordering::SeqCst);
                note(&format!("{} is full and rejects {id}", self.id));
                self.reply(&mut stream, 503, &id, &[("X-Request-Not-Run", "1".into())], "")?;
                continue;
            }
            note(&format!("{} runs {id} ({path})", self.id));
            self.runs.lock().unwrap().push((now(), id.clone()));
            thread::sleep(self.work);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if self.gone.load(Ordering::SeqCst) {
                note(&format!("{} has exited and leaves {id} unanswered", self.id));
                return Ok(());
            }
            self.reply(&mut stream, 200, &id, &[], "done")?;
        }
        Ok(())
    }

    fn reply(
        &self,
        stream: &mut TcpStream,
        status: u16,
        id: &str,
        headers: &[(&str, String)],
        body: &str,
    ) -> io::Result<()> {
        let mut text = format!(
            "HTTP/1.1 {status} X\r\nX-Attempt-Id: {id}\r\nX-Server-Signature: {}.{}\r\n\
             Content-Length: {}\r\n",
            self.id,
            self.born,
            body.len()
        );
        if let Some(limit) = *self.limit.lock().unwrap() {
            text += &format!("Server-Limit: {limit}\r\n");
        }
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += "\r\n";
        text += body;
        stream.write_all(text.as_bytes())
    }

    /// The number of the next heartbeat.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Sends a heartbeat with this number; returns whether it was acknowledged.
    pub fn beat(&self, machine: &Machine, state: &str, sequence: u64) -> bool {
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\
             \"zone\":\"swr-a\",\"slots\":{}}},\"status\":{{\"state\":\"{state}\",\
             \"sequence\":{sequence},\"warmupRemainingS\":0}}}}",
            self.address, self.born, self.service, self.slots
        );
        let path = format!("/-/instances/{}", self.id);
        let answer = http(machine.control(), "PUT", &path, &[("Content-Type", "application/json".into())], body.as_bytes(), seconds(1.0));
        let status = answer.map(|answer| answer.status());
        note(&format!("{} beats {state} number {sequence}: {status:?}", self.id));
        status.is_ok_and(|status| status / 100 == 2)
    }

    /// Says that the instance is gone; returns whether it was acknowledged.
    pub fn withdraw(&self, machine: &Machine) -> bool {
        let path = format!("/-/instances/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let answer = http(machine.control(), "DELETE", &path, &[("Content-Type", "application/json".into())], body.as_bytes(), seconds(1.0));
        let status = answer.map(|answer| answer.status());
        say(&format!("{} withdraws: {status:?}", self.id));
        status.is_ok_and(|status| status / 100 == 2)
    }

    /// Beats every 1.5 s until the flag is set.
    pub fn keep_beating(self: &Arc<Self>, machine: &Arc<Machine>, stop: &Arc<AtomicBool>) {
        let (instance, machine, stop) = (Arc::clone(self), Arc::clone(machine), Arc::clone(stop));
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                instance.beat(&machine, "ready", instance.next_sequence());
                let until = Instant::now() + seconds(1.5);
                while Instant::now() < until && !stop.load(Ordering::SeqCst) {
                    sleep(0.02);
                }
            }
        });
    }
}

// ---------------------------------------------------------------- client

static ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A new attempt id.
pub fn attempt_id() -> String {
    let number = ATTEMPT.fetch_add(1, Ordering::SeqCst);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// Sends one request to a node; returns the answer.
pub fn request(
    machine: &Machine,
    method: &str,
    host: &str,
    path: &str,
    key: Option<&str>,
    deadline_ms: u64,
) -> (String, io::Result<Message>) {
    let id = attempt_id();
    let mut headers = vec![
        ("Host", host.to_owned()),
        ("X-Attempt-Id", id.clone()),
        ("X-Deadline-Remaining-Ms", deadline_ms.to_string()),
    ];
    if let Some(key) = key {
        headers.push(("Authorization", format!("Bearer {key}")));
    }
    let sent = now();
    let body: &[u8] = if method == "GET" { b"" } else { b"order" };
    let answer = http(machine.outbound(), method, path, &headers, body, Duration::from_millis(deadline_ms + 500));
    let status = answer.as_ref().map(Message::status);
    note(&format!("client at {} sent {id} at {sent:.3}: {status:?}", machine.name));
    (id, answer)
}

pub fn read_file(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_default()
}
