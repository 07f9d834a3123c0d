/// A replica of a plain service. Each request that it runs is noted.
#[derive(Clone)]
struct Replica {
    id: String,
    address: SocketAddr,
    runs: Arc<Mutex<Vec<(Instant, String)>>>,
}

fn start_replica(ip: &str, id: &str, work_ms: u64, record: &Record) -> Replica {
    let listener = any_port(ip);
    let address = listener.local_addr().unwrap();
    let replica = Replica { id: id.to_owned(), address, runs: Arc::default() };
    let own = replica.clone();
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (own, record) = (own.clone(), record.clone());
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(Some(head)) = wire.head() {
                    let Ok(_body) = wire.body(&head, false) else { return };
                    let id = head.get("x-oleandertack-request-id").unwrap_or("").to_owned();
                    let expected = head.get("x-oleandertack-expect-instance");
                    if expected.is_some_and(|name| name != own.id) {
                        let text = format!(
                            "HTTP/1.1 421 X\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        );
                        if wire.send(text.as_bytes()).is_err() {
                            return;
                        }
                        continue;
                    }
                    own.runs.lock().unwrap().push((Instant::now(), id.clone()));
                    record.note(format!("{} runs {id}", own.id));
                    thread::sleep(Duration::from_millis(work_ms));
                    let body = format!("answer of {} to {id}", own.id);
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Response-Seal: {}.{id}\r\nContent-Length: {}\r\n\r\n{body}",
                        own.id,
                        body.len()
                    );
                    if wire.send(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    replica
}

fn run_scenario(name: &str) -> bool {
    match name {
        "unreadable-entry" => unreadable_entry(),
        "streams-after-kill" => streams_after_kill(),
        "streams-after-stops" => streams_after_stops(),
        _ => entries::run_scenario(name),
    }
}

/// After all processes were killed and started again, an entry with bytes that cannot be read stands in the list.
fn unreadable_entry() -> bool {
    let ip = "127.0.0.1";
    let record = Record::new();
    let store = Store::default();
    let cloud = serve_cloud(ip, &record);
    let one = start_replica(ip, "i-1", 15, &record);
    let two = start_replica(ip, "i-2", 15, &record);
    store.put("config", "main", plain_config(3, 1));
    for (n, (r, zone)) in [(&one, "ylemiste"), (&two, "kopli")].iter().enumerate() {
        store.put(
            "servers",
            &r.id,
            server_entry("linescreen", r.address, (zone, 6, "1", now_ms()), n as u64),
        );
    }
    let address = store.serve(ip);
    let mut fronts = start_fronts(3, (address, cloud), "");
    fronts.iter().for_each(Front::wait_ready);
    thread::sleep(Duration::from_secs(1));
    let ask = |fronts: &[Front], tag: &str, count: usize| {
        let mut served = 0;
        for n in 0..count {
            let id = format!("{tag}-{n}");
            let mut client = Client::new(fronts[n % fronts.len()].listen);
            let answer = client.ask(("GET", "/batch/1", &id), "", b"", Duration::from_millis(1000));
            let status = answer.map_or_else(|fault| fault.to_string(), |answer| answer.status);
            record.note(format!("{id} answered {status}"));
            served += usize::from(status == "200");
            thread::sleep(Duration::from_millis(50));
        }
        served
    };
    let before = ask(&fronts, "before", 60);
    if trouble() {
        store.put("servers", "other-1", json("{'service':'linescreen','note':'^^'}"));
        record.note("another writer's entry with bytes that cannot be read".to_owned());
    }
    let during = ask(&fronts, "during", 60);
    for front in &mut fronts {
        front.end();
    }
    record.note("all killed".to_owned());
    thread::sleep(Duration::from_millis(500));
    for front in &mut fronts {
        front.child = spawn_front(&front.command, &front.settings, &front.name);
    }
    record.note("all started".to_owned());
    thread::sleep(Duration::from_secs(13));
    let after = ask(&fronts, "after", 120);
    record.note(format!("served: before {before}/60, during {during}/60, after {after}/120"));
    println!("served: before {before}/60, during {during}/60, after {after}/120");
    for front in &mut fronts {
        front.end();
    }
    record.save();
    before * 4 >= 60 && after * 4 < 120
}

const EVENTS: u64 = 60;

/// A replica of a streaming service: `EVENTS` events, one each `pause_ms`; goes on after Last-Event-Id.
fn start_streamer(ip: &str, id: &str, pause_ms: u64, record: &Record) -> Replica {
    let listener = any_port(ip);
    let address = listener.local_addr().unwrap();
    let replica = Replica { id: id.to_owned(), address, runs: Arc::default() };
    let own = replica.clone();
    let record = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (own, record) = (own.clone(), record.clone());
            thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(Some(head)) = wire.head() {
                    let Ok(_body) = wire.body(&head, false) else { return };
                    let id = head.get("x-oleandertack-request-id").unwrap_or("").to_owned();
                    let expected = head.get("x-oleandertack-expect-instance");
                    if expected.is_some_and(|name| name != own.id) {
                        let text = format!(
                            "HTTP/1.1 421 X\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                        );
                        if wire.send(text.as_bytes()).is_err() {
                            return;
                        }
                        continue;
                    }
                    let after: u64 =
                        head.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
                    own.runs.lock().unwrap().push((Instant::now(), id.clone()));
                    record.note(format!("{} runs {id} after event {after}", own.id));
                    let text = format!(
                        "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Response-Seal: {}.{id}\r\nX-Oleandertack-Weights-Version: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                        own.id
                    );
                    if wire.send(text.as_bytes()).is_err() {
                        return;
                    }
                    for event in after + 1..=EVENTS {
                        thread::sleep(Duration::from_millis(pause_ms));
                        let event = format!("id: {event}\ndata: piece {event}\n\n");
                        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                        if wire.send(chunk.as_bytes()).is_err() {
                            return;
                        }
                    }
                    if wire.send(b"0\r\n\r\n").is_err() {
                        return;
                    }
                }
            });
        }
    });
    replica
}

fn stream_config(version: u64) -> Json {
    json(&format!(
        "{{'version':{version},'routes':[\
          {{'name':'recipebook-redo','host':'{HOST}','path-prefix':'/redo/','kind':'streaming','stream-resume':true,'sticky-sessions':true,'timeout-ms':15000,'target-latency-ms':800,'gap-aim-ms':500,'priority':1,'service':'recipe','max-attempts':2}}],\
          'services':[{{'name':'recipe','max-connections':370,'engine':{{'slots':64,'kv-capacity-tokens':903655,'kv-token-bytes':35136,'link-mbps':1500000.0,'stride':5,'moves':true}}}}],\
          'limits':{{'max-header-bytes':16384,'max-body-bytes':4194304,'header-timeout-ms':3000,'idle-timeout-ms':15000}},\
          'tenants':[{{'name':'tenant-1','api-keys':['{KEY}'],'plain-tokens':200}}]}}"
    ))
}

/// Reads events of a stream until `until`; returns the status, the last event, and whether the stream ended whole.
fn follow(
    address: SocketAddr,
    id: &str,
    (after, resumes): (u64, &str),
    until: Instant,
) -> (String, u64, bool) {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return ("no connection".to_owned(), after, false);
    };
    let mut wire = Wire::new(stream);
    let mut more = String::new();
    if !resumes.is_empty() {
        let _ = write!(more, "Last-Event-Id: {after}\r\nResumes: {resumes}\r\n");
    }
    let head = format!(
        "POST /redo/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Key: {KEY}\r\nX-Oleandertack-Model: m\r\nX-Oleandertack-Token-Count: 1460,300\r\nX-Oleandertack-Prompt-Prefix: 5c1e07a2:800,{:x}:660\r\nX-Oleandertack-Deadline-Ms: 14000\r\n{more}Content-Length: 4\r\n\r\nbody",
        0x91bd_3f06_u64 + id.len() as u64
    );
    if wire.send(head.as_bytes()).is_err() {
        return ("broken".to_owned(), after, false);
    }
    let mut last = after;
    let limit = |wire: &Wire| {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = wire.stream.set_read_timeout(Some(left));
    };
    limit(&wire);
    let Ok(Some(head)) = wire.head() else { return ("no answer".to_owned(), last, false) };
    let status = head.word(1).to_owned();
    if status != "200" {
        return (status, last, false);
    }
    let mut text = String::new();
    while Instant::now() < until {
        limit(&wire);
        let Ok(line) = wire.line() else { break };
        let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
        if size == 0 {
            return (status, last, true);
        }
        let Ok(part) = wire.exactly(size + 2) else { break };
        text.push_str(&String::from_utf8_lossy(&part[..size]));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            if let Some(number) = event.lines().find_map(|line| line.strip_prefix("id: ")) {
                last = number.parse().unwrap_or(last);
            }
        }
    }
    (status, last, false)
}

/// All processes are killed and started again; clients take their streams up again.
fn streams_after_kill() -> bool {
    let ip = "127.0.0.1";
    let record = Record::new();
    let store = Store::default();
    let cloud = serve_cloud(ip, &record);
    let replicas =
        [start_streamer(ip, "i-1", 230, &record), start_streamer(ip, "i-2", 230, &record)];
    store.put("config", "main", stream_config(3));
    for (n, (r, zone)) in replicas.iter().zip(["ylemiste", "kopli"]).enumerate() {
        store.put(
            "servers",
            &r.id,
            server_entry("recipe", r.address, (zone, 64, "1", now_ms()), n as u64),
        );
    }
    let address = store.serve(ip);
    let mut fronts = start_fronts(3, (address, cloud), "");
    fronts.iter().for_each(Front::wait_ready);
    thread::sleep(Duration::from_secs(35));
    let addresses: Vec<SocketAddr> = fronts.iter().map(|front| front.listen).collect();
    const CLIENTS: usize = 18;
    let begun = Instant::now();
    let broken_at = begun + Duration::from_millis(2500);
    let clients: Vec<_> = (0..CLIENTS).map(|n| {
        let (addresses, record) = (addresses.clone(), record.clone());
        thread::spawn(move || {
            let id = format!("first-{n}");
            let until = if trouble() { begun + Duration::from_secs(14) } else { broken_at };
            let (status, last, _) = follow(addresses[n % 3], &id, (0, ""), until);
            record.note(format!("{id} answered {status}, broken after event {last}"));
            // It waits a while, as its route allows a gap of four seconds, and asks another machine.
            let at = begun + Duration::from_millis(2500 + 3700);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let again = format!("again-{n}");
            let (status, more, whole) = follow(addresses[(n + 1) % 3], &again, (last, &id), Instant::now() + Duration::from_millis(2500));
            record.note(format!("{again} takes up {id} after event {last}: answered {status}, now at event {more}{}", if whole { ", complete" } else { "" }));
            let new = format!("new-{n}");
            let (new_status, at, _) = follow(addresses[(n + 2) % 3], &new, (0, ""), Instant::now() + Duration::from_millis(1500));
            record.note(format!("{new} answered {new_status}, at event {at}"));
            (last > 0, more > last || whole, at > 0)
        })
    }).collect();
    thread::sleep(broken_at.saturating_duration_since(Instant::now()));
    if trouble() {
        for front in &mut fronts {
            front.end();
        }
        record.note("all processes killed".to_owned());
        thread::sleep(Duration::from_millis(100));
        for front in &mut fronts {
            front.child = spawn_front(&front.command, &front.settings, &front.name);
        }
        record.note("all processes started".to_owned());
    }
    let ends: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let asked = ends.iter().filter(|end| end.0).count();
    let gone_on = ends.iter().filter(|end| end.0 && end.1).count();
    let new = ends.iter().filter(|end| end.2).count();
    for front in &mut fronts {
        front.end();
    }
    let line =
        format!("streams taken up {asked}, gone on {gone_on}; new streams {CLIENTS}, begun {new}");
    record.note(line.clone());
    println!("{line}");
    record.save();
    if asked < 12 {
        stop("too few streams were broken");
    }
    gone_on * 2 * CLIENTS < new * asked
}

/// The processes are asked to stop one after the other and start again; clients of the last one take their streams
/// up at the first two.
fn streams_after_stops() -> bool {
    const CLIENTS: usize = 18;
    /// Between two stops.
    const GAP: Duration = Duration::from_millis(1200);
    let ip = "127.0.0.1";
    let record = Record::new();
    let store = Store::default();
    let cloud = serve_cloud(ip, &record);
    let replicas =
        [start_streamer(ip, "i-1", 230, &record), start_streamer(ip, "i-2", 230, &record)];
    store.put("config", "main", stream_config(3));
    for (n, (r, zone)) in replicas.iter().zip(["ylemiste", "kopli"]).enumerate() {
        let facts = (zone, 64, "1", now_ms());
        store.put("servers", &r.id, server_entry("recipe", r.address, facts, n as u64));
    }
    let address = store.serve(ip);
    let mut fronts = start_fronts(3, (address, cloud), "");
    fronts.iter().for_each(Front::wait_ready);
    thread::sleep(Duration::from_secs(35));
    let addresses: Vec<SocketAddr> = fronts.iter().map(|front| front.listen).collect();
    let begun = Instant::now();
    // The last one is asked to stop 0.4 s + 2 gaps later, and ends what it serves within its grace time of 8 s.
    let broken_at = begun + Duration::from_millis(400) + 2 * GAP + Duration::from_millis(7800);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (addresses, record) = (addresses.clone(), record.clone());
            let (begins_at, last) = (begun + 2 * GAP, addresses[2]);
            thread::spawn(move || {
                thread::sleep(begins_at.saturating_duration_since(Instant::now()));
                let id = format!("first-{n}");
                let until =
                    if trouble() { broken_at + Duration::from_secs(3) } else { broken_at };
                let (status, event, whole) = follow(last, &id, (0, ""), until);
                record.note(format!("{id} answered {status}, broken after event {event}"));
                // It waits a second before it asks another machine.
                thread::sleep(Duration::from_millis(1000));
                let again = format!("again-{n}");
                let until = Instant::now() + Duration::from_millis(2500);
                let (status, more, ended) =
                    follow(addresses[n % 2], &again, (event, &id), until);
                record.note(format!("{again} takes up {id} after event {event}: answered {status}, now at event {more}{}", if ended { ", complete" } else { "" }));
                let new = format!("new-{n}");
                let until = Instant::now() + Duration::from_millis(1500);
                let (new_status, at, _) = follow(addresses[(n + 1) % 2], &new, (0, ""), until);
                record.note(format!("{new} answered {new_status}, at event {at}"));
                (event > 0 && !whole, more > event || ended, at > 0)
            })
        })
        .collect();
    thread::sleep((begun + Duration::from_millis(400)).saturating_duration_since(Instant::now()));
    let mut ended = [false; 3];
    let mut asked = [false; 3];
    let stop_from = Instant::now();
    while trouble() && Instant::now() < broken_at + Duration::from_secs(1) {
        for number in 0..3 {
            if !asked[number] && stop_from.elapsed() >= GAP * number as u32 {
                asked[number] = true;
                fronts[number].signal("TERM");
                record.note(format!("{} asked to stop", fronts[number].name));
            }
            let front = &mut fronts[number];
            if asked[number] && !ended[number] && matches!(front.child.try_wait(), Ok(Some(_))) {
                ended[number] = true;
                note_ended(&front.child);
                record.note(format!("{} has ended", front.name));
                front.child = spawn_front(&front.command, &front.settings, &front.name);
                record.note(format!("{} started", front.name));
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    let ends: Vec<_> = clients.into_iter().map(|client| client.join().unwrap()).collect();
    let asked = ends.iter().filter(|end| end.0).count();
    let gone_on = ends.iter().filter(|end| end.0 && end.1).count();
    let new = ends.iter().filter(|end| end.2).count();
    for front in &mut fronts {
        front.end();
    }
    let line =
        format!("streams taken up {asked}, gone on {gone_on}; new streams {CLIENTS}, begun {new}");
    record.note(line.clone());
    println!("{line}");
    record.save();
    if asked < 12 {
        stop("too few streams were broken");
    }
    gone_on * 2 * CLIENTS < new * asked
}
