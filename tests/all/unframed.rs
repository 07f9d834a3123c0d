//! Answers that end with their connection, and answers that break off: what their callers get.
//!
//! The table walks how an answer is framed, where it breaks off, how its connection ends, what the route allows, and whether
//! a peer relays the request.

use crate::front::{RULES, request};
use crate::path::PathMode;
use crate::plays::{ProcessGroup, play};
use crate::scripted::{Act, Scripted, SeenCalls, SeenRequest, read_request, scripted};
use bytes::BytesMut;
use oleandertack::conf::FrontBounds;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// Events of a complete stream.
const EVENTS: u32 = 3;
/// Body of a complete answer of a plain service.
pub const PLAIN: &str = "plain answer of a service";
/// Time between two requests, after which the endpoints' earlier failures hardly count.
const BETWEEN: Duration = Duration::from_secs(4);
/// How long an endpoint that ended is away.
const DOWNTIME: Duration = Duration::from_secs(1);
/// Answers of an endpoint that is asked who it is: it is the one that is meant, or another one.
pub const HEALTHY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const MISDIRECTED: &str = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
/// Longer than any request may take.
const TOO_LONG: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Chunked,
    Length,
    UntilClose,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BreakPoint {
    Nowhere,
    InsideEvent,
    BetweenEvents,
    BeforeFirst,
    InHead,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closing {
    Fin,
    Reset,
    Silence,
    /// The endpoint's process ends: its port and all its connections are closed in an orderly way.
    Exit,
}

/// What a route allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    Resumable,
    Fixed,
    Safe,
    Once,
}

/// The first answer of an endpoint to a request.
#[derive(Clone, Copy, Debug)]
struct AnswerCase {
    framing: Framing,
    at: BreakPoint,
    closing: Closing,
    route: RouteKind,
}

impl AnswerCase {
    fn all(route: RouteKind) -> impl Iterator<Item = AnswerCase> {
        use {BreakPoint as At, Closing as End, Framing as By};
        let points = [At::Nowhere, At::InsideEvent, At::BetweenEvents, At::BeforeFirst, At::InHead];
        let cases = [By::Chunked, By::Length, By::UntilClose].into_iter();
        cases.flat_map(move |framing| {
            points.into_iter().flat_map(move |at| {
                let closings = [End::Fin, End::Reset, End::Silence, End::Exit].into_iter();
                closings.map(move |closing| AnswerCase { framing, at, closing, route })
            })
        })
    }

    fn is_stream(&self) -> bool {
        matches!(self.route, RouteKind::Resumable | RouteKind::Fixed)
    }

    fn path(&self) -> &'static str {
        match self.route {
            RouteKind::Resumable => "/stream/a",
            RouteKind::Fixed => "/fixed/a",
            RouteKind::Safe => "/any/a",
            RouteKind::Once => "/once/a",
        }
    }

    /// The complete events in the first answer.
    fn events_sent(&self) -> u32 {
        match self.at {
            BreakPoint::Nowhere => EVENTS,
            BreakPoint::InsideEvent | BreakPoint::BetweenEvents => EVENTS - 1,
            BreakPoint::BeforeFirst | BreakPoint::InHead => 0,
        }
    }

    /// The body of the first answer as far as it is sent, and all of it.
    fn body(&self) -> (String, String) {
        let sent = match (self.is_stream(), self.at) {
            (_, BreakPoint::BeforeFirst | BreakPoint::InHead) => String::new(),
            (false, BreakPoint::Nowhere) => PLAIN.to_owned(),
            (false, _) => PLAIN[..PLAIN.len() / 2].to_owned(),
            (true, at) => {
                let part = event_text(EVENTS);
                let part = &part[..part.len() / 2];
                let inside = if at == BreakPoint::InsideEvent { part } else { "" };
                events_text(1..=self.events_sent()) + inside
            }
        };
        let whole = if self.is_stream() { events_text(1..=EVENTS) } else { PLAIN.to_owned() };
        (sent, whole)
    }

    /// The bytes of the first answer.
    fn text(&self, id: &str) -> String {
        let (sent, whole) = self.body();
        let chunks = format!("{:x}\r\n{sent}\r\n", sent.len());
        let chunks = if sent.is_empty() { String::new() } else { chunks };
        let last = if self.at == BreakPoint::Nowhere { "0\r\n\r\n" } else { "" };
        let (framing, body) = match self.framing {
            Framing::Chunked => ("Transfer-Encoding: chunked\r\n".to_owned(), chunks + last),
            Framing::Length => (format!("Content-Length: {}\r\n", whole.len()), sent),
            Framing::UntilClose => (String::new(), sent),
        };
        let head = head_text(id, &framing);
        match self.at {
            BreakPoint::InHead => head[..head.len() / 2].to_owned(),
            _ => head + &body,
        }
    }

    /// Whether the first answer is known to have broken off.
    fn is_broken(&self) -> bool {
        let is_torn = match self.at {
            BreakPoint::Nowhere => false,
            BreakPoint::InHead => true,
            BreakPoint::InsideEvent | BreakPoint::BeforeFirst => {
                self.is_stream() || self.framing != Framing::UntilClose
            }
            BreakPoint::BetweenEvents => self.framing != Framing::UntilClose,
        };
        let is_cut = self.framing == Framing::UntilClose && self.closing != Closing::Fin;
        is_torn || is_cut
    }

    fn expected(&self) -> Expected {
        let (sent, whole) = self.body();
        let is_unframed = self.framing == Framing::UntilClose;
        let has_begun = self.is_stream() && self.events_sent() > 0;
        let failed = Expected { end: ViewEnd::Failed, body: String::new(), runs: 1 };
        let stated = |body| Expected { end: ViewEnd::Stated, body, runs: 1 };
        match (self.is_broken(), self.route) {
            (false, _) if is_unframed => Expected { end: ViewEnd::Closed, body: sent, runs: 1 },
            (false, _) => stated(whole),
            (true, RouteKind::Resumable) if has_begun && is_unframed => {
                Expected { end: ViewEnd::Closed, body: whole, runs: 2 }
            }
            (true, RouteKind::Resumable | RouteKind::Safe) => Expected { runs: 2, ..stated(whole) },
            (true, RouteKind::Fixed) if has_begun => {
                let body = events_text(1..=self.events_sent());
                Expected { end: ViewEnd::Cut, body, runs: 1 }
            }
            (true, RouteKind::Fixed | RouteKind::Once) => failed,
        }
    }
}

#[derive(Debug, PartialEq, Eq)]
struct Expected {
    end: ViewEnd,
    body: String,
    runs: u32,
}

/// How an answer ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ViewEnd {
    /// Complete by its framing.
    Stated,
    /// It has no framing, and its connection was closed in an orderly way.
    Closed,
    /// The connection ended before the framing was complete, or was reset.
    Cut,
    /// A complete answer of another status.
    Failed,
}

pub fn event_text(number: u32) -> String {
    format!("id: {number}\ndata: piece {number}\n\n")
}

pub fn events_text(numbers: impl Iterator<Item = u32>) -> String {
    numbers.map(event_text).collect()
}

pub fn head_text(id: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
         X-Oleandertack-Response-Seal: seal\r\n{framing}\r\n"
    )
}

/// The requests that endpoints received, and the case for each id.
#[derive(Default)]
struct CaseBook {
    cases: RefCell<HashMap<String, AnswerCase>>,
    runs: RefCell<HashMap<String, u32>>,
}

impl CaseBook {
    fn note_run(&self, id: &str) -> u32 {
        let mut runs = self.runs.borrow_mut();
        let count = runs.entry(id.to_owned()).or_default();
        *count += 1;
        *count
    }
}

/// An endpoint that answers the first run of a request as its case says, and further ones completely.
async fn case_endpoint(book: Rc<CaseBook>) -> SocketAddr {
    let mut listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(async move {
        loop {
            run_until_exit(listener, &book).await;
            sleep(DOWNTIME).await;
            listener = TcpListener::bind(address).await.expect("the port is free again");
        }
    });
    address
}

/// Serves until a case ends the endpoint.
async fn run_until_exit(listener: TcpListener, book: &Rc<CaseBook>) {
    let exit = Rc::new(Notify::new());
    let mut connections = Vec::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.expect("an open port");
                stream.set_nodelay(true).expect("an open connection");
                let serving = serve_cases(stream, book.clone(), exit.clone());
                connections.push(actix_rt::spawn(serving));
            }
            () = exit.notified() => break,
        }
    }
    connections.iter().for_each(|connection| connection.abort());
}

async fn serve_cases(mut stream: TcpStream, book: Rc<CaseBook>, exit: Rc<Notify>) {
    let mut buffer = BytesMut::new();
    while let Some(seen) = read_request(&mut stream, &mut buffer).await {
        let id = seen.header("x-oleandertack-request-id").unwrap_or_default().to_owned();
        let case = book.cases.borrow().get(&id).copied();
        let run = book.note_run(&id);
        let is_first = run == 1;
        let Some(case) = case.filter(|_| is_first) else {
            let last = seen.header("last-event-id").and_then(|text| text.parse().ok());
            let is_stream = ["/stream", "/fixed"].iter().any(|path| seen.head.contains(path));
            let body = match is_stream {
                true => events_text(last.unwrap_or(0) + 1..=EVENTS),
                false => PLAIN.to_owned(),
            };
            let framing = format!("Content-Length: {}\r\n", body.len());
            let answer = head_text(&id, &framing) + &body;
            stream.write_all(answer.as_bytes()).await.expect("written");
            continue;
        };
        stream.write_all(case.text(&id).as_bytes()).await.expect("written");
        sleep(Duration::from_millis(30)).await;
        match case.closing {
            // The connection is kept for other requests.
            Closing::Silence if !case.is_broken() => {}
            Closing::Fin => return,
            Closing::Exit => {
                exit.notify_one();
                return std::future::pending().await;
            }
            Closing::Reset => return stream.set_zero_linger().expect("an open connection"),
            Closing::Silence => {
                let mut scratch = [0; 64];
                while stream.read(&mut scratch).await.is_ok_and(|count| count > 0) {}
                return;
            }
        }
    }
}

/// Reads an answer to its end and tells how it ended.
pub async fn view(stream: &mut TcpStream) -> (ViewEnd, String) {
    let mut bytes = Vec::new();
    let ended = loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(view) = complete_view(&text) {
            return view;
        }
        match timeout(TOO_LONG, stream.read_buf(&mut bytes)).await.expect("an answer or an end") {
            Ok(0) => break ViewEnd::Closed,
            Ok(_) => {}
            Err(_) => break ViewEnd::Cut,
        }
    };
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    match () {
        () if header(head, "transfer-encoding").is_some() => (ViewEnd::Cut, unchunked(body).0),
        () if header(head, "content-length").is_some() => (ViewEnd::Cut, body.to_owned()),
        () if header(head, "connection") != Some("close") => (ViewEnd::Cut, body.to_owned()),
        () => (ended, body.to_owned()),
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

fn complete_view(text: &str) -> Option<(ViewEnd, String)> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    if let Some(length) = header(head, "content-length") {
        let length: usize = length.parse().expect("a length");
        let end = if head.contains(" 200 ") { ViewEnd::Stated } else { ViewEnd::Failed };
        let shown = if end == ViewEnd::Failed { "" } else { body };
        return (body.len() >= length).then(|| (end, shown.to_owned()));
    }
    header(head, "transfer-encoding")?;
    let (shown, is_complete) = unchunked(body);
    is_complete.then_some((ViewEnd::Stated, shown))
}

/// The content of chunks, and whether the last one was among them.
fn unchunked(mut body: &str) -> (String, bool) {
    let mut shown = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk's size");
        if size == 0 {
            return (shown, true);
        }
        let Some(chunk) = rest.get(..size) else { break };
        shown.push_str(chunk);
        body = rest.get(size + 2..).unwrap_or_default();
    }
    (shown, false)
}

fn rules_with_fixed_streams() -> String {
    let fixed = r#"{"name":"fixed","host":"h","path-prefix":"/fixed/","kind":"streaming","timeout-ms":4000,"target-latency-ms":500,"priority":1,"service":"s","max-attempts":2,"gap-aim-ms":300},"#;
    RULES.replace("\"version\":7", "\"version\":8").replacen(
        "\"routes\":[",
        &format!("\"routes\":[{fixed}"),
        1,
    )
}

/// A group whose endpoints answer by the book.
async fn case_group(processes: usize, book: &Rc<CaseBook>) -> ProcessGroup {
    // Most cases are retried, and each request earns a fifth of a retry.
    let bounds = FrontBounds { retry_slack: 1000, ..FrontBounds::default() };
    let group = ProcessGroup::start_bounded(processes, bounds).await;
    group.put_rules(&rules_with_fixed_streams());
    group.remove_first_endpoints();
    for at in 0..6 {
        let address = case_endpoint(book.clone()).await;
        let body = format!(
            r#"{{"service":"s","address":"{address}","zone":"near","version":"v1","slots":6,"state":"ready","seq":1}}"#
        );
        group.registry().put(&format!("r-{at}"), body);
    }
    sleep(Duration::from_secs(2)).await;
    group
}

/// Sends a request for each case and compares what its caller gets.
async fn walk(group: &ProcessGroup, book: &CaseBook, cases: impl Iterator<Item = AnswerCase>) {
    let mut wrong = Vec::new();
    for (number, case) in cases.enumerate() {
        let id = format!("case-{number}");
        book.cases.borrow_mut().insert(id.clone(), case);
        // Another body each time: a request that breaks at several endpoints is quarantined.
        let text = request("POST", case.path(), &id, "", &id);
        let mut caller =
            TcpStream::connect(group.processes[0].address()).await.expect("it listens");
        caller.write_all(text.as_bytes()).await.expect("written");

        let (end, body) = view(&mut caller).await;

        let runs = book.runs.borrow().get(&id).copied().unwrap_or(0);
        let shown = Expected { end, body, runs };
        if shown != case.expected() {
            wrong.push(format!("{case:?}: {shown:?}"));
        }
        drop(caller);
        sleep(BETWEEN).await;
    }
    assert!(wrong.is_empty(), "{} cases:\n{}", wrong.len(), wrong.join("\n"));
}

fn walk_direct(route: RouteKind) {
    play(async {
        let book = Rc::new(CaseBook::default());
        let group = case_group(1, &book).await;

        walk(&group, &book, AnswerCase::all(route)).await;
    });
}

fn walk_relayed(route: RouteKind) {
    play(async {
        let book = Rc::new(CaseBook::default());
        let group = case_group(3, &book).await;
        group.paths[0].set(PathMode::Reset);
        let notice = request("POST", "/any/a", "notice", "", "");
        crate::front::ask(group.processes[0].address(), &notice).await;
        sleep(Duration::from_secs(2)).await;

        walk(&group, &book, AnswerCase::all(route)).await;
    });
}

/// A torn event passed on, or a broken answer framed as complete.
#[test]
fn a_broken_resumable_stream_is_never_complete_nor_torn() {
    walk_direct(RouteKind::Resumable);
}

/// A torn event passed on, or a broken answer framed as complete, where nothing may be repeated.
#[test]
fn a_broken_stream_that_may_not_resume_is_cut_visibly() {
    walk_direct(RouteKind::Fixed);
}

/// An answer whose end nobody stated gets a length.
#[test]
fn a_broken_safe_answer_is_never_complete() {
    walk_direct(RouteKind::Safe);
}

/// An answer whose end nobody stated gets a length, or a request that must not be repeated is.
#[test]
fn a_broken_answer_to_a_request_that_runs_once_is_never_complete() {
    walk_direct(RouteKind::Once);
}

/// A peer's answer that ends with its connection is framed as complete by the process that relays it.
#[test]
fn a_broken_relayed_stream_is_never_complete_nor_torn() {
    walk_relayed(RouteKind::Resumable);
}

/// The same where nothing may be repeated.
#[test]
fn a_broken_relayed_stream_that_may_not_resume_is_cut_visibly() {
    walk_relayed(RouteKind::Fixed);
}

/// A relayed answer whose end nobody stated gets a length.
#[test]
fn a_broken_relayed_answer_is_never_complete() {
    walk_relayed(RouteKind::Safe);
    walk_relayed(RouteKind::Once);
}

/// Events `numbers` of a stream that ends with its connection, or in chunks.
fn stream_acts(is_chunked: bool, numbers: &[u32]) -> Vec<Act> {
    let framing = if is_chunked { "Transfer-Encoding: chunked\r\n" } else { "" };
    let chunk = |number: &u32| {
        let text = event_text(*number);
        match is_chunked {
            true => Act::Say(format!("{:x}\r\n{text}\r\n", text.len())),
            false => Act::Say(text),
        }
    };
    let head = Act::Say(head_text("{id}", framing));
    std::iter::once(head).chain(numbers.iter().map(chunk)).collect()
}

async fn group_of(endpoint: &Scripted) -> ProcessGroup {
    let bounds = FrontBounds { retry_slack: 100, ..FrontBounds::default() };
    let group = ProcessGroup::start_bounded(1, bounds).await;
    group.put_rules(&rules_with_fixed_streams());
    group.remove_first_endpoints();
    for name in ["r-1", "r-2"] {
        let body = format!(
            r#"{{"service":"s","address":"{}","zone":"near","version":"v1","slots":6,"born":1790000000000,"state":"ready","seq":1}}"#,
            endpoint.address
        );
        group.registry().put(name, body);
    }
    sleep(Duration::from_secs(2)).await;
    group
}

async fn send(group: &ProcessGroup, path: &str) -> TcpStream {
    let mut caller = TcpStream::connect(group.processes[0].address()).await.expect("it listens");
    caller.write_all(request("POST", path, "r1", "", "p").as_bytes()).await.expect("written");
    caller
}

/// A stream that is begun in chunks, breaks, and goes on to its end unframed; `identity` is the endpoint's answer after it.
fn chunked_then_unframed(identity: &str) -> Vec<Vec<Act>> {
    let first = stream_acts(true, &[1]).into_iter().chain([Act::Reset]).collect();
    let second = stream_acts(false, &[2, 3]).into_iter().chain([Act::Close]).collect();
    vec![first, second, vec![Act::Say(identity.to_owned()), Act::Close]]
}

/// A stream that was begun in chunks gets a last chunk although the endpoint that ended it may have been cut.
#[test]
fn a_chunked_stream_is_not_ended_by_an_endpoint_that_is_another_one_now() {
    play(async {
        let endpoint = scripted(chunked_then_unframed(MISDIRECTED)).await;
        let group = group_of(&endpoint).await;

        let (end, body) = view(&mut send(&group, "/stream/a").await).await;

        assert_eq!((end, body), (ViewEnd::Cut, events_text(1..=3)));
    });
}

/// A whole stream that was begun in chunks is cut because the endpoint that ended it gave no framing.
#[test]
fn a_chunked_stream_is_ended_by_an_endpoint_that_runs_on() {
    play(async {
        let endpoint = scripted(chunked_then_unframed(HEALTHY)).await;
        let group = group_of(&endpoint).await;

        let (end, body) = view(&mut send(&group, "/stream/a").await).await;

        assert_eq!((end, body), (ViewEnd::Stated, events_text(1..=3)));
    });
}

/// The caller's view of an unframed stream of two events that may not resume. Its endpoint does `asked` when it is asked
/// who it is, once for each list.
async fn view_of_fixed(asked: Vec<Vec<Act>>) -> (ViewEnd, String) {
    let stream = stream_acts(false, &[1, 2]).into_iter().chain([Act::Close]).collect();
    let endpoint = scripted([vec![stream], asked].concat()).await;
    let group = group_of(&endpoint).await;
    view(&mut send(&group, "/fixed/a").await).await
}

/// A later start of an endpoint, under its name and at its address, is taken for the one that answered.
#[test]
fn an_answer_is_not_complete_if_its_endpoint_has_started_again_since() {
    play(async {
        let identity = r#"{"born":1790000000001,"seq":0}"#;
        let later = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{identity}",
            identity.len()
        );

        let seen = view_of_fixed(vec![vec![Act::Say(later)]]).await;

        assert_eq!(seen, (ViewEnd::Cut, events_text(1..=2)));
    });
}

/// Another instance at the address of the one that answered is taken for it.
#[test]
fn an_answer_is_not_complete_if_another_instance_has_its_endpoints_address() {
    play(async {
        let other =
            "HTTP/1.1 200 OK\r\nX-Oleandertack-Instance-Id: other\r\nContent-Length: 0\r\n\r\n";

        let seen = view_of_fixed(vec![vec![Act::Say(other.to_owned())]]).await;

        assert_eq!(seen, (ViewEnd::Cut, events_text(1..=2)));
    });
}

/// A whole answer is cut because its endpoint is silent for a moment, is full or leaves, or closes a connection.
#[test]
fn an_answer_is_complete_if_its_endpoint_answers_after_a_while() {
    play(async {
        let rejected = HEALTHY.replace("200 OK", "503 Service Unavailable");
        let silent = vec![Act::Pause(Duration::from_millis(1000)), Act::Say(HEALTHY.to_owned())];
        let healthy = vec![Act::Say(HEALTHY.to_owned())];
        for asked in [vec![silent], vec![vec![Act::Say(rejected)]], vec![vec![Act::Reset], healthy]]
        {
            let seen = view_of_fixed(asked).await;

            assert_eq!(seen, (ViewEnd::Closed, events_text(1..=2)));
        }
    });
}

/// A whole answer is cut because a kept connection to its endpoint has fallen silent, while a new one works.
#[test]
fn an_answer_is_complete_although_a_kept_connection_is_silent() {
    play(async {
        let silent = vec![Act::AwaitClose];
        let healthy = vec![Act::Say(HEALTHY.to_owned())];

        let (seen, calls) = view_beside_kept(silent, healthy).await;

        assert_eq!(seen, (ViewEnd::Closed, events_text(1..=2)));
        assert_eq!(calls.requests.len(), 5);
    });
}

/// An answer that an endpoint had sent before it ended arrives late on a kept connection, and is taken for a sign of life,
/// or the connection is used again, on which the answer to the question is still due.
#[test]
fn a_late_answer_on_a_kept_connection_does_not_make_an_answer_complete() {
    play(async {
        let refusal =
            "HTTP/1.1 503 Full\r\nX-Oleandertack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        let foreign = head_text("other", "Content-Length: 0\r\n");
        for late in [refusal.to_owned(), foreign] {
            let other = vec![Act::Say(MISDIRECTED.to_owned())];

            let (seen, calls) =
                view_beside_kept(vec![Act::Say(late), Act::AwaitClose], other).await;

            assert_eq!(seen, (ViewEnd::Cut, events_text(1..=2)));
            assert_eq!(calls.left, 1);
        }
    });
}

/// The kept connection of an endpoint that names itself is asked, and no other is opened.
#[test]
fn an_endpoint_is_asked_over_a_kept_connection() {
    play(async {
        let named =
            "HTTP/1.1 200 OK\r\nX-Oleandertack-Instance-Id: r-1\r\nContent-Length: 0\r\n\r\n";
        let other = vec![Act::Say(MISDIRECTED.to_owned())];

        let (seen, calls) = view_beside_kept(vec![Act::Say(named.to_owned())], other).await;

        assert_eq!(seen, (ViewEnd::Closed, events_text(1..=2)));
        assert_eq!(calls.requests.len(), 4);
    });
}

/// An endpoint that was asked beside a silent one runs a request for nothing, and neither metrics nor logs tell.
#[test]
fn an_attempt_that_is_not_needed_after_a_proven_end_is_counted() {
    play(async {
        // Another endpoint is asked after 1.3 s, and has not answered when the first one ends.
        let silence = [Act::Pause(Duration::from_millis(1340)), Act::Close];
        let first = stream_acts(false, &[1, 2]).into_iter().chain(silence).collect();
        let late = Act::Pause(Duration::from_millis(100));
        let beside = vec![late, Act::Say(head_text("{id}", "")), Act::AwaitClose];
        let endpoint = scripted(vec![first, beside, vec![Act::Say(HEALTHY.to_owned())]]).await;
        let group = group_of(&endpoint).await;

        let seen = view(&mut send(&group, "/stream/a").await).await;

        assert_eq!(seen, (ViewEnd::Closed, events_text(1..=2)));
        let asked = |seen: &&SeenRequest| seen.header("last-event-id") == Some("2");
        assert_eq!(endpoint.seen.borrow().requests.iter().filter(asked).count(), 1);
        let metrics = group.processes[0].node.meter.text();
        assert!(metrics.contains("end=\"left\""), "{metrics}");
    });
}

/// The caller's view of an unframed stream of two events that may not resume, and what its endpoint received. The
/// endpoint does `kept` when it is asked who it is over a kept connection, and `new` over a new one.
async fn view_beside_kept(kept: Vec<Act>, new: Vec<Act>) -> ((ViewEnd, String), SeenCalls) {
    let slow = vec![
        Act::Pause(Duration::from_millis(100)),
        Act::Say(head_text("{id}", "Content-Length: 0\r\n")),
    ];
    let stream = stream_acts(false, &[1, 2]).into_iter().chain([Act::Close]).collect();
    let endpoint = scripted(vec![slow.clone(), slow, stream, kept, new]).await;
    let group = group_of(&endpoint).await;
    group.registry().remove("r-2");
    sleep(Duration::from_secs(2)).await;
    // Two requests at once leave two kept connections, one for the stream.
    let (mut first, mut second) = (send(&group, "/any/a").await, send(&group, "/any/a").await);
    tokio::join!(view(&mut first), view(&mut second));
    let seen = view(&mut send(&group, "/fixed/a").await).await;
    sleep(Duration::from_millis(100)).await;
    let calls = endpoint.seen.borrow().clone();
    (seen, calls)
}

/// A caller waits for its deadline, or gets an end that nobody vouches for, if the endpoint says nothing any more.
#[test]
fn an_answer_is_cut_if_its_endpoint_cannot_be_asked() {
    play(async {
        let began = Instant::now();

        let seen = view_of_fixed(vec![vec![Act::AwaitClose]]).await;

        assert_eq!(seen, (ViewEnd::Cut, events_text(1..=2)));
        // Rules and endpoints are listed first; the deadline is 4 s.
        assert!(began.elapsed() < Duration::from_secs(12), "{:?}", began.elapsed());
    });
}

/// A whole stream whose endpoint ended is cut, although another endpoint says that nothing follows.
#[test]
fn a_whole_stream_whose_endpoint_ended_is_asked_for_what_follows_its_last_event() {
    play(async {
        let first = stream_acts(false, &[1, 2, 3]).into_iter().chain([Act::Close]).collect();
        let nothing = vec![Act::Say(head_text("{id}", "Content-Length: 0\r\n"))];
        let endpoint = scripted(vec![first, vec![Act::Say(MISDIRECTED.to_owned())], nothing]).await;
        let group = group_of(&endpoint).await;

        let (end, body) = view(&mut send(&group, "/stream/a").await).await;

        assert_eq!((end, body), (ViewEnd::Closed, events_text(1..=3)));
        let seen = endpoint.seen.borrow();
        assert_eq!(seen.requests[2].header("last-event-id"), Some("3"));
    });
}

/// The end of a process closes its connections, which would end an answer that has no framing.
#[test]
fn an_answer_without_framing_is_reset_if_its_process_ends() {
    play(async {
        let acts = stream_acts(false, &[1]).into_iter().chain([Act::AwaitClose]).collect();
        let endpoint = scripted(vec![acts]).await;
        let mut group = group_of(&endpoint).await;
        let mut caller = send(&group, "/fixed/a").await;
        sleep(Duration::from_millis(100)).await;

        group.kill(&[0], Duration::from_millis(100)).await;
        let (end, body) = view(&mut caller).await;

        assert_eq!((end, body), (ViewEnd::Cut, event_text(1)));
    });
}

/// An answer to another request that ends with its connection is passed on, or waited for without end.
#[test]
fn an_unframed_answer_to_another_request_is_not_passed_on() {
    play(async {
        let foreign = head_text("other", "").replace("{id}", "other") + &events_text(1..=3);
        let endpoint = scripted(vec![vec![Act::Say(foreign), Act::Close]]).await;
        let group = group_of(&endpoint).await;

        let (end, _) = view(&mut send(&group, "/fixed/a").await).await;

        assert_eq!(end, ViewEnd::Failed);
    });
}

/// A caller that sends more while its answer ends with its connection loses the end to a reset.
#[test]
fn an_answer_that_ends_its_connection_is_read_whole_although_more_is_sent() {
    play(async {
        let acts = stream_acts(false, &[1, 2, 3]).into_iter().chain([Act::Close]).collect();
        let endpoint = scripted(vec![acts]).await;
        let group = group_of(&endpoint).await;
        let mut caller = send(&group, "/fixed/a").await;
        sleep(Duration::from_millis(20)).await;

        let next = request("POST", "/fixed/a", "r2", "", &"x".repeat(300_000));
        caller.write_all(next.as_bytes()).await.expect("written");
        sleep(Duration::from_millis(20)).await;
        let (end, body) = view(&mut caller).await;

        assert_eq!((end, body), (ViewEnd::Closed, events_text(1..=3)));
    });
}
