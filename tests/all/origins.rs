//! Streams that break and go on, while endpoints of two software versions serve: each stream has events of one.

use crate::front::{RULES, request};
use crate::path::PathMode;
use crate::plays::{ProcessGroup, StoreMode, play};
use crate::scripted::read_request;
use crate::unframed::{ViewEnd, view};
use bytes::BytesMut;
use oleandertack::conf::FrontBounds;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Events of a complete stream, and of each run that breaks.
const EVENTS: u32 = 6;
const EVENTS_BEFORE_BREAK: u32 = 2;
pub const STREAMS: usize = 30;
/// The fewest of the streams that go on if nearly all are to.
const NEARLY_ALL: usize = 27;
/// Longer than a stream of the play's rules may be taken up again.
const LONG_AGO: Duration = Duration::from_secs(34);

/// What the endpoints do, and the runs of each stream.
#[derive(Default)]
pub struct StreamBook {
    /// The runs of a stream that break.
    breaks: Cell<u32>,
    /// Whether runs that break wait with it.
    holds: Cell<bool>,
    runs: RefCell<HashMap<String, u32>>,
}

impl StreamBook {
    pub fn breaking(breaks: u32) -> Rc<Self> {
        let book = StreamBook::default();
        book.breaks.set(breaks);
        Rc::new(book)
    }

    fn note_run(&self, stream: &str) -> u32 {
        let mut runs = self.runs.borrow_mut();
        let count = runs.entry(stream.to_owned()).or_default();
        *count += 1;
        *count
    }
}

/// An endpoint of a software version, which it writes into each event. The body of a request names its stream.
pub async fn versioned(version: &'static str, book: Rc<StreamBook>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("an open connection");
            actix_rt::spawn(serve(stream, version, book.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, version: &'static str, book: Rc<StreamBook>) {
    let mut buffer = BytesMut::new();
    while let Some(seen) = read_request(&mut stream, &mut buffer).await {
        let id = seen.header("x-oleandertack-request-id").unwrap_or_default();
        let last = seen.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let run = book.note_run(&String::from_utf8_lossy(&seen.body));
        let is_broken = run <= book.breaks.get();
        let end = if is_broken { (last + EVENTS_BEFORE_BREAK).min(EVENTS) } else { EVENTS };
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
             X-Oleandertack-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for number in last + 1..=end {
            let event = format!("id: {number}\ndata: {version}\n\n");
            text += &format!("{:x}\r\n{event}\r\n", event.len());
        }
        if !is_broken {
            text += "0\r\n\r\n";
        }
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        while is_broken && book.holds.get() {
            sleep(Duration::from_millis(5)).await;
        }
        if is_broken {
            return;
        }
    }
}

/// Rules with a second account.
pub fn rules() -> String {
    let second =
        r#"{"name":"riga","api-keys":["key-2"],"plain-tokens":200,"rate-per-s":0,"burst":0},"#;
    RULES.replace("\"version\":7", "\"version\":8").replacen(
        "\"tenants\":[",
        &format!("\"tenants\":[{second}"),
        1,
    )
}

/// A group with endpoints of these versions.
pub struct VersionPlay {
    pub group: ProcessGroup,
    pub book: Rc<StreamBook>,
    listed: Cell<usize>,
}

impl VersionPlay {
    pub async fn start(processes: usize, versions: &[&'static str], book: Rc<StreamBook>) -> Self {
        let bounds = FrontBounds { retry_slack: 1000, ..FrontBounds::default() };
        let group = ProcessGroup::start_bounded(processes, bounds).await;
        group.put_rules(&rules());
        group.remove_first_endpoints();
        let play = VersionPlay { group, book, listed: Cell::new(0) };
        play.list(versions).await;
        sleep(Duration::from_secs(2)).await;
        play
    }

    /// Lists further endpoints.
    pub async fn list(&self, versions: &[&'static str]) {
        for version in versions {
            let address = versioned(version, self.book.clone()).await;
            let number = self.listed.replace(self.listed.get() + 1);
            let body = format!(
                r#"{{"service":"s","address":"{address}","zone":"near","version":"{version}","slots":20,"state":"ready","seq":1}}"#
            );
            self.group.registry().put(&format!("r-{number}"), body);
        }
    }

    pub async fn send(&self, process: usize, stream: usize, attempt: &Attempt<'_>) -> TcpStream {
        let mut headers = String::new();
        if let Some((last, resumes)) = &attempt.takes_up {
            headers = format!("Last-Event-Id: {last}\r\n");
            if !resumes.is_empty() {
                headers += &format!("Resumes: {resumes}\r\n");
            }
        }
        let text = request("POST", "/stream/a", attempt.id, &headers, &format!("s{stream}"));
        let text = text.replace("key-1", attempt.key);
        let address = self.group.processes[process].address();
        let mut caller = TcpStream::connect(address).await.expect("it listens");
        caller.write_all(text.as_bytes()).await.expect("written");
        caller
    }

    /// Begins all streams at a process, each of which breaks for good.
    pub async fn begin_all(&self, process: usize) -> Vec<StreamSeen> {
        let mut begun = Vec::new();
        for stream in 0..STREAMS {
            let id = format!("s{stream}-1");
            let attempt = Attempt { id: &id, key: "key-1", takes_up: None };
            let mut caller = self.send(process, stream, &attempt).await;
            let (end, body) = view(&mut caller).await;
            assert_eq!(end, ViewEnd::Cut, "{body}");
            begun.push(StreamSeen::read(&body));
        }
        begun
    }

    /// Takes all streams up again, at the processes in turn.
    pub async fn take_up_all(&self, processes: &[usize], begun: Vec<StreamSeen>) -> PlayOutcome {
        let mut outcome = PlayOutcome::default();
        for (stream, mut seen) in begun.into_iter().enumerate() {
            let (first, id) = (format!("s{stream}-1"), format!("s{stream}-2"));
            let takes_up = Some((seen.last, first.as_str()));
            let attempt = Attempt { id: &id, key: "key-1", takes_up };
            let process = processes[stream % processes.len()];
            let (end, body) = view(&mut self.send(process, stream, &attempt).await).await;
            if end == ViewEnd::Stated {
                seen.add(&body);
            }
            outcome.note(&seen, end);
        }
        outcome
    }
}

/// One try of a caller.
pub struct Attempt<'a> {
    pub id: &'a str,
    pub key: &'a str,
    /// The last event that the caller has, and the try that it names; an empty one is not named.
    pub takes_up: Option<(u32, &'a str)>,
}

/// What a caller has of a stream.
#[derive(Debug, Default)]
pub struct StreamSeen {
    last: u32,
    versions: BTreeSet<String>,
}

impl StreamSeen {
    pub fn read(body: &str) -> Self {
        let mut seen = StreamSeen::default();
        seen.add(body);
        seen
    }

    pub fn add(&mut self, body: &str) {
        for line in body.lines() {
            if let Some(number) = line.strip_prefix("id: ") {
                let number: u32 = number.parse().expect("a number");
                assert_eq!(number, self.last + 1, "every event once and in order: {body}");
                self.last = number;
            }
            if let Some(version) = line.strip_prefix("data: ") {
                self.versions.insert(version.to_owned());
            }
        }
    }
}

#[derive(Debug, Default)]
pub struct PlayOutcome {
    /// Streams that went on to their end.
    pub whole: usize,
    /// Streams with events of two versions.
    pub mixed: usize,
}

impl PlayOutcome {
    pub fn note(&mut self, seen: &StreamSeen, end: ViewEnd) {
        self.whole += usize::from(end == ViewEnd::Stated && seen.last == EVENTS);
        self.mixed += usize::from(seen.versions.len() > 1);
    }
}

const TWO_VERSIONS: [&str; 6] = ["v1", "v2", "v1", "v2", "v1", "v2"];

/// A stream that breaks goes on within its answer at an endpoint of another version.
#[test]
fn a_stream_goes_on_at_its_version_within_its_answer() {
    play(async {
        let play = VersionPlay::start(1, &TWO_VERSIONS, StreamBook::breaking(1)).await;
        let mut outcome = PlayOutcome::default();

        for stream in 0..STREAMS {
            let id = format!("s{stream}-1");
            let attempt = Attempt { id: &id, key: "key-1", takes_up: None };
            let (end, body) = view(&mut play.send(0, stream, &attempt).await).await;
            outcome.note(&StreamSeen::read(&body), end);
        }

        assert_eq!((outcome.mixed, outcome.whole), (0, STREAMS), "{outcome:?}");
    });
}

/// A stream whose version has no other endpoint goes on at another version instead of being cut.
#[test]
fn a_stream_whose_version_has_no_endpoint_left_is_cut() {
    play(async {
        let play = VersionPlay::start(1, &["v1", "v2"], StreamBook::breaking(1)).await;
        let mut outcome = PlayOutcome::default();

        for stream in 0..STREAMS {
            let id = format!("s{stream}-1");
            let attempt = Attempt { id: &id, key: "key-1", takes_up: None };
            let (end, body) = view(&mut play.send(0, stream, &attempt).await).await;
            outcome.note(&StreamSeen::read(&body), end);
            assert!(matches!(end, ViewEnd::Cut | ViewEnd::Failed), "{body}");
        }

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
    });
}

/// A caller takes its stream up at a process that knows nothing of its beginning.
#[test]
fn a_stream_is_taken_up_at_its_version_by_any_process() {
    play(async {
        let play = VersionPlay::start(3, &TWO_VERSIONS, StreamBook::breaking(2)).await;
        let begun = play.begin_all(0).await;

        let outcome = play.take_up_all(&[1, 2], begun).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(outcome.whole >= NEARLY_ALL, "{outcome:?}");
    });
}

/// What is known of a stream's beginning is lost with the process that began it.
#[test]
fn a_stream_is_taken_up_at_its_version_after_its_process_was_killed() {
    play(async {
        let mut play = VersionPlay::start(5, &TWO_VERSIONS, StreamBook::breaking(2)).await;
        let begun = play.begin_all(0).await;
        sleep(Duration::from_millis(50)).await;

        play.group.kill(&[0], Duration::from_millis(300)).await;
        let outcome = play.take_up_all(&[0, 1, 2, 3, 4], begun).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(outcome.whole >= NEARLY_ALL, "{outcome:?}");
    });
}

/// A process takes a guess for knowledge when nobody is left who knew.
#[test]
fn no_stream_changes_its_version_after_all_processes_were_killed() {
    play(async {
        let mut play = VersionPlay::start(3, &TWO_VERSIONS, StreamBook::breaking(2)).await;
        let begun = play.begin_all(0).await;

        play.group.kill(&[0, 1, 2], Duration::from_millis(300)).await;
        play.group.until_ready().await;
        let outcome = play.take_up_all(&[0, 1, 2], begun).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
    });
}

/// Records were needed only from the moment on at which a second version appeared.
#[test]
fn streams_that_began_before_a_second_version_appeared_are_taken_up() {
    play(async {
        let mut play = VersionPlay::start(4, &["v1"; 4], StreamBook::breaking(2)).await;
        sleep(LONG_AGO).await;
        play.book.holds.set(true);
        let mut callers = Vec::new();
        for stream in 0..STREAMS {
            let id = format!("s{stream}-1");
            let attempt = Attempt { id: &id, key: "key-1", takes_up: None };
            callers.push(play.send(0, stream, &attempt).await);
        }
        sleep(Duration::from_millis(100)).await;

        play.list(&["v2"; 4]).await;
        sleep(Duration::from_millis(900)).await;
        play.book.holds.set(false);
        let mut begun = Vec::new();
        for caller in &mut callers {
            begun.push(StreamSeen::read(&view(caller).await.1));
        }
        play.group.kill(&[0], Duration::from_millis(300)).await;
        let outcome = play.take_up_all(&[1, 2, 3], begun).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(outcome.whole >= NEARLY_ALL, "{outcome:?}");
    });
}

/// A process that has heard nothing of the store for long takes the version it knows for the only one.
#[test]
fn a_process_without_the_list_takes_no_stream_up_at_another_version() {
    play(async {
        let play = VersionPlay::start(3, &["v1"; 3], StreamBook::breaking(2)).await;
        sleep(LONG_AGO).await;
        play.group.links[1].set(StoreMode::Silent);
        play.list(&["v2"; 3]).await;
        sleep(Duration::from_secs(10)).await;
        let begun = play.begin_all(0).await;

        let outcome = play.take_up_all(&[1], begun).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
    });
}

/// Without any record nobody could take a stream up, though there was never a second version.
#[test]
fn a_stream_of_the_only_version_is_taken_up_after_its_process_was_killed() {
    play(async {
        let mut play = VersionPlay::start(4, &["v1"; 6], StreamBook::breaking(2)).await;
        sleep(LONG_AGO).await;
        let begun = play.begin_all(0).await;

        play.group.kill(&[0], Duration::from_millis(300)).await;
        let outcome = play.take_up_all(&[0, 1, 2, 3], begun).await;

        assert!(outcome.whole >= NEARLY_ALL, "{outcome:?}");
    });
}

/// A caller reads or takes up the stream of another account, or one that never began.
#[test]
fn a_stream_that_is_not_the_callers_is_refused_as_not_run() {
    play(async {
        let play = VersionPlay::start(3, &TWO_VERSIONS, StreamBook::breaking(2)).await;
        play.begin_all(0).await;
        let runs: u32 = play.book.runs.borrow().values().sum();
        let tries = [
            Attempt { id: "x1", key: "key-2", takes_up: Some((4, "s0-1")) },
            Attempt { id: "x2", key: "key-1", takes_up: Some((4, "made-up")) },
            Attempt { id: "x3", key: "key-1", takes_up: Some((4, "")) },
        ];

        for attempt in &tries {
            let (end, body) = view(&mut play.send(1, 0, attempt).await).await;
            assert_eq!((end, body.as_str()), (ViewEnd::Failed, ""), "{}", attempt.id);
        }

        assert_eq!(play.book.runs.borrow().values().sum::<u32>(), runs);
    });
}

/// The process that relays a stream, or that takes up a relayed one, does not know at which version it began.
#[test]
fn a_relayed_stream_keeps_its_version_over_the_tries_of_its_caller() {
    play(async {
        let play = VersionPlay::start(4, &TWO_VERSIONS, StreamBook::breaking(2)).await;
        play.group.paths[0].set(PathMode::Reset);
        let notice = request("POST", "/any/a", "notice", "", "");
        crate::front::ask(play.group.processes[0].address(), &notice).await;
        sleep(Duration::from_secs(2)).await;
        let begun = play.begin_all(0).await;

        let outcome = play.take_up_all(&[0, 1, 2, 3], begun).await;

        assert_eq!(outcome.mixed, 0, "{outcome:?}");
        assert!(outcome.whole >= NEARLY_ALL, "{outcome:?}");
    });
}
