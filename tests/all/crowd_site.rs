//! Real front processes with small machines, a store, endpoints, and the callers of the crowd tests.

use crate::front::read_answer;
use actix_web::App;
use futures_util::future::join_all;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use oleander_soak::store::{SoakStore, configure};
use oleandertack::serve::{HttpSite, serve_app};
use serde_json::json;
use std::cell::Cell;
use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

/// Bytes of a mebibyte.
pub const MEBIBYTE: usize = 1 << 20;
/// The operators' bound on bodies, in bytes.
pub const REQUEST_LIMIT: usize = 4 * MEBIBYTE;
/// The operators' bound on heads, in bytes.
const HEAD_LIMIT: usize = 16_000;
/// Longest time for a head, and for an idle connection: longer than a test.
const CALLER_TIME: Duration = Duration::from_secs(60);
/// How long `/slow/` takes at an endpoint: longer than a test looks.
const SLOW_TIME: Duration = Duration::from_secs(12);
/// Bytes of an answer of `/large/`.
const LARGE_ANSWER: usize = 3_000_000;
/// How long one caller of a crowd may be at sending: a process need not read what it sends.
const SEND_TIME: Duration = Duration::from_secs(8);
/// How long an ordinary caller waits.
const ORDINARY_TIME: Duration = Duration::from_secs(10);
/// Segment size of callers that take little at a time, in bytes.
const SMALL_SEGMENT: u32 = 536;
/// Receive buffer of these callers, in bytes.
const SMALL_WINDOW: u32 = 2048;

/// What a process is told of its machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    memory_mb: usize,
    descriptors: usize,
}

impl Machine {
    /// A small one with many descriptors.
    pub fn small() -> Self {
        Machine { memory_mb: 64, descriptors: 4100 }
    }

    /// The same with so many descriptors, which the system enforces.
    pub fn with_descriptors(self, descriptors: usize) -> Self {
        Machine { descriptors, ..self }
    }
}

/// How the callers of a crowd write bodies.
#[derive(Clone, Copy, Debug)]
pub enum Spelling {
    /// With a length, all at once, but for the last byte.
    Whole,
    /// The same, so many bytes at a time.
    Pieces(usize),
    /// The same, and from then on one byte after each pause, of a body that is longer.
    Dripped(Duration),
    /// In chunks of so many bytes, without the last one.
    Chunks(usize),
    /// With this length in the head, of which less is sent.
    Announced(usize),
}

#[derive(Clone, Copy, Debug)]
enum CrowdKind {
    Bodies(Spelling),
    Whole(&'static str),
    Pipelined(&'static str),
    Heads,
    Silent,
}

/// Callers that send the same at the same time and stay.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    count: usize,
    kind: CrowdKind,
    length: usize,
    reads: bool,
}

impl Crowd {
    fn new(count: usize, kind: CrowdKind) -> Self {
        Crowd { count, kind, length: REQUEST_LIMIT, reads: true }
    }

    /// Bodies that stop before their end.
    pub fn bodies(count: usize, spelling: Spelling) -> Self {
        Crowd::new(count, CrowdKind::Bodies(spelling))
    }

    /// Complete requests.
    pub fn whole_requests(count: usize, path: &'static str) -> Self {
        Crowd::new(count, CrowdKind::Whole(path))
    }

    /// A complete request, and behind it as many bytes of further ones as there are in a body.
    pub fn pipelined(count: usize, path: &'static str) -> Self {
        Crowd::new(count, CrowdKind::Pipelined(path))
    }

    /// Heads that stop before their end.
    pub fn heads(count: usize) -> Self {
        Crowd::new(count, CrowdKind::Heads)
    }

    /// Connections on which nothing is sent.
    pub fn silent(count: usize) -> Self {
        Crowd::new(count, CrowdKind::Silent)
    }

    /// With bodies of so many bytes.
    pub fn of_length(self, length: usize) -> Self {
        Crowd { length, ..self }
    }

    /// With callers that take next to nothing of their answers.
    pub fn that_read_nothing(self) -> Self {
        Crowd { reads: false, ..self }
    }

    async fn connect(&self, address: SocketAddr) -> std::io::Result<TcpStream> {
        if self.reads {
            return TcpStream::connect(address).await;
        }
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SMALL_WINDOW)?;
        socket2::SockRef::from(&socket).set_tcp_mss(SMALL_SEGMENT)?;
        socket.connect(address).await
    }

    async fn write(&self, stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
        match self.kind {
            CrowdKind::Silent => Ok(()),
            CrowdKind::Heads => {
                let long = "x".repeat(HEAD_LIMIT - 600);
                stream
                    .write_all(head("/any/a", number, &format!("X-Long: {long}")).as_bytes())
                    .await
            }
            CrowdKind::Whole(path) => {
                let length = format!("Content-Length: {}\r\n\r\n", self.length);
                stream.write_all(head(path, number, &length).as_bytes()).await?;
                write_zeros(stream, self.length, 64 << 10).await
            }
            CrowdKind::Pipelined(path) => {
                let request = head(path, number, "Content-Length: 1\r\n\r\n0");
                let more = request.repeat(self.length / request.len());
                stream.write_all(request.as_bytes()).await?;
                stream.write_all(more.as_bytes()).await
            }
            CrowdKind::Bodies(spelling) => self.write_body(stream, number, spelling).await,
        }
    }

    async fn write_body(
        &self,
        stream: &mut TcpStream,
        number: usize,
        spelling: Spelling,
    ) -> std::io::Result<()> {
        let (announced, sent, piece) = match spelling {
            Spelling::Whole => (self.length, self.length - 1, 64 << 10),
            Spelling::Pieces(piece) => (self.length, self.length - 1, piece),
            Spelling::Dripped(_) => (self.length, self.length - 4096, 64 << 10),
            Spelling::Announced(length) => (length, self.length, 64 << 10),
            Spelling::Chunks(size) => {
                let chunked = "Transfer-Encoding: chunked\r\n\r\n";
                stream.write_all(head("/any/a", number, chunked).as_bytes()).await?;
                return write_chunks(stream, self.length, size).await;
            }
        };
        let length = format!("Content-Length: {announced}\r\n\r\n");
        stream.write_all(head("/any/a", number, &length).as_bytes()).await?;
        write_zeros(stream, sent, piece).await
    }

    /// Keeps the connection open, in the way of the crowd.
    async fn stay(&self, mut stream: TcpStream) {
        if let CrowdKind::Bodies(Spelling::Dripped(pause)) = self.kind {
            while stream.write_all(b"0").await.is_ok() {
                sleep(pause).await;
            }
        }
        std::future::pending().await
    }
}

fn head(path: &str, number: usize, rest: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Oleandertack-Request-Id: c-{number}\r\n\
         X-Oleandertack-Key: key-1\r\nX-Oleandertack-Deadline-Ms: 20000\r\n{rest}"
    )
}

/// Writes so many bytes, `piece` at a time.
pub async fn write_zeros(
    stream: &mut TcpStream,
    count: usize,
    piece: usize,
) -> std::io::Result<()> {
    let zeros = vec![b'0'; piece];
    let mut left = count;
    while left > 0 {
        let size = left.min(piece);
        stream.write_all(&zeros[..size]).await?;
        left -= size;
    }
    Ok(())
}

async fn write_chunks(stream: &mut TcpStream, count: usize, size: usize) -> std::io::Result<()> {
    let chunk = format!("{size:x}\r\n{}\r\n", "0".repeat(size));
    let at_once = ((64 << 10) / size).clamp(1, count / size);
    let block = chunk.repeat(at_once);
    for _ in 0..(count / size / at_once) {
        stream.write_all(block.as_bytes()).await?;
    }
    Ok(())
}

/// Callers that stay until they are dropped.
pub struct StayingCallers(Vec<JoinHandle<()>>);

impl StayingCallers {
    /// Callers that keep the connections which come of `connecting`, and do no more.
    pub async fn of(
        connecting: impl Iterator<Item = impl Future<Output = Option<TcpStream>>>,
    ) -> Self {
        let streams = join_all(connecting).await.into_iter().flatten();
        let stay = |stream: TcpStream| {
            actix_rt::spawn(async move {
                std::future::pending::<()>().await;
                drop(stream);
            })
        };
        StayingCallers(streams.map(stay).collect())
    }
}

impl Drop for StayingCallers {
    fn drop(&mut self) {
        self.0.iter().for_each(JoinHandle::abort);
    }
}

struct SiteFront {
    listen: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Drop for SiteFront {
    fn drop(&mut self) {
        // It may have ended, which the test told.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Front processes with what they need around them.
pub struct CrowdSite {
    fronts: Vec<SiteFront>,
    machine: Machine,
    folder: PathBuf,
    asked: Cell<usize>,
    _store: HttpSite,
}

impl CrowdSite {
    /// One process.
    pub async fn start(machine: Machine) -> Self {
        Self::start_fronts(machine, 1).await
    }

    /// Two processes, the first of which reaches no endpoint, so that the other serves its requests.
    pub async fn start_pair(machine: Machine) -> Self {
        Self::start_fronts(machine, 2).await
    }

    async fn start_fronts(machine: Machine, count: usize) -> Self {
        let ip = own_address();
        let cut_off = (count > 1).then(|| source_of(ip, 0));
        let store = Rc::new(SoakStore::default());
        store.put("config", "main", rules());
        for number in 0..3 {
            let address = serve_endpoint(cut_off).await;
            let entry = json!({
                "service": "s", "address": address.to_string(), "zone": "near", "version": "v1",
                "slots": 500, "state": "ready", "seq": 1,
            });
            store.put("servers", &format!("i-{number}"), entry);
        }
        let app = App::new().configure(|config| configure(config, store));
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let site = serve_app(any, app).await.expect("a store");
        let folder = std::env::temp_dir().join(format!("oleander-crowd-{ip}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let start = |number| start_front(ip, number, machine, (&folder, site.address()));
        let fronts: Vec<_> = (0..count).map(start).collect();
        let mut site = CrowdSite { fronts, machine, folder, asked: Cell::new(0), _store: site };
        site.until_ready().await;
        site
    }

    async fn until_ready(&mut self) {
        for front in &mut self.fronts {
            while !is_ready(front.ready).await {
                let ended = front.child.try_wait().expect("a child of ours");
                assert!(ended.is_none(), "ended by itself: {ended:?}");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Kills the first process and starts it again.
    pub async fn start_again(&mut self) {
        let front = &mut self.fronts[0];
        front.child.kill().expect("it runs");
        front.child.wait().expect("it ended");
        front.child = spawn_front(&front.settings, self.machine, &self.folder);
        self.until_ready().await;
    }

    /// Asks the first process to stop, and waits until it has; returns the most descriptors that it had open meanwhile.
    pub async fn stop_first(&mut self) -> usize {
        let front = &mut self.fronts[0];
        let id = front.child.id();
        kill(Pid::from_raw(id as i32), Signal::SIGTERM).expect("it runs");
        let mut most = 0;
        let status = loop {
            if let Some(status) = front.child.try_wait().expect("a child of ours") {
                break status;
            }
            most = most.max(count_descriptors(id).unwrap_or(0));
            sleep(Duration::from_millis(1)).await;
        };
        assert!(status.success(), "{status}");
        most
    }

    /// Lets a crowd connect to the first process and send.
    pub async fn send(&self, crowd: &Crowd) -> StayingCallers {
        let address = self.fronts[0].listen;
        let sending = (0..crowd.count).map(|number| async move {
            let connected = timeout(SEND_TIME, crowd.connect(address)).await;
            let mut stream = connected.ok()?.ok()?;
            // The process need neither read it all nor keep the connection.
            let _ = timeout(SEND_TIME, crowd.write(&mut stream, number)).await;
            Some(stream)
        });
        let streams = join_all(sending).await.into_iter().flatten();
        let crowd = *crowd;
        let stay = |stream| actix_rt::spawn(async move { crowd.stay(stream).await });
        StayingCallers(streams.map(stay).collect())
    }

    /// Asserts that the processes live and are within the memory and the descriptors of their machines.
    pub fn assert_bounded(&self) {
        let machine = (self.machine.memory_mb, self.machine.descriptors);
        for (number, front) in self.fronts.iter().enumerate() {
            assert_process_bounded(&format!("front-{number}"), front.child.id(), machine);
        }
    }

    /// Asserts that an ordinary request is answered at each process.
    pub async fn assert_answers_ordinary(&self) {
        self.assert_answers(300).await;
    }

    /// Asserts that a request with a body of `length` bytes is answered at each process.
    pub async fn assert_answers(&self, length: usize) {
        for front in &self.fronts {
            let number = 1_000_000 + self.asked.get();
            self.asked.set(self.asked.get() + 1);
            let answer = timeout(ORDINARY_TIME, ask(front.listen, number, length)).await;
            let answer = answer.expect("an answer in time");
            assert_eq!(answer.get(9..12), Some("200"), "{answer}");
        }
    }
}

/// Asserts that a process lives within so many megabytes and below so many descriptors.
pub fn assert_process_bounded(name: &str, id: u32, (memory_mb, descriptors): (usize, usize)) {
    assert!(kill(Pid::from_raw(id as i32), None::<Signal>).is_ok(), "{name} is gone");
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it lives");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.trim().strip_suffix(" kB")).expect("it has not ended");
    let peak = peak.trim().parse::<usize>().expect("a number") * 1024;
    let open = count_descriptors(id).expect("it lives");
    eprintln!("{name}: peak {peak} bytes of {memory_mb} MB, {open} of {descriptors} descriptors");
    assert!(peak <= memory_mb * 1_000_000, "{name}: peak {peak} bytes of {memory_mb} MB");
    assert!(open < descriptors, "{name}: {open} of {descriptors} descriptors");
}

fn count_descriptors(id: u32) -> std::io::Result<usize> {
    Ok(std::fs::read_dir(format!("/proc/{id}/fd"))?.count())
}

async fn ask(address: SocketAddr, number: usize, length: usize) -> String {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let announced = format!("Content-Length: {length}\r\n\r\n");
    stream.write_all(head("/any/a", number, &announced).as_bytes()).await.expect("written");
    // A refusal may come before the end of the body; the status tells.
    let _ = write_zeros(&mut stream, length, 64 << 10).await;
    read_answer(&mut stream).await.text
}

async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else { return false };
    let question = b"GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    let mut answer = [0; 12];
    let asked = stream.write_all(question).await.is_ok();
    asked && stream.read_exact(&mut answer).await.is_ok() && answer.ends_with(b"200")
}

/// The loopback address of a test's processes, each test's own.
pub fn own_address() -> Ipv4Addr {
    use std::sync::atomic::{AtomicU8, Ordering};
    static TESTS: AtomicU8 = AtomicU8::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, 1 + TESTS.fetch_add(1, Ordering::Relaxed) % 250)
}

/// The address from which process `number` connects to endpoints.
fn source_of(ip: Ipv4Addr, number: usize) -> IpAddr {
    let [_, high, low, last] = ip.octets();
    IpAddr::from([127, high ^ 0x80, low ^ last, 10 + number as u8])
}

fn start_front(
    ip: Ipv4Addr,
    number: usize,
    machine: Machine,
    (folder, store): (&PathBuf, SocketAddr),
) -> SiteFront {
    let port = |offset| SocketAddr::from((ip, 20_000 + 4 * number as u16 + offset));
    let (listen, ready) = (port(0), port(1));
    let settings = json!({
        "instance": format!("front-{number}"), "domain": "near", "source": source_of(ip, number),
        "listen": listen, "ready": ready, "peer": port(2), "admin": port(3),
        "seeds": [SocketAddr::from((ip, 20_002))], "store": store,
        "memory_mb": machine.memory_mb, "descriptors": machine.descriptors,
        "bounds": { "retry_slack": 1000 },
    });
    let path = folder.join(format!("front-{number}.json"));
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    let child = spawn_front(&path, machine, folder);
    SiteFront { listen, ready, settings: path, child }
}

/// Starts a process whose descriptors the system limits to those of its machine.
fn spawn_front(settings: &PathBuf, machine: Machine, folder: &std::path::Path) -> Child {
    let log = File::create(folder.join("front.log")).expect("a log");
    Command::new("sh")
        .args(["-c", &format!("ulimit -n {}; exec \"$0\" --settings \"$1\"", machine.descriptors)])
        .arg(env!("CARGO_BIN_EXE_oleander-front"))
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("it starts")
}

fn rules() -> serde_json::Value {
    let route = |name: &str| {
        json!({
            "name": name, "host": "h", "path-prefix": format!("/{name}/"), "kind": "safe",
            "timeout-ms": 20_000, "target-latency-ms": 300, "priority": 2, "service": "s",
            "max-attempts": 2,
        })
    };
    json!({
        "version": 7, "routes": [route("any"), route("slow"), route("large")],
        "services": [{ "name": "s", "health-check": "/health", "max-connections": 500 }],
        "limits": {
            "max-header-bytes": HEAD_LIMIT, "max-body-bytes": REQUEST_LIMIT,
            "header-timeout-ms": CALLER_TIME.as_millis() as u64,
            "idle-timeout-ms": CALLER_TIME.as_millis() as u64,
        },
        "tenants": [{
            "name": "tartu", "api-keys": ["key-1"], "plain-tokens": 200, "rate-per-s": 0,
            "burst": 0,
        }],
    })
}

/// An endpoint that connections from `cut_off` do not reach.
async fn serve_endpoint(cut_off: Option<IpAddr>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((stream, peer)) = listener.accept().await {
            if Some(peer.ip()) != cut_off {
                actix_rt::spawn(serve_requests(stream));
            }
        }
    });
    address
}

/// Answers requests on one connection until it ends.
async fn serve_requests(mut stream: TcpStream) -> Option<()> {
    let mut buffer = Vec::new();
    loop {
        let end = loop {
            let end = buffer.windows(4).position(|text| text == b"\r\n\r\n");
            match end {
                Some(end) => break end + 4,
                None => match stream.read_buf(&mut buffer).await {
                    Ok(0) | Err(_) => return None,
                    Ok(_) => {}
                },
            }
        };
        let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
        let field = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name));
            line.map(|value| value.trim().to_owned())
        };
        let length: usize = field("content-length:").map_or(0, |text| text.parse().unwrap_or(0));
        let mut left = (end + length).saturating_sub(buffer.len());
        let mut scratch = vec![0; 64 << 10];
        while left > 0 {
            match stream.read(&mut scratch).await {
                Ok(0) | Err(_) => return None,
                Ok(count) => left = left.saturating_sub(count),
            }
        }
        buffer.clear();
        if head.contains(" /slow/") {
            sleep(SLOW_TIME).await;
        }
        let size = if head.contains(" /large/") { LARGE_ANSWER } else { 5 };
        let id = field("x-oleandertack-request-id:").unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
             X-Oleandertack-Response-Seal: seal\r\nContent-Length: {size}\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).await.ok()?;
        write_zeros(&mut stream, size, 64 << 10).await.ok()?;
    }
}
