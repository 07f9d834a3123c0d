//! Carries out the claim keepers' reads and writes at the object API.

use crate::clock::NodeClock;
use actix::{
    Actor, ActorFutureExt, Addr, AsyncContext, Context, Handler, Message, ResponseFuture,
    WrapFuture,
};
use bytes::Bytes;
use compact_str::CompactString;
use oleander_claim::{
    ClaimAction, ClaimAsk, ClaimRecord, ClaimSaid, ClaimSettings, ClaimVerdict, ShardKeeper,
    head_name, segment_name,
};
use oleander_conf::EntrySettings;
use oleander_kind::{ResultCode, TimeSpan};
use oleander_plat::{HttpStore, ObjectStore, PlatError, VersionGuard};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// Asks for a claim at this process' own keeper.
#[derive(Message)]
#[rtype(result = "ClaimVerdict")]
pub struct AskClaim {
    /// What is claimed.
    pub record: ClaimRecord,
    /// How long the asker waits.
    pub wait: TimeSpan,
}

/// Counts of claims, for dumps.
#[derive(Message)]
#[rtype(result = "ClaimCounts")]
pub struct CountClaims;

/// What the desk has done.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct ClaimCounts {
    /// Shards with something known.
    pub shards: usize,
    /// Claims remembered.
    pub known: usize,
    /// Head writes.
    pub writes: u64,
    /// Claims granted.
    pub granted: u64,
}

impl<A, M> actix::dev::MessageResponse<A, M> for ClaimCounts
where
    A: Actor,
    M: Message<Result = ClaimCounts>,
{
    fn handle(self, _: &mut A::Context, sender: Option<oneshot::Sender<M::Result>>) {
        if let Some(sender) = sender {
            let _ = sender.send(self);
        }
    }
}

/// Keeps the claim shards that this process writes.
pub struct ClaimDesk {
    store: HttpStore,
    clock: NodeClock,
    settings: ClaimSettings,
    shards: u32,
    keepers: HashMap<u32, ShardKeeper>,
    waiting: HashMap<u64, oneshot::Sender<ClaimVerdict>>,
    next_ticket: u64,
}

impl ClaimDesk {
    /// Starts the desk.
    pub fn start(settings: &EntrySettings, store: HttpStore, clock: NodeClock) -> Addr<Self> {
        let linger = TimeSpan(settings.times.claim_linger_ms);
        let desk = ClaimDesk {
            store,
            clock,
            settings: ClaimSettings { linger, ..ClaimSettings::default() },
            shards: settings.claim_shards,
            keepers: HashMap::new(),
            waiting: HashMap::new(),
            next_ticket: 0,
        };
        Actor::start(desk)
    }

    fn keeper(&mut self, shard: u32) -> &mut ShardKeeper {
        let settings = self.settings;
        self.keepers.entry(shard).or_insert_with(|| ShardKeeper::new(settings))
    }

    fn carry_out(&mut self, shard: u32, actions: Vec<ClaimAction>, context: &mut Context<Self>) {
        for action in actions {
            match action {
                ClaimAction::Answer { ticket, verdict } => {
                    if let Some(waiter) = self.waiting.remove(&ticket) {
                        let _ = waiter.send(verdict);
                    }
                }
                ClaimAction::ReadHead => self.read(shard, head_name(shard), context),
                ClaimAction::ReadSegment(number) => {
                    self.read(shard, segment_name(shard, number), context);
                }
                ClaimAction::WriteHead { version, bytes } => {
                    self.write(shard, (head_name(shard), version, bytes), context);
                }
                ClaimAction::WriteSegment { segment, bytes } => {
                    let name = segment_name(shard, segment);
                    self.write(shard, (name, None, bytes), context);
                }
                ClaimAction::RemoveSegment(number) => self.remove(segment_name(shard, number)),
            }
        }
        self.plan_tick(shard, context);
    }

    fn plan_tick(&mut self, shard: u32, context: &mut Context<Self>) {
        let now = self.clock.now();
        let Some(at) = self.keeper(shard).next_tick() else {
            return;
        };
        let pause = at - now;
        context.run_later(pause.duration(), move |desk, context| {
            let (now, wall) = (desk.clock.now(), desk.clock.wall());
            let actions = desk.keeper(shard).tick(now, wall);
            if !actions.is_empty() {
                desk.carry_out(shard, actions, context);
            }
        });
    }

    fn read(&mut self, shard: u32, name: CompactString, context: &mut Context<Self>) {
        let store = self.store.clone();
        let reading = async move {
            match store.read(&name).await {
                Ok(found) => {
                    ClaimSaid::Read(found.map(|object| (object.version, object.bytes.to_vec())))
                }
                Err(fault) if fault.code() == ResultCode::StoreBusy => ClaimSaid::Busy,
                Err(_) => ClaimSaid::NotDone,
            }
        };
        self.hear(shard, reading, context);
    }

    fn write(
        &mut self,
        shard: u32,
        (name, version, bytes): (CompactString, Option<u64>, Vec<u8>),
        context: &mut Context<Self>,
    ) {
        let store = self.store.clone();
        let writing = async move {
            match store.write(&name, VersionGuard::of(version), Bytes::from(bytes)).await {
                Ok(version) => ClaimSaid::Written(version),
                Err(PlatError::OutcomeUnknown(_)) => ClaimSaid::Unknown,
                Err(fault) if fault.code() == ResultCode::StoreConflict => ClaimSaid::Changed,
                Err(fault) if fault.code() == ResultCode::StoreBusy => ClaimSaid::Busy,
                Err(_) => ClaimSaid::NotDone,
            }
        };
        self.hear(shard, writing, context);
    }

    fn hear(
        &mut self,
        shard: u32,
        call: impl Future<Output = ClaimSaid> + 'static,
        context: &mut Context<Self>,
    ) {
        let heard = call.into_actor(self).map(move |said, desk, context| {
            let (now, wall) = (desk.clock.now(), desk.clock.wall());
            let actions = desk.keeper(shard).said(said, now, wall);
            desk.carry_out(shard, actions, context);
        });
        context.spawn(heard);
    }

    fn remove(&self, name: CompactString) {
        let store = self.store.clone();
        actix_rt::spawn(async move {
            if let Ok(Some(object)) = store.read(&name).await {
                let _ = store.remove(&name, object.version).await;
            }
        });
    }
}

impl Actor for ClaimDesk {
    type Context = Context<Self>;
}

impl Handler<AskClaim> for ClaimDesk {
    type Result = ResponseFuture<ClaimVerdict>;

    fn handle(&mut self, message: AskClaim, context: &mut Self::Context) -> Self::Result {
        let shard = message.record.key.shard(self.shards);
        let (now, wall) = (self.clock.now(), self.clock.wall());
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let (answer, answered) = oneshot::channel();
        self.waiting.insert(ticket, answer);
        let ask = ClaimAsk { ticket, record: message.record, deadline: now + message.wait };
        let actions = self.keeper(shard).ask(ask, now, wall);
        self.carry_out(shard, actions, context);
        Box::pin(async move {
            let lost = ClaimVerdict::Unavailable(ResultCode::StoreDown);
            answered.await.unwrap_or(lost)
        })
    }
}

impl Handler<CountClaims> for ClaimDesk {
    type Result = ClaimCounts;

    fn handle(&mut self, _: CountClaims, _: &mut Self::Context) -> Self::Result {
        let mut counts = ClaimCounts { shards: self.keepers.len(), ..ClaimCounts::default() };
        for keeper in self.keepers.values() {
            let (writes, granted) = keeper.counts();
            counts.known += keeper.known();
            counts.writes += writes;
            counts.granted += granted;
        }
        counts
    }
}
