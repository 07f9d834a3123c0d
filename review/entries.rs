use super::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

pub(super) fn run_scenario(name: &str) -> bool {
    match name {
        "late-refusal" => late_refusal(),
        "cut-unframed" => cut_unframed(),
        "engine" => engine_process(),
        "new-version" => new_version(),
        _ => stop("no such scenario"),
    }
}

/// The plain replicas that have ended: their ports are closed and their channels broken.
static ENDED: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());

fn has_ended(address: SocketAddr) -> bool {
    ENDED.lock().unwrap().contains(&address)
}

/// A plain replica: answers each request after 15 ms of work. `arrive` decides about each one.
fn plain_replica(
    (record, name): (&Record, &str),
    runs: &Arc<Mutex<HashMap<String, u32>>>,
    arrive: impl Fn(u64) -> (bool, bool) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = any_port("127.0.0.1");
    let address = listener.local_addr().unwrap();
    let (record, name, runs) = (record.clone(), name.to_owned(), runs.clone());
    let arrive = Arc::new(arrive);
    let count = Arc::new(AtomicU64::new(0));
    let _ = listener.set_nonblocking(true);
    thread::spawn(move || {
        let channels: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        loop {
            if has_ended(address) {
                for channel in channels.lock().unwrap().drain(..) {
                    let _ = channel.shutdown(std::net::Shutdown::Both);
                }
                return;
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            channels.lock().unwrap().extend(stream.try_clone());
            let (record, name, runs) = (record.clone(), name.clone(), runs.clone());
            let (arrive, count) = (arrive.clone(), count.clone());
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                let mut extra: Option<Vec<u8>> = None;
                while let Ok(Some(head)) = wire.head() {
                    let Ok(_) = wire.body(&head, false) else { return };
                    let id = head.get("x-oleandertack-request-id").unwrap_or("-").to_owned();
                    if head.get("x-oleandertack-expect-instance") != Some(name.as_str()) {
                        let refusal = format!(
                            "HTTP/1.1 421 Misdirected Request\r\nX-Oleandertack-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                        );
                        let _ = wire.send(refusal.as_bytes());
                        continue;
                    }
                    if let Some(extra) = extra.take() {
                        record.note(format!("{name} sends more bytes after its refusal of the request before: a refusal without an id"));
                        if wire.send(&extra).is_err() {
                            return;
                        }
                    }
                    let (is_full, is_doubled) = arrive(count.fetch_add(1, Ordering::SeqCst));
                    if is_full {
                        record.note(format!("{name} has no room for {id}: 503, not run"));
                        let refusal = format!(
                            "HTTP/1.1 503 Service Unavailable\r\nX-Oleandertack-Not-Executed: 1\r\nX-Oleandertack-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                        );
                        // The bytes that belong to no request: what a refusal looks like, and no id.
                        let bytes =
                            b"HTTP/1.1 503 Service Unavailable\r\nX-Oleandertack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                        extra = is_doubled.then(|| bytes.to_vec());
                        if wire.send(refusal.as_bytes()).is_err() {
                            return;
                        }
                        continue;
                    }
                    *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
                    match head.get("x-oleandertack-tenant") {
                        Some(tenant) => record.note(format!("{name} runs {id} of tenant {tenant}")),
                        None => record.note(format!("{name} runs {id} without a tenant")),
                    }
                    thread::sleep(Duration::from_millis(15));
                    let answer = format!(
                        "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Response-Seal: {id}.{name}\r\nContent-Length: 4\r\n\r\ndone"
                    );
                    if wire.send(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// A replica that has no room refuses a request, and sends additional bytes where the next answer is due: a refusal
/// that names no request.
fn late_refusal() -> bool {
    let (record, store) = (Record::new(), Store::default());
    let runs = Arc::new(Mutex::new(HashMap::new()));
    store.put("config", "main", plain_config(3, 1));
    for name in ["i-00000001", "i-00000002"] {
        // One of the two is faulty; more bytes follow one in 34 of its answers.
        let is_faulty = trouble() && name == "i-00000001";
        let address = plain_replica((&record, name), &runs, move |number| {
            (number % 17 == 5, is_faulty && number % 34 == 5)
        });
        store.put(
            "servers",
            name,
            server_entry("linescreen", address, ("ylemiste", 6, "v1", now_ms()), 1),
        );
    }
    let places = (store.serve("127.0.0.1"), serve_cloud("127.0.0.1", &record));
    let mut fronts = start_fronts(1, places, "");
    fronts[0].wait_ready();
    thread::sleep(Duration::from_secs(1));
    let mut client = Client::new(fronts[0].listen);
    let mut broken = 0;
    for number in 0..900 {
        let id = format!("{:016x}", 0x1000_0000_0000_0000u64 + number);
        let asked = client.ask(("POST", "/label/2f", &id), "", b"label", Duration::from_secs(1));
        let status = asked.as_ref().map_or("none".to_owned(), |answer| answer.status.clone());
        record.note(format!("the client gets {status} for {id}"));
        thread::sleep(Duration::from_millis(30));
        let ran = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
        if ran > 1 || (ran == 1 && ["429", "503", "408", "421"].contains(&status.as_str())) {
            broken += 1;
            record.note(format!("BROKEN: {id} ran {ran} times and was answered {status}"));
        }
    }
    record.note(format!("{broken} requests were refused as not run, or ran again, and had run"));
    fronts.iter_mut().for_each(Front::end);
    record.save();
    broken > 0
}

/// A config with one model service and one route of streams that may be resumed.
fn stream_config(version: u64) -> Json {
    json(&format!(
        "{{'version':{version},'routes':[\
          {{'name':'recipebook-redo','host':'{HOST}','path-prefix':'/redo/','kind':'streaming','stream-resume':true,'sticky-sessions':true,'gap-aim-ms':500,'timeout-ms':15000,'target-latency-ms':800,'priority':1,'service':'recipe','max-attempts':2}}],\
          'services':[{{'name':'recipe','max-connections':370,'engine':{{'slots':64,'kv-capacity-tokens':903655,'kv-token-bytes':35136,'link-mbps':1500000,'stride':5,'moves':false}}}}],\
          'limits':{{'max-header-bytes':16384,'max-body-bytes':4194304,'header-timeout-ms':3000,'idle-timeout-ms':15000}},\
          'tenants':[{{'name':'tenant-1','api-keys':['{KEY}'],'plain-tokens':200}}]}}"
    ))
}

/// What a model replica is at the moment.
struct Engine {
    name: String,
    address: SocketAddr,
    /// Its software version, which is part of each event.
    version: Mutex<String>,
    born: AtomicU64,
    /// Rises with each start; runs of an earlier one end.
    life: AtomicU64,
    is_up: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    /// The number of the answer that has neither a length nor chunks; 0 if all have chunks.
    unframed: AtomicU64,
    answers: AtomicU64,
}

const EVENTS: u64 = 40;
const EVENT_PAUSE: Duration = Duration::from_millis(80);

impl Engine {
    fn start(record: &Record, name: &str, version: &str) -> Arc<Engine> {
        let listener = any_port("127.0.0.1");
        let engine = Arc::new(Engine {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            version: Mutex::new(version.to_owned()),
            born: AtomicU64::new(now_ms()),
            life: AtomicU64::new(1),
            is_up: AtomicBool::new(true),
            streams: Mutex::default(),
            unframed: AtomicU64::new(0),
            answers: AtomicU64::new(0),
        });
        engine.clone().listen(record.clone(), listener);
        engine
    }
    fn listen(self: Arc<Self>, record: Record, listener: TcpListener) {
        let life = self.life.load(Ordering::SeqCst);
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            while self.life.load(Ordering::SeqCst) == life && self.is_up.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        if let Ok(copy) = stream.try_clone() {
                            self.streams.lock().unwrap().push(copy);
                        }
                        let (engine, record) = (self.clone(), record.clone());
                        thread::spawn(move || engine.serve(record, stream, life));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
        });
    }
    fn serve(&self, record: Record, stream: TcpStream, life: u64) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            let Ok(_) = wire.body(&head, false) else { return };
            if self.life.load(Ordering::SeqCst) != life {
                return;
            }
            let id = head.get("x-oleandertack-request-id").unwrap_or("-").to_owned();
            if head.get("x-oleandertack-expect-instance") != Some(self.name.as_str()) {
                let refusal = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Oleandertack-Request-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                if wire.send(refusal.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let from: u64 =
                head.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            let version = self.version.lock().unwrap().clone();
            record.note(format!(
                "{} of software {version} runs {id} from event {}",
                self.name,
                from + 1
            ));
            let is_unframed = self.answers.fetch_add(1, Ordering::SeqCst) + 1
                == self.unframed.load(Ordering::SeqCst);
            let framing =
                if is_unframed { "Connection: close" } else { "Transfer-Encoding: chunked" };
            if is_unframed {
                record.note(format!("{} answers {id} with neither a length nor chunks", self.name));
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Response-Seal: {id}.{}\r\nX-Oleandertack-Weights-Version: 1\r\n{framing}\r\n\r\n",
                self.name
            );
            if wire.send(head.as_bytes()).is_err() {
                return;
            }
            for number in from + 1..=EVENTS {
                thread::sleep(EVENT_PAUSE);
                if self.life.load(Ordering::SeqCst) != life {
                    return;
                }
                let event = format!("id: {number}\ndata: {version}\n\n");
                let piece =
                    if is_unframed { event } else { format!("{:x}\r\n{event}\r\n", event.len()) };
                if wire.send(piece.as_bytes()).is_err() {
                    return;
                }
            }
            if is_unframed {
                let _ = wire.stream.shutdown(std::net::Shutdown::Both);
                return;
            }
            if wire.send(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }
    /// Ends without notice; its channels break and its port is closed.
    fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.life.fetch_add(1, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
    /// Starts again under its name and at its address.
    fn start_again(self: &Arc<Self>, record: &Record, version: &str) {
        *self.version.lock().unwrap() = version.to_owned();
        self.born.store(now_ms(), Ordering::SeqCst);
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.is_up.store(true, Ordering::SeqCst);
                self.clone().listen(record.clone(), listener);
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        stop("a replica cannot listen again");
    }
    fn entry(&self, zone: &str, seq: u64) -> Json {
        let version = self.version.lock().unwrap().clone();
        server_entry(
            "recipe",
            self.address,
            (zone, 64, &version, self.born.load(Ordering::SeqCst)),
            seq,
        )
    }
}

/// One client's stream: the versions of its events, in order; it is taken up again after a broken channel.
fn follow_stream(record: &Record, listen: SocketAddr, first: u64) -> (Vec<String>, u64) {
    let (versions, last, _) = follow_to_end(record, listen, first);
    (versions, last)
}

/// As [`follow_stream`]; tells also whether the stream ended as complete.
fn follow_to_end(record: &Record, listen: SocketAddr, first: u64) -> (Vec<String>, u64, bool) {
    let (mut versions, mut last, mut began): (Vec<String>, u64, Option<String>) =
        (Vec::new(), 0, None);
    let deadline = Instant::now() + Duration::from_secs(15);
    for attempt in 0..4u64 {
        let left = deadline.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(100) {
            break;
        }
        let id = format!("{:016x}", first << 32 | attempt);
        let resumes = began.as_ref().map_or(String::new(), |began| {
            format!("Last-Event-Id: {last}\r\nResumes: {began}\r\n")
        });
        record.note(format!(
            "a client sends {id}{}",
            began.as_ref().map_or(String::new(), |began| format!(
                ", which takes up {began} after event {last}"
            ))
        ));
        let Ok(stream) = TcpStream::connect_timeout(&listen, Duration::from_secs(1)) else {
            continue;
        };
        let _ = stream.set_read_timeout(Some(left));
        let mut wire = Wire::new(stream);
        let request = format!(
            "POST /redo/2f HTTP/1.1\r\nHost: {HOST}\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Key: {KEY}\r\nX-Oleandertack-Model: m\r\nX-Oleandertack-Token-Count: 1460,200\r\nX-Oleandertack-Prompt-Prefix: a1:800,{first:x}:660\r\nX-Oleandertack-Deadline-Ms: {}\r\n{resumes}Content-Length: 4\r\n\r\nbook",
            left.as_millis()
        );
        if wire.send(request.as_bytes()).is_err() {
            continue;
        }
        let Ok(Some(head)) = wire.head() else {
            record.note(format!("{id}: the channel ends without an answer"));
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        if head.word(1) != "200" {
            let wait: f64 =
                head.get("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.1);
            record.note(format!("{id}: {}", head.first));
            thread::sleep(Duration::from_secs_f64(wait.max(0.1)));
            continue;
        }
        // Events of a chunked stream, each in a chunk of its own or several in one; or, with neither a length nor
        // chunks, until the channel ends: complete if it ends in order, broken if it is reset.
        let is_chunked = head.get("transfer-encoding").is_some();
        let is_whole = loop {
            let part = if is_chunked {
                let Ok(size) = wire.line() else { break false };
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                let Ok(part) = wire.exactly(size + 2) else { break false };
                if size == 0 {
                    break true;
                }
                part
            } else {
                match wire.fill() {
                    Ok(0) if wire.unread.is_empty() => break true,
                    Ok(count) if count > 0 => {}
                    _ => break false,
                }
                let end =
                    wire.unread.windows(2).rposition(|two| two == b"\n\n").map_or(0, |at| at + 2);
                wire.unread.drain(..end).collect()
            };
            for event in String::from_utf8_lossy(&part).split("\n\n") {
                let field = |name: &str| {
                    event
                        .lines()
                        .find_map(|line| line.strip_prefix(name))
                        .map(|text| text.trim().to_owned())
                };
                if let (Some(number), Some(version)) = (field("id:"), field("data:")) {
                    last = number.parse().unwrap_or(last);
                    began.get_or_insert(id.clone());
                    if versions.last() != Some(&version) {
                        record.note(format!("{id}: event {last} of software {version}"));
                        versions.push(version);
                    }
                }
            }
        };
        record.note(format!(
            "{id}: {} after event {last}",
            if is_whole { "complete" } else { "the channel breaks" }
        ));
        if is_whole {
            return (versions, last, true);
        }
        thread::sleep(Duration::from_millis(100));
    }
    (versions, last, false)
}

/// The replicas of a service crash one after the other, and start again under their ids with another version of their
/// software.
fn new_version() -> bool {
    /// How long a replica is down, from its start to its first entry, and from one replica to the next.
    const DOWN: Duration = Duration::from_millis(300);
    const UNTIL_ENTRY: Duration = Duration::from_millis(1000);
    const TURN: Duration = Duration::from_millis(1200);
    let (record, store) = (Record::new(), Store::default());
    store.put("config", "main", stream_config(3));
    let zones = ["ylemiste", "lasnamae", "kopli"];
    let names =
        ["i-00000001", "i-00000002", "i-00000003", "i-00000004", "i-00000005", "i-00000006"];
    let engines: Vec<Arc<Engine>> =
        names.iter().map(|name| Engine::start(&record, name, "v1")).collect();
    for (number, engine) in engines.iter().enumerate() {
        store.put("servers", &engine.name, engine.entry(zones[number % 3], 1));
    }
    let places = (store.serve("127.0.0.1"), serve_cloud("127.0.0.1", &record));
    let mut fronts = start_fronts(3, places, "");
    fronts.iter().for_each(Front::wait_ready);
    thread::sleep(Duration::from_secs(1));
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for number in 0..24u64 {
        let (record, over, listen) =
            (record.clone(), over.clone(), fronts[number as usize % 3].listen);
        clients.push(thread::spawn(move || {
            let mut streams = Vec::new();
            while !over.load(Ordering::SeqCst) {
                streams.push(follow_stream(
                    &record,
                    listen,
                    (number + 1) << 16 | streams.len() as u64,
                ));
            }
            streams
        }));
        thread::sleep(Duration::from_millis(30));
    }
    thread::sleep(Duration::from_secs(3));
    // Each time one of six: a share of 0.167.
    for (number, engine) in engines.iter().enumerate() {
        if trouble() {
            let (engine, record, store) = (engine.clone(), record.clone(), store.clone());
            thread::spawn(move || {
                record.note(format!("{} crashes", engine.name));
                engine.crash();
                thread::sleep(DOWN);
                engine.start_again(&record, "v2");
                record.note(format!("{} is back under its id, with software v2", engine.name));
                thread::sleep(UNTIL_ENTRY);
                store.put("servers", &engine.name, engine.entry(zones[number % 3], 2));
                record.note(format!("the store accepts the entry of {} with v2", engine.name));
            });
        }
        thread::sleep(TURN);
    }
    thread::sleep(Duration::from_secs(4));
    over.store(true, Ordering::SeqCst);
    let (mut joined, mut all) = (0, 0);
    for client in clients {
        for (versions, last) in client.join().unwrap_or_default() {
            all += 1;
            if versions.len() > 1 {
                joined += 1;
                record.note(format!("BROKEN: a stream has events up to {last} of {versions:?}"));
            }
        }
    }
    record.note(format!("{joined} of {all} streams hold events of two software versions"));
    fronts.iter_mut().for_each(Front::end);
    record.save();
    joined > 2
}

/// A replica as a process of its own, which can be killed: `rig engine NAME UNFRAMED`. Writes its address first, and then
/// what it does.
fn engine_process() -> bool {
    let words: Vec<String> = std::env::args().collect();
    let record = Record::new();
    let engine = Engine::start(&record, &words[2], "v1");
    engine.unframed.store(words[3].parse().unwrap_or(0), Ordering::SeqCst);
    println!("{}", engine.address);
    let mut told = 0;
    loop {
        thread::sleep(Duration::from_millis(20));
        let lines = record.lines();
        for line in &lines[told..] {
            println!("{}", line.split_once("s  ").map_or(line.as_str(), |(_, text)| text));
        }
        told = lines.len();
    }
}

/// A replica is killed while one of its streams has neither a length nor chunks.
fn cut_unframed() -> bool {
    use std::io::BufRead;
    let (record, store) = (Record::new(), Store::default());
    store.put("config", "main", stream_config(3));
    let names =
        ["i-00000001", "i-00000002", "i-00000003", "i-00000004", "i-00000005", "i-00000006"];
    let mut engines = Vec::new();
    let runs_unframed = Arc::new(AtomicBool::new(false));
    for (number, name) in names.into_iter().enumerate() {
        // One answer of one replica: below 2 in 100 of its answers, and it is one of six.
        let unframed = if number == 0 { "20" } else { "0" };
        let program = std::env::current_exe().unwrap_or_else(|_| stop("no path of the rig"));
        let child = Command::new(program)
            .args(["engine", name, unframed])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = note_started(child.unwrap_or_else(|_| stop("a replica does not start")));
        let mut lines = io::BufReader::new(child.stdout.take().unwrap()).lines();
        let address = lines.next().and_then(Result::ok).and_then(|text| text.parse().ok());
        let address: SocketAddr = address.unwrap_or_else(|| stop("a replica names no address"));
        let (told, runs_unframed) = (record.clone(), runs_unframed.clone());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if line.contains("neither a length") {
                    runs_unframed.store(true, Ordering::SeqCst);
                }
                told.note(line);
            }
        });
        store.put(
            "servers",
            name,
            server_entry(
                "recipe",
                address,
                (["ylemiste", "lasnamae", "kopli"][number % 3], 64, "v1", now_ms()),
                1,
            ),
        );
        engines.push(child);
    }
    let places = (store.serve("127.0.0.1"), serve_cloud("127.0.0.1", &record));
    let mut fronts = start_fronts(2, places, "");
    fronts.iter().for_each(Front::wait_ready);
    thread::sleep(Duration::from_secs(1));
    let mut clients = Vec::new();
    for number in 0..330u64 {
        let (record, listen) = (record.clone(), fronts[number as usize % 2].listen);
        clients.push(thread::spawn(move || follow_to_end(&record, listen, number + 1)));
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(300));
    let is_running = runs_unframed.load(Ordering::SeqCst);
    if trouble() {
        let _ = engines[0].kill();
        record.note(format!("{} is killed", names[0]));
    }
    let mut broken = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let (_, last, is_whole) = client.join().unwrap_or_default();
        if is_whole && last < EVENTS {
            broken += 1;
            record.note(format!(
                "BROKEN: stream {} ended as complete after event {last} of {EVENTS}",
                number + 1
            ));
        }
    }
    record.note(format!("{broken} streams ended as complete before their last event"));
    fronts.iter_mut().for_each(Front::end);
    for engine in &mut engines {
        let _ = engine.kill();
        let _ = engine.wait();
        note_ended(engine);
    }
    record.save();
    if !is_running {
        stop("no stream without a length was under way");
    }
    broken > 0
}
