//! Connections between processes; in virtual time.

use crate::plays::{ProcessGroup, play};
use oleandertack::kind::{ServiceName, TimeSpan};
use oleandertack::mesh::{MemberInfo, MeshBody};
use oleandertack::origin::StreamKey;
use oleandertack::wire::{CallPeer, ClosePeer, PeerHandler, bind_peer_listener, serve_peers};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the peer takes to answer a batch of records.
const ANSWER_TIME: Duration = Duration::from_millis(250);

/// A peer that takes a while for batches of records, and answers nothing else.
struct SlowPeer;

impl PeerHandler<MeshBody> for SlowPeer {
    fn answer(&self, body: MeshBody) -> Pin<Box<dyn Future<Output = MeshBody>>> {
        Box::pin(async move {
            match body {
                MeshBody::KeepOrigins(_) => sleep(ANSWER_TIME).await,
                _ => std::future::pending().await,
            }
            MeshBody::OriginsKept
        })
    }
}

fn call_peer(address: std::net::SocketAddr, body: MeshBody, limit_ms: u64) -> CallPeer<MeshBody> {
    CallPeer { address: address.to_string().into(), body, limit: TimeSpan(limit_ms) }
}

/// Guards against a call that fails because another one on its connection was not answered in time: a stream that
/// is taken up is refused, because the processes that know its version were not heard.
#[test]
fn a_call_is_answered_although_another_one_gave_its_connection_up() {
    play(async {
        let group = ProcessGroup::start(1).await;
        let node = &group.processes[0].node;
        let hub = node.peers.get().expect("a started process").clone();
        let any = "127.0.0.1:0".parse().expect("an address");
        let listener = bind_peer_listener(any).await.expect("a free port");
        let peer = serve_peers(listener, Rc::new(SlowPeer), Rc::default()).expect("it listens");
        let greeting = MeshBody::Greet(node.mesh.borrow().view.me().clone());
        let slow = hub.send(call_peer(peer.address(), MeshBody::KeepOrigins(Vec::new()), 1000));

        let unanswered = hub.send(call_peer(peer.address(), greeting, 100)).await;
        hub.do_send(ClosePeer(peer.address().to_string().into()));
        let answer = slow.await;

        assert!(matches!(unanswered, Ok(Err(_))), "{unanswered:?}");
        assert!(matches!(answer, Ok(Ok(MeshBody::OriginsKept))), "{answer:?}");
    });
}

/// Guards against calls that wait for a connection that was given up: a new one is opened at once, and what the
/// old one does not answer ends by its own time limit.
#[test]
fn a_call_after_a_connection_was_given_up_has_a_new_one() {
    play(async {
        let group = ProcessGroup::start(1).await;
        let node = &group.processes[0].node;
        let hub = node.peers.get().expect("a started process").clone();
        let any = "127.0.0.1:0".parse().expect("an address");
        let listener = bind_peer_listener(any).await.expect("a free port");
        let peer = serve_peers(listener, Rc::new(SlowPeer), Rc::default()).expect("it listens");
        let greeting = MeshBody::Greet(node.mesh.borrow().view.me().clone());
        let began = Instant::now();
        let unanswered = hub.send(call_peer(peer.address(), greeting, 600));
        hub.do_send(ClosePeer(peer.address().to_string().into()));

        let next =
            hub.send(call_peer(peer.address(), MeshBody::KeepOrigins(Vec::new()), 400)).await;
        let unanswered = unanswered.await;

        assert!(matches!(next, Ok(Ok(MeshBody::OriginsKept))), "{next:?}");
        assert!(matches!(unanswered, Ok(Err(_))), "{unanswered:?}");
        assert!(began.elapsed() < Duration::from_millis(700), "{:?}", began.elapsed());
    });
}

/// A process that does not answer the first batch of records it gets, and keeps those of the next ones.
#[derive(Default)]
struct ForgetfulKeeper {
    batches: Cell<u32>,
    records: Cell<usize>,
}

impl PeerHandler<MeshBody> for ForgetfulKeeper {
    fn answer(&self, body: MeshBody) -> Pin<Box<dyn Future<Output = MeshBody>>> {
        let MeshBody::KeepOrigins(records) = body else { return Box::pin(std::future::pending()) };
        self.batches.set(self.batches.get() + 1);
        if self.batches.get() == 1 {
            return Box::pin(std::future::pending());
        }
        self.records.set(self.records.get() + records.len());
        Box::pin(std::future::ready(MeshBody::OriginsKept))
    }
}

/// Guards against a stream that nobody may take up: the process that began it stops, and a connection that has
/// fallen silent swallows the records that it hands over.
#[test]
fn records_of_streams_are_handed_over_although_a_connection_is_silent() {
    play(async {
        let mut group = ProcessGroup::start(1).await;
        let process = group.processes.remove(0);
        let any = "127.0.0.1:0".parse().expect("an address");
        let listener = bind_peer_listener(any).await.expect("a free port");
        let keeper = Rc::new(ForgetfulKeeper::default());
        let peer = serve_peers(listener, keeper.clone(), Rc::default()).expect("it listens");
        let now = process.node.clock.now();
        let member = MemberInfo {
            id: "front-keeper".into(),
            address: peer.address(),
            unfit: true,
            binds_streams: true,
            takes_parts: true,
            ..process.node.mesh.borrow().view.me().clone()
        };
        process.node.mesh.borrow_mut().view.take(member, true, now);
        let service = ServiceName::from("s");
        let key = StreamKey::of(None, &service, "r1");
        let record = (&service, &"v1".into());
        process.node.origins.borrow_mut().book.note_own(key, record, (now, TimeSpan(30_000)));

        process.stop().await;
        sleep(Duration::from_secs(1)).await;

        assert_eq!((keeper.batches.get(), keeper.records.get()), (2, 1));
    });
}
