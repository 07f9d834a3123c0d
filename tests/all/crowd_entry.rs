//! A real entry process, which serves the own interface, and the callers of its crowd tests.

use crate::crowd_site::{StayingCallers, assert_process_bounded, own_address, write_zeros};
use crate::front::read_answer;
use oleandertack::rig::cluster::{CALLER_KEY, MODEL, operator};
use oleandertack::rig::{Rig, RigSettings};
use serde_json::json;
use std::fs::File;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The longest body, in bytes.
pub const BODY_LIMIT: usize = 8 << 20;
/// Bytes of all requests that the process may hold.
const HELD_LIMIT: usize = 24 << 20;
/// Bytes of kept answers.
const KEPT_LIMIT: usize = 8 << 20;
/// Memory of the machine, in megabytes: what may be held and kept, and as much again for the process itself.
const MEMORY_MB: usize = 64;
/// Descriptors of the machine, which the system enforces.
const DESCRIPTORS: usize = 456;
/// How long one caller of a crowd may be at sending.
const SEND_TIME: Duration = Duration::from_secs(8);
/// How long an ordinary caller waits.
const ORDINARY_TIME: Duration = Duration::from_secs(10);

/// A body that arrives steadily: its bytes, in how many pieces it is sent, and the pause after each.
const STEADY_BYTES: usize = 256 << 10;
const STEADY_PIECES: usize = 64;
const STEADY_PAUSE: Duration = Duration::from_millis(20);

/// Between two callers who come one after another.
const TURN_PAUSE: Duration = Duration::from_millis(5);

/// The head of a request with a body of `length` bytes.
fn chat_head(length: usize) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {CALLER_KEY}\r\n\
         Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
    )
}

async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let answer = timeout(ORDINARY_TIME, read_answer(stream)).await.ok()?;
    answer.text.get(9..12)?.parse().ok()
}

fn ordinary_body() -> serde_json::Value {
    json!({
        "model": MODEL, "max_tokens": 3, "messages": [{ "role": "user", "content": "soup" }],
    })
}

/// An entry process among stand-ins.
pub struct EntrySite {
    listen: SocketAddr,
    child: Child,
    _rig: Rig,
}

impl Drop for EntrySite {
    fn drop(&mut self) {
        // It may have ended, which the test told.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl EntrySite {
    /// Starts the process and waits until it is ready.
    pub async fn start() -> Self {
        let shape = RigSettings { entries: 0, engines: 1, plains: 1, ..RigSettings::default() };
        let rig = Rig::start(shape, |_, _| None).await.expect("the rig starts");
        let ip = own_address();
        let port = |offset: u16| SocketAddr::from((ip, 20_000 + offset));
        let settings = json!({
            "instance": "entry-0", "domain": "ylemiste", "listen": port(0), "admin": port(1),
            "peer": port(2), "platform": rig.standin, "list": format!("{}/list", rig.standin),
            "root_keys": [operator().public_hex()], "descriptors": DESCRIPTORS,
            "bounds": {
                "body_bytes": BODY_LIMIT, "held_bytes": HELD_LIMIT, "kept_bytes": KEPT_LIMIT,
            },
        });
        let folder = std::env::temp_dir().join(format!("oleander-crowd-{ip}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let path = folder.join("entry.json");
        std::fs::write(&path, settings.to_string()).expect("a settings file");
        let log = File::create(folder.join("entry.log")).expect("a log");
        let child = Command::new("sh")
            .args(["-c", &format!("ulimit -n {DESCRIPTORS}; exec \"$0\" --settings \"$1\"")])
            .arg(env!("CARGO_BIN_EXE_oleander-entry"))
            .arg(path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("it starts");
        let site = EntrySite { listen: port(0), child, _rig: rig };
        while site.ask().await != Some(200) {
            sleep(Duration::from_millis(50)).await;
        }
        site
    }

    /// Lets `count` callers announce a body of `announced` bytes, send `sent` of it, and stay.
    pub async fn send_bodies(
        &self,
        count: usize,
        (announced, sent): (usize, usize),
    ) -> StayingCallers {
        let head = chat_head(announced);
        let sending = (0..count).map(|_| async {
            let mut stream = TcpStream::connect(self.listen).await.ok()?;
            stream.write_all(head.as_bytes()).await.ok()?;
            // The process need neither read it all nor keep the connection.
            let _ = timeout(SEND_TIME, write_zeros(&mut stream, sent, 64 << 10)).await;
            Some(stream)
        });
        StayingCallers::of(sending).await
    }

    /// Lets `count` callers, one after another, announce the longest body, send a byte of it, and stay.
    pub async fn announce_in_turn(&self, count: usize) -> Vec<StayingCallers> {
        let mut callers = Vec::new();
        for _ in 0..count {
            callers.push(self.send_bodies(1, (BODY_LIMIT, 1)).await);
            sleep(TURN_PAUSE).await;
        }
        callers
    }

    /// Sends an ordinary request with a body of [`STEADY_BYTES`] in [`STEADY_PIECES`] pieces, one after each
    /// [`STEADY_PAUSE`]; returns the status of its answer, or none without an answer.
    pub async fn send_steadily(&self) -> Option<u16> {
        let mut body = ordinary_body().to_string();
        body.push_str(&" ".repeat(STEADY_BYTES - body.len()));
        let mut stream = TcpStream::connect(self.listen).await.ok()?;
        stream.write_all(chat_head(STEADY_BYTES).as_bytes()).await.ok()?;
        for piece in body.as_bytes().chunks(STEADY_BYTES / STEADY_PIECES) {
            stream.write_all(piece).await.ok()?;
            sleep(STEADY_PAUSE).await;
        }
        read_status(&mut stream).await
    }

    /// Connects, and sends an ordinary request `pause` later; returns the status of its answer, or none without one.
    pub async fn ask_after(&self, pause: Duration) -> Option<u16> {
        let mut stream = TcpStream::connect(self.listen).await.ok()?;
        sleep(pause).await;
        let body = ordinary_body().to_string();
        stream.write_all((chat_head(body.len()) + &body).as_bytes()).await.ok()?;
        read_status(&mut stream).await
    }

    /// Lets `count` callers connect and stay.
    pub async fn send_nothing(&self, count: usize) -> StayingCallers {
        let connecting = (0..count).map(|_| async {
            let connected = timeout(SEND_TIME, TcpStream::connect(self.listen)).await;
            connected.ok()?.ok()
        });
        StayingCallers::of(connecting).await
    }

    /// Lets `count` callers connect one after another, ask once and stay.
    pub async fn send_once(&self, count: usize) -> StayingCallers {
        let mut streams = Vec::new();
        for _ in 0..count {
            let mut stream = TcpStream::connect(self.listen).await.expect("it listens");
            stream.write_all(b"GET /none HTTP/1.1\r\nHost: h\r\n\r\n").await.expect("written");
            let answered = timeout(ORDINARY_TIME, stream.read_u8()).await;
            answered.expect("an answer in time").expect("an answer");
            streams.push(stream);
        }
        StayingCallers::of(streams.into_iter().map(|stream| async { Some(stream) })).await
    }

    /// Asserts that the process lives within its memory and descriptors.
    pub fn assert_bounded(&self) {
        assert_process_bounded("entry", self.child.id(), (MEMORY_MB, DESCRIPTORS));
    }

    /// Asserts that an ordinary request is answered.
    pub async fn assert_answers_ordinary(&self) {
        assert_eq!(self.ask().await, Some(200));
    }

    /// The status of the answer to an ordinary request; none without an answer.
    async fn ask(&self) -> Option<u16> {
        let client = awc::Client::builder().timeout(ORDINARY_TIME).finish();
        let request = client
            .post(format!("http://{}/v1/chat/completions", self.listen))
            .insert_header(("authorization", format!("Bearer {CALLER_KEY}")));
        let answer = request.send_json(&ordinary_body()).await.ok()?;
        Some(answer.status().as_u16())
    }
}
