//! Answers peers, and keeps membership, limits and news going.

use crate::again::find_here;
use crate::claims::AskClaim;
use crate::node::EntryNode;
use crate::shadow::refresh_holders;
use crate::{lists, spread};
use compact_str::CompactString;
use oleander_board::StopStage;
use oleander_claim::{ClaimKey, ClaimVerdict, claim_key};
use oleander_kind::hash::{HASH_SEED, mix_bits, rendezvous_weight, stable_hash};
use oleander_kind::{AccountName, ClockTime, InstanceId, ResultCode, TimeSpan};
use oleander_limit::DemandReport;
use oleander_member::{MemberAction, MemberStage, owner_of};
use oleander_wire::{NodeStatus, PeerBody, PeerHandler};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// How long a probe's answer is waited for; later it counts for nothing anyway.
const PROBE_LIMIT: TimeSpan = TimeSpan(2000);
/// Members that news of a leaving endpoint or a new bundle is told to at once.
pub const NEWS_FAN_OUT: usize = 3;
/// How long a piece of news may take to one member.
const NEWS_LIMIT: TimeSpan = TimeSpan(1000);

/// Answers peers for a node.
pub struct NodePeers(pub Rc<EntryNode>);

impl PeerHandler for NodePeers {
    fn answer(&self, body: PeerBody) -> Pin<Box<dyn Future<Output = PeerBody>>> {
        Box::pin(answer(self.0.clone(), body))
    }
}

async fn answer(node: Rc<EntryNode>, body: PeerBody) -> PeerBody {
    match body {
        PeerBody::Probe { from, list, message } => {
            let now = node.clock.now();
            let generation = node.generation();
            let reply = node.members.borrow_mut().handle_probe(&from, &message, generation, now);
            spread::compare(&node, message.generation, &from.address);
            lists::compare(&node, list, &from.address);
            let from = node.members.borrow().me().clone();
            let list = node.list.borrow().mark();
            PeerBody::ProbeAnswer { from, list, message: reply }
        }
        PeerBody::HelpProbe { address } => help_probe(&node, &address).await,
        PeerBody::AskBundle { generation } => spread::answer_ask(&node, generation),
        PeerBody::BundleNews { generation, address } => {
            spread::compare(&node, generation, &address);
            PeerBody::Done
        }
        PeerBody::AskClaim { record, wait_ms } => {
            let ask = AskClaim { record, wait: TimeSpan(wait_ms) };
            let lost = ClaimVerdict::Unavailable(ResultCode::StoreDown);
            let verdict = node.claims.send(ask).await.unwrap_or(lost);
            PeerBody::ClaimIs { verdict: verdict.into() }
        }
        PeerBody::PutShadow { record } => {
            let key = claim_key(&record.account, record.id.as_str());
            take_shadow(&node, key, *record)
        }
        PeerBody::PutAnswer { answer } => {
            let key = claim_key(&answer.account, answer.id.as_str());
            let now = node.clock.now();
            node.book.borrow_mut().keep(key, answer, now);
            PeerBody::Done
        }
        PeerBody::DropShadow { keys } => {
            keys.into_iter().for_each(|key| node.book.borrow_mut().drop_held(key));
            PeerBody::Done
        }
        PeerBody::Taken { key } => {
            // Its reader here is gone, though that may be noticed only later: its caller came back
            // at the peer. Otherwise this process would wait for the caller in vain and then cancel
            // the engine's stream under the peer.
            if let Some(live) = node.book.borrow().live(key) {
                live.give_away();
            }
            PeerBody::Done
        }
        PeerBody::FindRequest { key } => PeerBody::Found { found: find_here(&node, key) },
        PeerBody::ReportDemand { entry, reports } => grant_shares(&node, &entry, reports),
        PeerBody::LeavingNews { leaving } => {
            leaving.iter().for_each(|(instance, ends_at)| node.note_leaving(instance, *ends_at));
            PeerBody::Done
        }
        PeerBody::ListNews { change } => {
            lists::take_news(&node, &change);
            PeerBody::Done
        }
        PeerBody::AskList => lists::whole_list(&node),
        PeerBody::AskStatus => PeerBody::StatusIs { status: status(&node) },
        _ => PeerBody::Refused { code: ResultCode::PeerBadFrame.number() },
    }
}

/// A leaving process refuses copies: it would only have to pass them on.
fn take_shadow(node: &EntryNode, key: ClaimKey, record: oleander_wire::ShadowRecord) -> PeerBody {
    if node.board.borrow().stop != StopStage::Serving {
        return PeerBody::Refused { code: ResultCode::Draining.number() };
    }
    let now = node.clock.now();
    node.book.borrow_mut().hold(key, record, now);
    PeerBody::Done
}

/// How this process stands.
pub fn status(node: &EntryNode) -> NodeStatus {
    let board = node.board.borrow();
    let generation = node.generation();
    NodeStatus {
        instance: node.me().clone(),
        generation,
        age_ms: (node.clock.now() - board.bundle_seen).0,
        ready: generation > 0 && board.stop == StopStage::Serving,
        in_flight: node.book.borrow().live_count() as u64,
    }
}

/// The statuses of all members that answer, and the names of those that do not.
pub async fn cluster_status(node: &Rc<EntryNode>) -> (Vec<NodeStatus>, Vec<InstanceId>) {
    let members: Vec<_> = node.members.borrow().serving_members().cloned().collect();
    let mut asked = Vec::new();
    for member in members.into_iter().filter(|member| member.id != *node.me()) {
        let node = node.clone();
        asked.push(actix_rt::spawn(async move {
            let reply = node.call_peer(&member.address, PeerBody::AskStatus, PROBE_LIMIT).await;
            match reply {
                Ok(PeerBody::StatusIs { status }) => Ok(status),
                _ => Err(member.id),
            }
        }));
    }
    let mut known = vec![status(node)];
    let mut silent = Vec::new();
    for reply in asked {
        match reply.await {
            Ok(Ok(status)) => known.push(status),
            Ok(Err(id)) => silent.push(id),
            Err(_) => {}
        }
    }
    (known, silent)
}

async fn help_probe(node: &EntryNode, address: &CompactString) -> PeerBody {
    let reply = node.call_peer(address, PeerBody::AskStatus, PROBE_LIMIT).await;
    PeerBody::Helped { reached: reply.is_ok() }
}

/// One period of membership: probes, news, and what follows from members that went.
pub async fn member_period(node: Rc<EntryNode>) {
    let period = TimeSpan(node.settings.times.probe_ms).duration();
    loop {
        actix_rt::time::sleep(period).await;
        let before = taker_ids(&node);
        let (now, random) = (node.clock.now(), node.random());
        let generation = node.generation();
        let actions = node.members.borrow_mut().tick(generation, now, random);
        for action in actions {
            actix_rt::spawn(carry_out(node.clone(), action));
        }
        let after = taker_ids(&node);
        for gone in before.difference(&after) {
            slog::info!(node.log, "a member is gone or leaving"; "member" => gone.as_str());
            refresh_holders(&node, gone);
        }
        let entries = u32::try_from(after.len()).unwrap_or(u32::MAX);
        node.limits.borrow_mut().set_entries(entries);
        report_demand(&node);
        let (now, wall) = (node.clock.now(), node.clock.wall());
        node.book.borrow_mut().sweep(now, wall);
    }
}

fn taker_ids(node: &EntryNode) -> BTreeSet<InstanceId> {
    node.members.borrow().serving_members().map(|member| member.id.clone()).collect()
}

async fn carry_out(node: Rc<EntryNode>, action: MemberAction) {
    match action {
        MemberAction::Probe { to, message } => {
            let Some(address) = node.peer_address(&to) else {
                return;
            };
            let from = node.members.borrow().me().clone();
            let list = node.list.borrow().mark();
            let probe = PeerBody::Probe { from, list, message };
            let reply = node.call_peer(&address, probe, PROBE_LIMIT).await;
            if let Ok(PeerBody::ProbeAnswer { from, list, message }) = reply {
                let now = node.clock.now();
                node.members.borrow_mut().handle_answer(&from, &message, now);
                spread::compare(&node, message.generation, &from.address);
                lists::compare(&node, list, &from.address);
            }
        }
        MemberAction::ProbeVia { helper, target, number } => {
            let addresses = node.peer_address(&helper).zip(node.peer_address(&target));
            let Some((helper, target)) = addresses else {
                return;
            };
            let ask = PeerBody::HelpProbe { address: target };
            let reply = node.call_peer(&helper, ask, PROBE_LIMIT).await;
            if let Ok(PeerBody::Helped { reached: true }) = reply {
                node.members.borrow_mut().handle_helper_answer(number);
            }
        }
    }
}

/// Tells everybody at once that this process is leaving.
pub async fn tell_own_leaving(node: &Rc<EntryNode>) {
    node.members.borrow_mut().leave();
    let generation = node.generation();
    let peers: Vec<_> = node.members.borrow().serving_members().cloned().collect();
    let message = {
        let news = vec![node.members.borrow().me().clone()];
        oleander_member::ProbeMessage { number: u64::MAX, generation, news }
    };
    let mut told = Vec::new();
    for peer in peers {
        let node = node.clone();
        let from = node.members.borrow().me().clone();
        let list = node.list.borrow().mark();
        let probe = PeerBody::Probe { from, list, message: message.clone() };
        told.push(actix_rt::spawn(async move {
            let _ = node.call_peer(&peer.address, probe, NEWS_LIMIT).await;
        }));
    }
    for call in told {
        let _ = call.await;
    }
}

/// Passes on that an endpoint is leaving. Each process passes each such news on once, to a few
/// members, so it reaches all in a few rounds at a cost that does not grow with their number.
pub fn tell_leaving(node: &EntryNode, instance: &InstanceId, ends_at: Option<ClockTime>) {
    let leaving = vec![(instance.clone(), ends_at)];
    for address in news_targets(node, instance.stable_hash()) {
        let call = oleander_wire::CallPeer {
            address,
            body: PeerBody::LeavingNews { leaving: leaving.clone() },
            limit: NEWS_LIMIT,
        };
        let hub = node.hub.clone();
        actix_rt::spawn(async move {
            let _ = hub.send(call).await;
        });
    }
}

/// The members that a piece of news is told to: a few, chosen differently by each process and each
/// piece of news, and the next one in the order of names.
///
/// The few make it quick. Of those that everybody tells by chance, one in twenty would be told by
/// nobody (e to the power of -3) and wait for a probe; the next in order makes sure of them.
pub fn news_targets(node: &EntryNode, news: u64) -> Vec<CompactString> {
    let members = node.members.borrow();
    let key = mix_bits(news ^ node.me().stable_hash());
    let others = || members.serving_members().filter(|member| member.id != *node.me());
    let after = others().filter(|member| member.id > *node.me()).min_by_key(|member| &member.id);
    let next = after.or_else(|| others().min_by_key(|member| &member.id));
    let mut ranked: Vec<_> = others()
        .map(|member| (rendezvous_weight(key, member.id.stable_hash()), &member.address))
        .collect();
    ranked.sort();
    let mut targets: Vec<CompactString> =
        ranked.into_iter().take(NEWS_FAN_OUT).map(|(_, address)| address.clone()).collect();
    if let Some(next) = next.filter(|next| !targets.contains(&next.address)) {
        targets.push(next.address.clone());
    }
    targets
}

fn grant_shares(
    node: &EntryNode,
    entry: &InstanceId,
    reports: Vec<(AccountName, DemandReport)>,
) -> PeerBody {
    let entries = u32::try_from(node.members.borrow().serving_count()).unwrap_or(u32::MAX);
    let now = node.clock.now();
    let mut owner = node.limit_owner.borrow_mut();
    let grants = reports
        .into_iter()
        .map(|(account, report)| {
            let grant = owner.report(&account, entry, report, (entries, now));
            (account, grant)
        })
        .collect();
    PeerBody::SharesAre { grants }
}

/// Reports this entry's demand to the owners of the accounts' limits.
fn report_demand(node: &Rc<EntryNode>) {
    let reports = node.limits.borrow_mut().take_reports();
    let mut by_owner: BTreeMap<InstanceId, Vec<(AccountName, DemandReport)>> = BTreeMap::new();
    for (account, report) in reports {
        let owner = {
            let members = node.members.borrow();
            owner_of(&members, account.stable_hash()).map(|member| member.id.clone())
        };
        if let Some(owner) = owner {
            by_owner.entry(owner).or_default().push((account, report));
        }
    }
    for (owner, reports) in by_owner {
        actix_rt::spawn(ask_shares(node.clone(), owner, reports));
    }
}

async fn ask_shares(
    node: Rc<EntryNode>,
    owner: InstanceId,
    reports: Vec<(AccountName, DemandReport)>,
) {
    let me = node.me().clone();
    let reply = if owner == me {
        grant_shares(&node, &me, reports)
    } else {
        let Some(address) = node.peer_address(&owner) else {
            return;
        };
        let body = PeerBody::ReportDemand { entry: me, reports };
        match node.call_peer(&address, body, NEWS_LIMIT).await {
            Ok(reply) => reply,
            Err(_) => return,
        }
    };
    let PeerBody::SharesAre { grants } = reply else {
        return;
    };
    let now = node.clock.now();
    for (account, grant) in grants {
        node.limits.borrow_mut().take_grant(&account, grant, now);
    }
}

/// Whether the fleet process beside this entry should stand by for `service`: it is beside one of
/// the first three members for the service's key. Were every process to watch every lease, the
/// reads would grow with the fleet and use up the store's rate at some 370 nodes.
pub fn stands_by(node: &EntryNode, service: &str) -> bool {
    const STANDBYS: usize = 3;
    let members = node.members.borrow();
    let key = stable_hash(HASH_SEED, service.as_bytes());
    oleander_member::ranked(&members, key, STANDBYS).iter().any(|member| member.id == *node.me())
}

/// Whether this process is one of the members that watch the store for their failure domain.
pub fn is_relay(node: &EntryNode) -> bool {
    /// Watchers in one failure domain: two, so that one may die without a gap.
    const RELAYS: usize = 2;
    let members = node.members.borrow();
    let domain = &node.settings.domain;
    let key = mix_bits(domain.stable_hash());
    let mut ranked: Vec<_> = members
        .serving_members()
        .filter(|member| member.domain == *domain && member.stage != MemberStage::Suspect)
        .map(|member| (rendezvous_weight(key, member.id.stable_hash()), &member.id))
        .collect();
    ranked.sort();
    ranked.iter().rev().take(RELAYS).any(|(_, id)| *id == node.me())
}
