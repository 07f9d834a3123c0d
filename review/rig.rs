//! Stand-ins for a review of `oleander-front`: the platform's store and duty API, replicas and clients, on
//! loopback addresses and with the standard library alone. Each scenario starts the program of the deploy file,
//! plays its trouble (none with TROUBLE=0), writes record.txt and exits with 1 if the rule was broken, with 0 if it
//! held and with 2 if the case could not run.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(BTreeMap<String, Json>),
}

impl Json {
    fn get(&self, key: &str) -> &Json {
        match self {
            Json::Obj(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }
    fn str(&self) -> &str {
        if let Json::Str(text) = self { text } else { "" }
    }
    fn num(&self) -> Option<f64> {
        if let Json::Num(number) = self { Some(*number) } else { None }
    }
    fn text(&self) -> String {
        let mut out = String::new();
        self.write(&mut out);
        out
    }
    fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(flag) => out.push_str(if *flag { "true" } else { "false" }),
            Json::Num(number) if number.fract() == 0.0 && number.abs() < 9e15 => {
                let _ = write!(out, "{}", *number as i64);
            }
            Json::Num(number) => {
                let _ = write!(out, "{number}");
            }
            Json::Str(text) => {
                out.push('"');
                for letter in text.chars() {
                    match letter {
                        '"' => out.push_str("\\\""),
                        '\\' => out.push_str("\\\\"),
                        letter if (letter as u32) < 0x20 => {
                            let _ = write!(out, "\\u{:04x}", letter as u32);
                        }
                        letter => out.push(letter),
                    }
                }
                out.push('"');
            }
            Json::Arr(items) => {
                out.push('[');
                for (at, item) in items.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Obj(map) => {
                out.push('{');
                for (at, (key, value)) in map.iter().enumerate() {
                    if at > 0 {
                        out.push(',');
                    }
                    Json::Str(key.clone()).write(out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }
    fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = Json::value(bytes, &mut at)?;
        Some(value)
    }
    fn skip(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }
    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Json::skip(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut map = BTreeMap::new();
                loop {
                    Json::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b'}' => {
                            *at += 1;
                            return Some(Json::Obj(map));
                        }
                        b',' => *at += 1,
                        _ => {
                            let Json::Str(key) = Json::value(bytes, at)? else { return None };
                            Json::skip(bytes, at);
                            if *bytes.get(*at)? != b':' {
                                return None;
                            }
                            *at += 1;
                            map.insert(key, Json::value(bytes, at)?);
                        }
                    }
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::Arr(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Json::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return String::from_utf8(text).ok().map(Json::Str);
                        }
                        b'\\' => {
                            let letter = *bytes.get(*at + 1)?;
                            *at += 2;
                            match letter {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let code =
                                        std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                                    let code = u32::from_str_radix(code, 16).ok()?;
                                    *at += 4;
                                    let mut room = [0; 4];
                                    let letter = char::from_u32(code).unwrap_or('?');
                                    text.extend_from_slice(
                                        letter.encode_utf8(&mut room).as_bytes(),
                                    );
                                }
                                other => text.push(other),
                            }
                        }
                        byte => {
                            text.push(byte);
                            *at += 1;
                        }
                    }
                }
            }
            b't' => {
                *at += 4;
                Some(Json::Bool(true))
            }
            b'f' => {
                *at += 5;
                Some(Json::Bool(false))
            }
            b'n' => {
                *at += 4;
                Some(Json::Null)
            }
            _ => {
                let from = *at;
                while *at < bytes.len() && b"+-0123456789.eE".contains(&bytes[*at]) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[from..*at]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }
}

/// A JSON text; `'` stands for `"`.
fn json(text: &str) -> Json {
    Json::parse(&text.replace('\'', "\"")).unwrap_or_else(|| panic!("bad JSON in the rig: {text}"))
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug, Default)]
struct Head {
    first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
    fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or("")
    }
}

/// A connection with its unread bytes.
struct Wire {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Wire {
    fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, unread: Vec::new() }
    }
    fn fill(&mut self) -> io::Result<usize> {
        let mut room = [0; 65536];
        let count = self.stream.read(&mut room)?;
        self.unread.extend_from_slice(&room[..count]);
        Ok(count)
    }
    /// The next head; none if the other side closed before one began.
    fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.unread.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let header = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_owned(), value.trim().to_owned()))
                };
                return Ok(Some(Head { first, headers: lines.filter_map(header).collect() }));
            }
            if self.fill()? == 0 {
                return if self.unread.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }
    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.unread.drain(..count).collect())
    }
    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.unread.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.unread.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
    /// The body that follows `head`; `is_answer` if one without length or chunks lasts until the connection ends.
    fn body(&mut self, head: &Head, is_answer: bool) -> io::Result<Vec<u8>> {
        if let Some(length) = head.get("content-length") {
            return self.exactly(length.parse().unwrap_or(0));
        }
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .unwrap_or(0);
                let part = self.exactly(size + 2)?;
                if size == 0 {
                    return Ok(body);
                }
                body.extend_from_slice(&part[..size]);
            }
        }
        if is_answer {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.unread));
        }
        Ok(Vec::new())
    }
    fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn any_port(ip: &str) -> TcpListener {
    TcpListener::bind((ip, 0)).unwrap_or_else(|_| stop("no free port"))
}

fn stop(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    end_started();
    std::process::exit(2)
}

/// The processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn note_started(child: Child) -> Child {
    STARTED.lock().unwrap().push(child.id());
    child
}

fn note_ended(child: &Child) {
    STARTED.lock().unwrap().retain(|id| *id != child.id());
}

/// Ends what is left, however the case ends.
fn end_started() {
    let left = std::mem::take(&mut *STARTED.lock().unwrap_or_else(|fault| fault.into_inner()));
    for id in left {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct StoreState {
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, name, whether it is gone.
    changes: Vec<(u64, String, String, bool)>,
    revision: u64,
}

/// Stands for a byte of an entry that cannot be read; sent as 0xff.
const UNREADABLE: u8 = b'^';

/// The platform's store in the form of objects: lists, watches and conditional writes.
#[derive(Clone, Default)]
struct Store(Arc<(Mutex<StoreState>, Condvar)>);

impl Store {
    fn put(&self, kind: &str, name: &str, spec: Json) -> u64 {
        let mut state = self.0.0.lock().unwrap();
        let revision = Store::write(&mut state, kind, name, Some(spec), None);
        self.0.1.notify_all();
        revision
    }
    fn remove(&self, kind: &str, name: &str) {
        let mut state = self.0.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        if state.objects.remove(&key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push((revision, key.0, key.1, true));
        }
        self.0.1.notify_all();
    }
    fn read(&self, kind: &str, name: &str) -> Option<Object> {
        self.0.0.lock().unwrap().objects.get(&(kind.to_owned(), name.to_owned())).cloned()
    }
    fn write(
        state: &mut StoreState,
        kind: &str,
        name: &str,
        spec: Option<Json>,
        status: Option<Json>,
    ) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        let same = known.as_ref().is_some_and(|known| {
            spec.as_ref().is_none_or(|spec| *spec == known.spec)
                && status.as_ref().is_none_or(|status| *status == known.status)
        });
        if let Some(known) = known.as_ref().filter(|_| same) {
            return known.revision;
        }
        state.revision += 1;
        let revision = state.revision;
        let created = known.as_ref().map_or(revision, |known| known.created);
        let old = known.map_or((Json::Null, Json::Null), |known| (known.spec, known.status));
        let object = Object {
            revision,
            created,
            spec: spec.unwrap_or(old.0),
            status: status.unwrap_or(old.1),
        };
        state.objects.insert(key.clone(), object);
        state.changes.push((revision, key.0, key.1, false));
        revision
    }
    fn object(name: &str, object: &Object) -> String {
        format!(
            "{{\"metadata\":{{\"name\":{},\"revision\":{},\"create-revision\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":{}}}",
            Json::Str(name.to_owned()).text(),
            object.revision,
            object.created,
            object.spec.text(),
            object.status.text()
        )
    }
    fn serve(&self, ip: &str) -> SocketAddr {
        let listener = any_port(ip);
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Ok(Some(head)) = wire.head() {
                        let Ok(body) = wire.body(&head, false) else { return };
                        let (status, text) = store.answer(&head, &body);
                        let mut text = text.into_bytes();
                        text.iter_mut()
                            .filter(|byte| **byte == UNREADABLE)
                            .for_each(|byte| *byte = 0xff);
                        let answer = format!(
                            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                            text.len()
                        );
                        if wire.send(&[answer.as_bytes(), &text].concat()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }
    fn answer(&self, head: &Head, body: &[u8]) -> (u16, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let parts: Vec<&str> = path.trim_start_matches("/-/objects/").split('/').collect();
        let (kind, name) = (parts[0], parts.get(1).copied());
        let wire = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let expected = wire.get("metadata").get("revision").num().map(|number| number as u64);
        let expected =
            expected.or_else(|| query.get("revision").and_then(|text| text.parse().ok()));
        match (head.word(0), name) {
            ("GET", None) if query.contains_key("watch") => {
                let from: u64 = query["watch"].parse().unwrap_or(0);
                let wait = query.get("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.watch(kind, from, Duration::from_millis(wait))
            }
            ("GET", None) => {
                let state = self.0.0.lock().unwrap();
                let items: Vec<String> = state
                    .objects
                    .iter()
                    .filter(|((of, _), _)| of == kind)
                    .map(|((_, name), object)| Store::object(name, object))
                    .collect();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"has-more\":false,\"as-of\":{}}}",
                        items.join(","),
                        state.revision
                    ),
                )
            }
            ("GET", Some(name)) => match self.read(kind, name) {
                Some(object) => (200, Store::object(name, &object)),
                None => (404, "{}".to_owned()),
            },
            ("POST", None) => {
                let name = wire.get("metadata").get("name").str().to_owned();
                self.change(
                    kind,
                    &name,
                    |known| known.is_none(),
                    (Some(wire.get("spec").clone()), None),
                )
            }
            ("PUT", Some(name)) => {
                let may = |known: Option<u64>| {
                    known.is_some() && (expected.is_none() || known == expected)
                };
                let news = match parts.get(2) {
                    Some(_) => (None, Some(wire.get("status").clone())),
                    None => (Some(wire.get("spec").clone()), None),
                };
                self.change(kind, name, may, news)
            }
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }
    fn change(
        &self,
        kind: &str,
        name: &str,
        may: impl Fn(Option<u64>) -> bool,
        (spec, status): (Option<Json>, Option<Json>),
    ) -> (u16, String) {
        let mut state = self.0.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).map(|object| object.revision);
        if !may(known) {
            return match state.objects.get(&key) {
                Some(object) => (409, Store::object(name, object)),
                None => (404, "{}".to_owned()),
            };
        }
        Store::write(&mut state, kind, name, spec, status);
        self.0.1.notify_all();
        (200, Store::object(name, &state.objects[&key]))
    }
    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let event = |(revision, of, name, gone): &(u64, String, String, bool)| {
                if of != kind || *revision <= from {
                    return None;
                }
                let known = state.objects.get(&(of.clone(), name.clone()));
                let last = known.is_some_and(|known| known.revision == *revision)
                    || (*gone && known.is_none());
                if !last {
                    return None;
                }
                let nothing = Object {
                    revision: *revision,
                    created: 0,
                    spec: Json::Null,
                    status: Json::Null,
                };
                let object = Store::object(name, known.unwrap_or(&nothing));
                Some(format!("{{\"object\":{object},\"tombstone\":{gone}}}"))
            };
            let events: Vec<String> = state.changes.iter().filter_map(event).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                return (
                    200,
                    format!("{{\"events\":[{}],\"as-of\":{}}}", events.join(","), state.revision),
                );
            }
            state = self.0.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- the record

/// What was sent, answered and run, in order.
#[derive(Clone)]
struct Record(Arc<(Instant, Mutex<Vec<String>>)>);

impl Record {
    fn new() -> Record {
        Record(Arc::new((Instant::now(), Mutex::new(Vec::new()))))
    }
    fn note(&self, line: String) {
        let at = self.0.0.elapsed().as_secs_f64();
        self.0.1.lock().unwrap().push(format!("{at:9.3} s  {line}"));
    }
    fn lines(&self) -> Vec<String> {
        self.0.1.lock().unwrap().clone()
    }
    fn save(&self) {
        let folder =
            std::env::var("CASE").unwrap_or_else(|_| stop("CASE names the folder of the case"));
        let text = self.0.1.lock().unwrap().join("\n") + "\n";
        if std::fs::write(PathBuf::from(folder).join("record.txt"), text).is_err() {
            stop("record.txt cannot be written");
        }
    }
}

fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- the program

struct Front {
    child: Child,
    listen: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    name: String,
    command: Vec<String>,
}

/// The folder for settings and logs.
fn folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&folder);
    folder
}

/// The words of `run` in the deploy file.
fn deploy_command() -> Vec<String> {
    let text = std::fs::read_to_string("deploy/system.toml").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = "));
    let line = line.unwrap_or_else(|| stop("the deploy file names no program"));
    line.trim().trim_matches('"').split(' ').map(str::to_owned).collect()
}

/// `count` settings as the template renders them, with `more` among the bounds.
fn start_fronts(count: usize, (store, cloud): (SocketAddr, SocketAddr), more: &str) -> Vec<Front> {
    let ip = "127.0.0.1";
    let held: Vec<Vec<TcpListener>> =
        (0..count).map(|_| (0..4).map(|_| any_port(ip)).collect()).collect();
    let ports: Vec<Vec<SocketAddr>> =
        held.iter().map(|own| own.iter().map(|one| one.local_addr().unwrap()).collect()).collect();
    drop(held);
    let seeds: Vec<String> = ports.iter().take(3).map(|own| format!("\"{}\"", own[2])).collect();
    let zones = ["ylemiste", "lasnamae", "kopli"];
    let mut fronts = Vec::new();
    for (number, own) in ports.iter().enumerate() {
        let name = format!("front-{}-{}", zones[number % 3], 1 + number / 3);
        let text = format!(
            "{{\"instance\":\"{name}\",\"domain\":\"{}\",\"listen\":\"{}\",\"ready\":\"{}\",\"peer\":\"{}\",\"admin\":\"{}\",\
             \"seeds\":[{}],\"store\":\"{store}\",\"cloud\":\"{cloud}\",\"link_mbps\":1000.0,\"cores\":0.25,\"dispatch\":true,\
             \"bounds\":{{\"grace_s\":8,\"drain_ms\":2000,\"lease_ms\":3000,\"fenced\":true,\"retry_ratio\":0.2,\"retry_slack\":58,\
             \"retry_window_s\":10,\"limit_over\":0.1,\"limit_slack\":140000,\"limit_window_s\":8,\"usage_window_s\":5,\
             \"usage_due_s\":10,\"apply_ms\":2000,\"heartbeat_ms\":1200,\"relist_ms\":2200{more}}}}}",
            zones[number % 3],
            own[0],
            own[1],
            own[2],
            own[3],
            seeds.join(",")
        );
        let settings = folder().join(format!("{name}.json"));
        if std::fs::write(&settings, text).is_err() {
            stop("settings cannot be written");
        }
        let command = deploy_command();
        let child = spawn_front(&command, &settings, &name);
        fronts.push(Front { child, listen: own[0], ready: own[1], settings, name, command });
    }
    fronts
}

fn spawn_front(command: &[String], settings: &PathBuf, name: &str) -> Child {
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(folder().join(format!("{name}.log")));
    let log = log.unwrap_or_else(|_| stop("no log file"));
    let child = Command::new(&command[0])
        .args(&command[1..])
        .env("OLEANDERTACK_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap_or_else(|_| stop("no log file")))
        .stderr(log)
        .spawn();
    note_started(child.unwrap_or_else(|_| stop("the program does not start; build it first")))
}

impl Front {
    fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let mut wire = Wire::new(stream);
        let _ = wire.send(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
        matches!(wire.head(), Ok(Some(head)) if head.word(1) == "200")
    }
    fn wait_ready(&self) {
        for _ in 0..100 {
            if self.is_ready() {
                return;
            }
            thread::sleep(Duration::from_millis(100));
        }
        stop("a front is not ready after 10 s");
    }
    fn signal(&self, name: &str) {
        let _ =
            Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }
    fn end(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        note_ended(&self.child);
    }
}

/// A duty API that accepts every call.
fn serve_cloud(ip: &str, record: &Record) -> SocketAddr {
    let listener = any_port(ip);
    let address = listener.local_addr().unwrap();
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = record.clone();
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(Some(head)) = wire.head() {
                    let Ok(body) = wire.body(&head, false) else { return };
                    record.note(format!(
                        "duty call {} by {} fence {}: {}",
                        head.word(1),
                        head.get("x-oleandertack-duty-holder").unwrap_or("-"),
                        head.get("x-oleandertack-fencing-token").unwrap_or("-"),
                        String::from_utf8_lossy(&body)
                    ));
                    if wire.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

// ---------------------------------------------------------------- clients

/// The answer that a client got: status, id, seal and body; or how the channel ended.
struct Answer {
    status: String,
    head: Head,
    body: io::Result<Vec<u8>>,
}

/// A client's kept channel.
struct Client {
    address: SocketAddr,
    wire: Option<Wire>,
    /// The time budget that it states, if it leaves sooner than that.
    stated: Option<Duration>,
}

impl Client {
    fn new(address: SocketAddr) -> Client {
        Client { address, wire: None, stated: None }
    }
    fn ask(
        &mut self,
        (method, path, id): (&str, &str, &str),
        more: &str,
        body: &[u8],
        limit: Duration,
    ) -> io::Result<Answer> {
        let mut wire = match self.wire.take() {
            Some(wire) => wire,
            None => Wire::new(TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?),
        };
        wire.stream.set_read_timeout(Some(limit))?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Key: {KEY}\r\n\
             X-Oleandertack-Deadline-Ms: {}\r\n{more}",
            self.stated.unwrap_or(limit).as_millis()
        );
        if method != "GET" {
            let _ = write!(head, "Content-Length: {}\r\n", body.len());
        }
        head.push_str("\r\n");
        wire.send(&[head.as_bytes(), body].concat())?;
        let head = wire.head()?.ok_or(io::Error::from(io::ErrorKind::ConnectionAborted))?;
        let answer = wire.body(&head, true);
        let framed =
            head.get("content-length").is_some() || head.get("transfer-encoding").is_some();
        let closes =
            head.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if answer.is_ok() && framed && !closes {
            self.wire = Some(wire);
        }
        Ok(Answer { status: head.word(1).to_owned(), head, body: answer })
    }
}

const HOST: &str = "review.example";
const KEY: &str = "review-key-1";

/// A config with one plain service; `attempts` are those of its unsafe route.
fn plain_config(version: u64, attempts: u32) -> Json {
    json(&format!(
        "{{'version':{version},'routes':[\
          {{'name':'label-proof','host':'{HOST}','path-prefix':'/label/','kind':'unsafe','timeout-ms':1000,'target-latency-ms':100,'priority':2,'service':'linescreen','max-attempts':{attempts}}},\
          {{'name':'batchcode-proof','host':'{HOST}','path-prefix':'/batch/','kind':'safe','timeout-ms':1000,'target-latency-ms':100,'priority':2,'service':'linescreen','max-attempts':2}}],\
          'services':[{{'name':'linescreen','max-connections':110}}],\
          'limits':{{'max-header-bytes':16384,'max-body-bytes':4194304,'header-timeout-ms':3000,'idle-timeout-ms':15000}},\
          'tenants':[{{'name':'tenant-1','api-keys':['{KEY}'],'plain-tokens':200}}]}}"
    ))
}

fn server_entry(
    service: &str,
    address: SocketAddr,
    (zone, slots, version, born): (&str, u32, &str, u64),
    seq: u64,
) -> Json {
    json(&format!(
        "{{'service':'{service}','address':'{address}','zone':'{zone}','version':'{version}','slots':{slots},'state':'ready','cold-remaining-ms':0,'born':{born},'seq':{seq}}}"
    ))
}

include!("scenarios.rs");

mod entries;

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let broken =
        std::panic::catch_unwind(|| run_scenario(&name)).unwrap_or_else(|_| stop("the rig failed"));
    end_started();
    let _ = std::fs::remove_dir_all(folder());
    std::process::exit(i32::from(broken));
}
