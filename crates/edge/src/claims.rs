//! Carries out the claim keepers' reads and writes at the object API.

use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, ResponseFuture,
    WrapFuture,
};
use bytes::Bytes;
use compact_str::CompactString;
use oleander_board::NodeClock;
use oleander_claim::partition::{PARTITION_SPAN, decode};
use oleander_claim::{
    ClaimAction, ClaimRecord, ClaimRequest, ClaimSettings, ClaimVerdict, HeadValue,
    PartitionKeeper, PartitionName, StoreReply,
};
use oleander_conf::EntrySettings;
use oleander_kind::{ClockTime, ResultCode, TimeSpan};
use oleander_plat::{HttpStore, ObjectStore, PlatError, VersionCondition};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// A book that nobody asked about for this long is dropped from memory; it is read again when
/// somebody asks.
const BOOK_IDLE: TimeSpan = TimeSpan::secs(900);
/// Between two looks for books that are past the horizon.
const SWEEP_PERIOD: TimeSpan = TimeSpan::secs(60);
/// Wall clocks may differ by this much: a book is removed only this long after its keys are refused.
const CLOCK_MARGIN: TimeSpan = TimeSpan::secs(600);
/// Books removed in one look: the one that is due, and those that a pause left behind.
const SWEPT_BOOKS: u64 = 3;

/// Asks for a claim at this process' own keeper.
#[derive(Message)]
#[rtype(result = "ClaimVerdict")]
pub struct AskClaim {
    /// What is claimed.
    pub record: ClaimRecord,
    /// How long the asker waits.
    pub wait: TimeSpan,
}

/// Asks for the counts of claims, for dumps.
#[derive(Message)]
#[rtype(result = "ClaimCounts")]
pub struct CountClaims;

/// What the desk has done.
#[derive(Clone, Copy, Debug, Default, serde::Serialize, actix::MessageResponse)]
pub struct ClaimCounts {
    /// Books in memory.
    pub books: usize,
    /// Claims remembered.
    pub known: usize,
    /// Head writes.
    pub writes: u64,
    /// Claims granted.
    pub granted: u64,
}

struct OpenPartition {
    keeper: PartitionKeeper,
    used_at: ClockTime,
    tick_at: Option<ClockTime>,
}

/// Keeps the books that this process is asked about.
pub struct ClaimDesk {
    store: HttpStore,
    clock: NodeClock,
    settings: ClaimSettings,
    shards: u32,
    books: HashMap<PartitionName, OpenPartition>,
    waiting: HashMap<u64, oneshot::Sender<ClaimVerdict>>,
    next_ticket: u64,
    closed: ClaimCounts,
}

impl ClaimDesk {
    /// Starts the desk.
    pub fn start(settings: &EntrySettings, store: HttpStore, clock: NodeClock) -> Addr<Self> {
        let times = &settings.times;
        let linger = TimeSpan(times.claim_linger_ms);
        // Each shard's newest book may make its part of the writes.
        let write_interval =
            TimeSpan(u64::from(settings.claim_shards) * 1000 / times.claim_writes_per_s);
        let desk = ClaimDesk {
            store,
            clock,
            settings: ClaimSettings { linger, write_interval, ..ClaimSettings::default() },
            shards: settings.claim_shards,
            books: HashMap::new(),
            waiting: HashMap::new(),
            next_ticket: 0,
            closed: ClaimCounts::default(),
        };
        Actor::start(desk)
    }

    fn partition(&mut self, name: PartitionName) -> &mut OpenPartition {
        let settings = self.settings;
        let now = self.clock.now();
        self.books.entry(name).or_insert_with(|| OpenPartition {
            keeper: PartitionKeeper::new(settings),
            used_at: now,
            tick_at: None,
        })
    }

    fn carry_out(
        &mut self,
        name: PartitionName,
        actions: Vec<ClaimAction>,
        context: &mut Context<Self>,
    ) {
        for action in actions {
            match action {
                ClaimAction::Answer { ticket, verdict } => {
                    if let Some(waiter) = self.waiting.remove(&ticket) {
                        let _ = waiter.send(verdict);
                    }
                }
                ClaimAction::ReadHead => self.read(name, name.head(), context),
                ClaimAction::ReadSegment(segment) => {
                    self.read(name, name.segment(segment), context);
                }
                ClaimAction::WriteHead { version, bytes } => {
                    self.write(name, (name.head(), version, bytes), context);
                }
                ClaimAction::WriteSegment { segment, bytes } => {
                    self.write(name, (name.segment(segment), None, bytes), context);
                }
            }
        }
        self.plan_tick(name, context);
    }

    /// Plans the keeper's next tick, unless one is planned that comes as early.
    fn plan_tick(&mut self, name: PartitionName, context: &mut Context<Self>) {
        let now = self.clock.now();
        let partition = self.partition(name);
        let Some(at) = partition.keeper.next_tick() else { return };
        if partition.tick_at.is_some_and(|planned| planned <= at && planned >= now) {
            return;
        }
        partition.tick_at = Some(at);
        context.run_later((at - now).duration(), move |desk, context| {
            let (now, wall) = (desk.clock.now(), desk.clock.wall());
            let partition = desk.partition(name);
            partition.tick_at = None;
            let actions = partition.keeper.tick(now, wall);
            desk.carry_out(name, actions, context);
        });
    }

    fn read(
        &mut self,
        partition: PartitionName,
        object: CompactString,
        context: &mut Context<Self>,
    ) {
        let store = self.store.clone();
        let reading = async move {
            match store.read(&object).await {
                Ok(found) => {
                    StoreReply::Read(found.map(|object| (object.version, object.bytes.to_vec())))
                }
                Err(fault) if fault.code() == ResultCode::StoreBusy => StoreReply::Busy,
                Err(_) => StoreReply::NotDone,
            }
        };
        self.hear(partition, reading, context);
    }

    fn write(
        &mut self,
        partition: PartitionName,
        (object, version, bytes): (CompactString, Option<u64>, Vec<u8>),
        context: &mut Context<Self>,
    ) {
        let store = self.store.clone();
        let writing = async move {
            match store.write(&object, VersionCondition::of(version), Bytes::from(bytes)).await {
                Ok(version) => StoreReply::Written(version),
                Err(PlatError::OutcomeUnknown(_)) => StoreReply::Unknown,
                Err(fault) if fault.code() == ResultCode::StoreConflict => StoreReply::Changed,
                Err(fault) if fault.code() == ResultCode::StoreBusy => StoreReply::Busy,
                Err(_) => StoreReply::NotDone,
            }
        };
        self.hear(partition, writing, context);
    }

    fn hear(
        &mut self,
        partition: PartitionName,
        call: impl Future<Output = StoreReply> + 'static,
        context: &mut Context<Self>,
    ) {
        let heard = call.into_actor(self).map(move |store_reply, desk, context| {
            let (now, wall) = (desk.clock.now(), desk.clock.wall());
            let actions = desk.partition(partition).keeper.store_reply(store_reply, now, wall);
            desk.carry_out(partition, actions, context);
        });
        context.spawn(heard);
    }

    /// Drops books from memory that nobody asks about, and removes books from the store that are
    /// past the horizon. Their keys are refused by age, so no book is ever made again.
    fn sweep(&mut self) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        let mut written = Vec::new();
        let closed = &mut self.closed;
        self.books.retain(|name, partition| {
            let busy = partition.keeper.pending_requests() > 0 || partition.tick_at.is_some();
            if busy || now - partition.used_at < BOOK_IDLE {
                written.push(name.shard);
                return true;
            }
            let (writes, granted) = partition.keeper.counts();
            closed.writes += writes;
            closed.granted += granted;
            false
        });
        written.dedup();
        let keep = TimeSpan(self.settings.retention.0 + CLOCK_MARGIN.0);
        let newest = (wall - keep).0 / PARTITION_SPAN.0;
        for shard in written {
            for span in newest.saturating_sub(SWEPT_BOOKS)..newest {
                let name = PartitionName { shard, span };
                if name.is_expired(keep, wall) {
                    actix_rt::spawn(remove_book(self.store.clone(), name));
                }
            }
        }
    }
}

/// Removes a book: its segments first, so that none is left that no head names.
async fn remove_book(store: HttpStore, name: PartitionName) {
    let Ok(Some(head)) = store.read(&name.head()).await else { return };
    let value = decode::<HeadValue>(&head.bytes).unwrap_or_default();
    for segment in value.segments {
        let object = name.segment(segment);
        if let Ok(Some(found)) = store.read(&object).await {
            let _ = store.remove(&object, found.version).await;
        }
    }
    let _ = store.remove(&name.head(), head.version).await;
}

impl Actor for ClaimDesk {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(SWEEP_PERIOD.duration(), |desk, _| desk.sweep());
    }
}

impl Handler<AskClaim> for ClaimDesk {
    type Result = ResponseFuture<ClaimVerdict>;

    fn handle(&mut self, message: AskClaim, context: &mut Self::Context) -> Self::Result {
        let shard = message.record.key.shard(self.shards);
        let name = PartitionName::of(shard, message.record.key_time);
        let (now, wall) = (self.clock.now(), self.clock.wall());
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let (answer, answered) = oneshot::channel();
        self.waiting.insert(ticket, answer);
        let ask = ClaimRequest { ticket, record: message.record, deadline: now + message.wait };
        let partition = self.partition(name);
        partition.used_at = now;
        let actions = partition.keeper.ask(ask, now, wall);
        self.carry_out(name, actions, context);
        Box::pin(async move {
            let lost = ClaimVerdict::Unavailable(ResultCode::StoreDown);
            answered.await.unwrap_or(lost)
        })
    }
}

impl Handler<CountClaims> for ClaimDesk {
    type Result = ClaimCounts;

    fn handle(&mut self, _: CountClaims, _: &mut Self::Context) -> Self::Result {
        let mut counts = ClaimCounts { books: self.books.len(), ..self.closed };
        for partition in self.books.values() {
            let (writes, granted) = partition.keeper.counts();
            counts.known += partition.keeper.known();
            counts.writes += writes;
            counts.granted += granted;
        }
        counts
    }
}
