//! Callers' connections at every moment of a planned stop, up to the end of the process, in virtual time.

use crate::front::{CallerAnswer, front_with, good, read_answer, request, static_store};
use crate::plays::play;
use crate::scripted::{Act, scripted};
use futures_util::future::join_all;
use oleandertack::board::NodeClock;
use oleandertack::conf::FrontBounds;
use oleandertack::front::{FrontNode, FrontPorts};
use oleandertack::outlet::TcpDialer;
use std::cell::Cell;
use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// When the process begins to refuse requests, after the stop signal.
const DRAIN_MS: u64 = 2600;
/// Time for a stop.
const GRACE_S: f64 = 4.0;

const EMPTY_ANSWER: &str = "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
     X-Oleandertack-Response-Seal: seal\r\nContent-Length: 0\r\n\r\n";

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A front process that ends with all its connections once it has stopped.
struct EndingProcess {
    address: SocketAddr,
    node: Rc<FrontNode>,
    stop: oneshot::Sender<()>,
    ended: Rc<Cell<bool>>,
}

impl EndingProcess {
    async fn start(endpoint: SocketAddr) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (ready, started) = oneshot::channel();
        let ended = Rc::new(Cell::new(false));
        let has_ended = ended.clone();
        spawn_local(async move {
            let tasks = LocalSet::new();
            let life = async {
                let ports = FrontPorts {
                    store: Box::new(static_store(&[endpoint])),
                    cloud: None,
                    dialer: Rc::new(TcpDialer::default()),
                    clock: NodeClock::from_runtime(),
                };
                let bounds = FrontBounds { grace_s: GRACE_S, ..FrontBounds::default() };
                let (process, address) = front_with(ports, bounds).await;
                let started = (address, process.node.clone());
                assert!(ready.send(started).is_ok(), "the test waits for it");
                stopped.await.expect("the test stops it");
                process.stop().await;
            };
            tasks.run_until(life).await;
            drop(tasks);
            has_ended.set(true);
        });
        let (address, node) = started.await.expect("it starts");
        EndingProcess { address, node, stop, ended }
    }

    /// Sends the stop signal; returns when that was.
    fn stop(self) -> (Instant, Rc<Cell<bool>>) {
        self.stop.send(()).expect("it runs");
        (Instant::now(), self.ended)
    }

    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("it listens")
    }
}

async fn write(caller: &mut TcpStream, text: &str) {
    caller.write_all(text.as_bytes()).await.expect("written");
}

fn once(id: &str, body: &str) -> String {
    request("POST", "/once/a", id, "", body).replace("Deadline-Ms: 2000", "Deadline-Ms: 6000")
}

/// Whether a request was answered or refused as not run.
fn is_settled(answer: &CallerAnswer) -> bool {
    ["200", "503"].contains(&answer.status())
}

/// Sends the first bytes of a request and the rest at two times after the stop began.
async fn ask_in_halves(
    mut caller: TcpStream,
    text: &str,
    half: usize,
    (first, last): (Instant, Instant),
) -> CallerAnswer {
    sleep_until(first).await;
    write(&mut caller, &text[..half]).await;
    sleep_until(last).await;
    if caller.write_all(&text.as_bytes()[half..]).await.is_err() {
        return CallerAnswer { text: String::new(), ended: true };
    }
    read_answer(&mut caller).await
}

/// Guards against a process that ends while it reads a request.
#[test]
fn a_request_that_is_being_read_when_the_last_one_ends_is_answered() {
    for (half, first, last) in [
        (20, 2400, 2650),
        (20, 2590, 2750),
        (20, 2599, 2800),
        (160, 2400, 2650),
        (160, 2590, 3300),
        (160, 2599, 3500),
    ] {
        play(async {
            let endpoint = good("hello").await;
            let process = EndingProcess::start(endpoint.address).await;
            let caller = process.connect().await;
            let text = once("r1", &"x".repeat(100));
            assert!(text.len() > 200 && text[..160].contains("\r\n\r\n"), "a half of the body");

            let (began, _) = process.stop();
            let times = (began + ms(first), began + ms(last));
            let answer = ask_in_halves(caller, &text, half, times).await;

            assert!(is_settled(&answer), "{half} bytes at {first}, rest at {last}: {answer:?}");
        });
    }
}

/// A request that does not arrive in time is refused as at any other time, and the process ends.
#[test]
fn a_request_that_never_arrives_whole_is_refused_and_does_not_hold_the_process() {
    play(async {
        let endpoint = good("hello").await;
        let process = EndingProcess::start(endpoint.address).await;
        let mut caller = process.connect().await;
        let (began, ended) = process.stop();
        sleep_until(began + ms(DRAIN_MS - 100)).await;

        write(&mut caller, "POST /once/a HT").await;
        let answer = read_answer(&mut caller).await;
        drop(caller);
        sleep(ms(100)).await;

        assert_eq!(answer.status(), "408", "{answer:?}");
        assert!(ended.get());
    });
}

/// A body that trickles on to the end of the grace time.
#[test]
fn a_request_that_is_still_arriving_when_the_grace_time_is_over_is_refused_as_not_run() {
    play(async {
        let endpoint = good("hello").await;
        let process = EndingProcess::start(endpoint.address).await;
        let mut caller = process.connect().await;
        let text = once("r1", &"x".repeat(100));
        write(&mut caller, &text[..text.len() - 50]).await;
        let (began, ended) = process.stop();

        let answer = read_answer(&mut caller).await;
        let answered = began.elapsed();
        drop(caller);
        sleep(ms(200)).await;

        assert_eq!(answer.status(), "503", "{answer:?}");
        assert!(answered > ms(3500) && answered < ms(4000), "{answered:?}");
        assert!(ended.get());
    });
}

/// Sends a request at once on a connection, unless its socket shows that it is closed.
async fn ask_unless_closed(caller: TcpStream, id: &str) -> Option<CallerAnswer> {
    let mut caller = caller.into_std().expect("a socket");
    caller.peek(&mut [0; 1]).err().filter(|fault| fault.kind() == ErrorKind::WouldBlock)?;
    caller.write_all(once(id, "x").as_bytes()).ok()?;
    let mut caller = TcpStream::from_std(caller).expect("a socket");
    Some(read_answer(&mut caller).await)
}

/// Guards against closing a connection with a request in its socket.
#[test]
fn a_request_on_an_idle_connection_is_answered_at_every_moment_of_a_stop() {
    play(async {
        let endpoint = good("hello").await;
        let process = EndingProcess::start(endpoint.address).await;
        let moments: Vec<u64> = (DRAIN_MS - 30..DRAIN_MS + 40).collect();
        let callers = join_all(moments.iter().map(|_| process.connect())).await;
        sleep(ms(500)).await;
        let (began, _) = process.stop();

        let asked = moments.iter().zip(callers).map(|(moment, caller)| async move {
            sleep_until(began + ms(*moment)).await;
            (*moment, ask_unless_closed(caller, &format!("r{moment}")).await)
        });
        let answers = join_all(asked).await;

        let sent = answers.iter().filter_map(|(at, answer)| Some((at, answer.as_ref()?)));
        let (settled, lost): (Vec<_>, Vec<_>) = sent.partition(|(_, answer)| is_settled(answer));
        assert!(settled.len() >= 30, "{settled:?}");
        assert!(lost.is_empty(), "{lost:?}");
    });
}

/// Guards against closing a connection with a request that a busy process has not looked for yet.
#[test]
fn a_request_that_came_unseen_before_idle_connections_are_closed_is_answered() {
    play(async {
        let endpoint = good("hello").await;
        let process = EndingProcess::start(endpoint.address).await;
        let mut caller = process.connect().await;
        sleep(ms(500)).await;

        let text = once("r1", "x");
        assert_eq!(caller.try_write(text.as_bytes()).expect("written"), text.len());
        process.node.close_idle.notify_waiters();
        let answer = read_answer(&mut caller).await;

        assert_eq!(answer.status(), "200", "{answer:?}");
    });
}

/// Asks on new connections at many moments of a stop, while a request from before it takes `busy`. Returns the
/// answers on those that were accepted.
async fn ask_newly(busy: Duration) -> Vec<(u64, Option<CallerAnswer>)> {
    let slow = vec![Act::Pause(busy), Act::Say(EMPTY_ANSWER.to_owned())];
    let quick = vec![Act::Say(EMPTY_ANSWER.to_owned())];
    let endpoint = scripted(vec![slow, quick]).await;
    let process = EndingProcess::start(endpoint.address).await;
    let mut long = process.connect().await;
    write(&mut long, &once("long", "x")).await;
    sleep(ms(20)).await;
    let address = process.address;
    let (began, _) = process.stop();
    let moments = (DRAIN_MS - 100..DRAIN_MS + 900).step_by(3);
    let asked = moments.map(|moment| async move {
        sleep_until(began + ms(moment)).await;
        let caller = TcpStream::connect(address).await.ok()?;
        Some((moment, ask_unless_closed(caller, &format!("r{moment}")).await))
    });
    join_all(asked).await.into_iter().flatten().collect()
}

/// Guards against accepting a connection that nobody serves.
#[test]
fn a_request_on_a_new_connection_is_answered_at_every_moment_of_a_stop_or_cannot_connect() {
    for (busy, least) in [(2, 30), (DRAIN_MS + 500, 190)] {
        let connected = play(ask_newly(ms(busy)));

        let is_answered = |answer: &Option<CallerAnswer>| answer.as_ref().is_some_and(is_settled);
        let lost: Vec<_> = connected.iter().filter(|(_, answer)| !is_answered(answer)).collect();
        assert!(connected.len() >= least, "{} connected", connected.len());
        assert!(lost.is_empty(), "{lost:?}");
    }
}

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
     X-Oleandertack-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n";

fn event_chunk(id: u32) -> Act {
    let event = format!("id: {id}\ndata: x\n\n");
    Act::Say(format!("{:x}\r\n{event}\r\n", event.len()))
}

/// Guards against closing a connection whose caller has just been given the end of a stream and was not told that
/// the connection closes.
#[test]
fn a_request_right_after_a_stream_that_ends_during_the_drain_is_refused_as_not_run() {
    for pause in [0, 1, 15, 60] {
        play(async {
            let mut acts = vec![Act::Say(STREAM_HEAD.to_owned())];
            acts.extend((1..9).flat_map(|id| [event_chunk(id), Act::Pause(ms(400))]));
            acts.push(Act::Say("0\r\n\r\n".to_owned()));
            let endpoint = scripted(vec![acts]).await;
            let process = EndingProcess::start(endpoint.address).await;
            let mut caller = process.connect().await;
            let text = request("POST", "/stream/a", "r1", "", "x");
            write(&mut caller, &text.replace("Deadline-Ms: 2000", "Deadline-Ms: 6000")).await;
            sleep(ms(20)).await;
            let (began, _) = process.stop();

            let stream = read_answer(&mut caller).await;
            let streamed = began.elapsed();
            sleep(ms(pause)).await;
            let next = ask_unless_closed(caller, "r2").await.expect("an open connection");

            assert!(!stream.ended && stream.has("id: 8"), "{stream:?}");
            assert!(streamed > ms(DRAIN_MS), "{streamed:?}");
            assert!(next.status() == "503" && next.has("connection: close"), "{pause}: {next:?}");
        });
    }
}

/// Guards against an answer that keeps its connection, by a process that is about to end.
#[test]
fn an_answer_to_a_request_from_before_the_stop_says_that_its_connection_closes() {
    play(async {
        let acts = vec![Act::Pause(ms(DRAIN_MS + 200)), Act::Say(EMPTY_ANSWER.to_owned())];
        let endpoint = scripted(vec![acts]).await;
        let process = EndingProcess::start(endpoint.address).await;
        let mut caller = process.connect().await;
        write(&mut caller, &once("r1", "x")).await;
        sleep(ms(20)).await;

        process.stop();
        let answer = read_answer(&mut caller).await;

        assert!(answer.status() == "200" && answer.has("connection: close"), "{answer:?}");
    });
}

/// Guards against requests that get no answer at all when the grace time is over.
#[test]
fn a_request_that_the_grace_time_cuts_is_told_that_it_may_have_run() {
    play(async {
        let endpoint = scripted(vec![vec![Act::AwaitClose]]).await;
        let process = EndingProcess::start(endpoint.address).await;
        let mut caller = process.connect().await;
        write(&mut caller, &once("r1", "x")).await;
        sleep(ms(20)).await;

        let (began, ended) = process.stop();
        let answer = read_answer(&mut caller).await;
        let answered = began.elapsed();
        drop(caller);
        sleep(ms(200)).await;

        assert!(answer.status() == "502" && answer.has("\"code\":2001"), "{answer:?}");
        assert!(answered > ms(3500) && answered < ms(4000), "{answered:?}");
        assert!(ended.get());
    });
}

/// Guards against an answer whose end is lost: a connection that is closed with unread bytes is reset.
#[test]
fn an_answer_arrives_whole_although_its_caller_sent_more_than_was_read() {
    const LENGTH: usize = 1 << 20;
    play(async {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {{id}}\r\n\
             X-Oleandertack-Response-Seal: seal\r\nContent-Length: {LENGTH}\r\n\r\n{}",
            "y".repeat(LENGTH)
        );
        let endpoint = scripted(vec![vec![Act::Say(answer)]]).await;
        let process = EndingProcess::start(endpoint.address).await;
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(4096).expect("a small buffer");
        let caller = socket.connect(process.address).await.expect("it listens");
        let (began, _) = process.stop();
        sleep_until(began + ms(1000)).await;

        let (mut answers, mut requests) = caller.into_split();
        let more = once("r1", "x") + &once("r2", &"x".repeat(500_000));
        spawn_local(async move {
            // The process reads only a part of it.
            let _ = requests.write_all(more.as_bytes()).await;
            requests.forget();
        });
        let mut bytes = Vec::new();
        while bytes.len() < LENGTH {
            let mut part = [0; 4096];
            match answers.read(&mut part).await {
                Ok(0) | Err(_) => break,
                Ok(count) => bytes.extend_from_slice(&part[..count]),
            }
            if bytes.len() % 64 < 8 {
                sleep(ms(1)).await;
            }
        }

        assert!(bytes.len() >= LENGTH, "{} bytes of {LENGTH}", bytes.len());
    });
}
