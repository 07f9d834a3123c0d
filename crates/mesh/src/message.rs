//! The messages. Fields have short names on the wire, because they travel several times a second.

use crate::limit_message::{AccountAllotment, AccountClaim, HandedLedger, LimitAsk};
use crate::loads::{EndpointLoad, LoadNews};
use crate::words::{EndpointWords, RateShare};
use compact_str::CompactString;
use oleander_judge::{BadTrait, EvidenceTally};
use oleander_kind::hash::mix_bits;
use oleander_kind::{AccountName, ClockTime, DomainName, InstanceId, ServiceName};
use oleander_lease::LeaseRecord;
use oleander_limit::{LedgerBond, PoolAllotment};
use oleander_list::{PartAsk, RosterPart, RosterStand, RosterState, RosterUpdate, VouchNote};
use oleander_pace::ReadPace;
use oleander_plat::FeedObject;
use oleander_release::OrderNews;
use oleander_suspect::SuspectUpdate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Who a process is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberCard {
    /// Its instance.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Its failure domain.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// Where its peers connect.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Tells two lives of it apart.
    #[serde(rename = "l")]
    pub life: u64,
    /// Whether it is stopping.
    #[serde(rename = "x")]
    pub leaving: bool,
    /// Whether it would rather not collect: the store serves others, but not it.
    #[serde(rename = "u")]
    pub unfit: bool,
    /// How well its instance can carry the collecting; see
    /// [`collect_strength`](crate::view::collect_strength).
    #[serde(rename = "s", default)]
    pub strength: u32,
    /// Raised with each change of the card in one life; the highest is the newest.
    #[serde(rename = "n")]
    pub edition: u32,
}

/// How a process stands with the operators' rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesStand {
    /// The version it has; 0 for none.
    #[serde(rename = "m")]
    pub version: u64,
    /// When the store last spoke for that version, to whomever.
    #[serde(rename = "v")]
    pub vouch: Option<VouchNote>,
}

/// Requests of an account that began to run in a window, at one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The window's number.
    #[serde(rename = "w")]
    pub window: u64,
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// Requests.
    #[serde(rename = "n")]
    pub count: u64,
}

/// What another process counted, passed on by a former collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeUsage {
    /// The process.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Its life.
    #[serde(rename = "l")]
    pub life: u64,
    /// Its counts.
    #[serde(rename = "c")]
    pub counts: Vec<UsageCount>,
}

/// Tells apart lives of an endpoint whose work is told of within the same seconds: the last bits of the
/// time at which a life began.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LifeMark(u16);

impl LifeMark {
    /// The mark of a life that began at `life`, in Unix milliseconds.
    pub fn of(life: u64) -> Self {
        LifeMark(life as u16)
    }
}

/// Names a life of an endpoint in few bytes. Two that share a mark by chance count as one; work at them is then taken for
/// more than it is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EndpointMark(u32);

impl EndpointMark {
    /// The mark of the life of `instance` that began at `life`, in Unix milliseconds.
    pub fn of(instance: &InstanceId, life: u64) -> Self {
        EndpointMark(mix_bits(instance.stable_hash() ^ u64::from(LifeMark::of(life).0)) as u32)
    }

    pub(crate) fn value(self) -> u64 {
        u64::from(self.0)
    }
}

/// What a process saw of an endpoint since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "EvidenceFields", into = "EvidenceFields")]
pub struct EndpointEvidence {
    /// The endpoint.
    pub instance: InstanceId,
    /// Which life of it.
    pub life: LifeMark,
    /// What was seen.
    pub tally: EvidenceTally,
}

type EvidenceFields = (InstanceId, LifeMark, EvidenceTally);

impl From<EvidenceFields> for EndpointEvidence {
    fn from((instance, life, tally): EvidenceFields) -> Self {
        EndpointEvidence { instance, life, tally }
    }
}

impl From<EndpointEvidence> for EvidenceFields {
    fn from(evidence: EndpointEvidence) -> Self {
        (evidence.instance, evidence.life, evidence.tally)
    }
}

/// The same of the requests of one route, while a roll-out of their service is under way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route.
    #[serde(rename = "r")]
    pub route: CompactString,
    /// What was seen of the endpoint.
    #[serde(rename = "e")]
    pub seen: EndpointEvidence,
}

/// An endpoint that answers worse than the others of its service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointVerdict {
    /// The endpoint.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Which life of it.
    #[serde(rename = "l")]
    pub life: LifeMark,
    /// In what it is worse.
    #[serde(rename = "b")]
    pub bad_trait: BadTrait,
}

/// What a process asked of a service since it began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Requests, those refused for want of room included.
    #[serde(rename = "r")]
    pub requests: u64,
    /// Prompt tokens that had to be read.
    #[serde(rename = "u")]
    pub unread_tokens: u64,
    /// Answer tokens.
    #[serde(rename = "t")]
    pub answer_tokens: u64,
    /// Requests that were sent to an endpoint.
    #[serde(rename = "n", default)]
    pub sent: u64,
}

/// What a process tells the collector.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Who it is.
    #[serde(rename = "c")]
    pub card: MemberCard,
    /// Its own time of day.
    #[serde(rename = "w")]
    pub wall: ClockTime,
    /// The turn of the collecting that it is in.
    #[serde(rename = "t")]
    pub turn: u64,
    /// What it knows of the members, as a mark.
    #[serde(rename = "m")]
    pub members_mark: u64,
    /// Whether the store answers it.
    #[serde(rename = "f")]
    pub served: bool,
    /// Its rules.
    #[serde(rename = "r")]
    pub rules: RulesStand,
    /// Its endpoint list.
    #[serde(rename = "e")]
    pub roster: RosterStand,
    /// The state of a collector's endpoint list that it has taken.
    #[serde(rename = "o")]
    pub roster_state: Option<RosterState>,
    /// Its allotments; none from a process that is not sure yet whom to report them to.
    #[serde(rename = "s")]
    pub claims: Option<Vec<AccountClaim>>,
    /// The ledger that it went by last.
    #[serde(rename = "b", default)]
    pub bond: Option<LedgerBond>,
    /// The ledger that it kept until now.
    #[serde(rename = "h", default)]
    pub handed: Option<HandedLedger>,
    /// What began to run, for the windows that are not reported yet.
    #[serde(rename = "u")]
    pub usage: Vec<UsageCount>,
    /// Its work at the endpoints.
    #[serde(rename = "l")]
    pub loads: Vec<EndpointLoad>,
    /// What it asked of the services that the system scales.
    #[serde(rename = "q")]
    pub demand: Vec<ServiceDemand>,
    /// How fast it saw engines read.
    #[serde(rename = "v", default)]
    pub paces: Vec<ServicePace>,
    /// What it saw of endpoints since its last report that was answered.
    #[serde(rename = "j", default)]
    pub evidence: Vec<EndpointEvidence>,
    /// What it saw of requests under which endpoints ended, since its last report that was answered.
    #[serde(rename = "d", default)]
    pub suspects: Vec<SuspectUpdate>,
    /// What it knows of such requests of all processes, as a mark.
    #[serde(rename = "k", default)]
    pub suspects_mark: u64,
    /// The same by route, of services of which a roll-out is under way.
    #[serde(rename = "J", default, skip_serializing_if = "Vec::is_empty")]
    pub route_evidence: Vec<RouteEvidence>,
    /// What endpoints said of themselves that the collector may not know.
    #[serde(rename = "W", default, skip_serializing_if = "Vec::is_empty")]
    pub words: Vec<EndpointWords>,
    /// What it knows of such words, as a mark.
    #[serde(rename = "P", default)]
    pub words_mark: u64,
    /// The plans of roll-outs that it goes by, with their numbers.
    #[serde(rename = "O", default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<(ServiceName, u64)>,
    /// Counts of other processes that it knows as a former collector.
    #[serde(rename = "H")]
    pub heritage: Vec<NodeUsage>,
    /// Members that did not answer it a moment ago.
    #[serde(rename = "x")]
    pub unreached: Vec<InstanceId>,
    /// The rules, if the collector asked for them.
    #[serde(rename = "R")]
    pub rules_text: Option<FeedObject>,
    /// What the collector lacks of the endpoint list, if it asked for it.
    #[serde(rename = "E", default)]
    pub roster_update: Option<RosterUpdate>,
}

/// How many endpoints a service needed at the most of late.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePeak {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Endpoints.
    #[serde(rename = "n")]
    pub needed: f64,
}

/// How fast a service's engines read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePace {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Their speed.
    #[serde(rename = "r")]
    pub read: ReadPace,
}

/// The lease of the control work as its holder last wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseNotice {
    /// The object's revision.
    #[serde(rename = "v")]
    pub revision: u64,
    /// The record.
    #[serde(rename = "r")]
    pub record: LeaseRecord,
}

/// What the collector answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeshDigest {
    /// The collector.
    #[serde(rename = "c")]
    pub from: MemberCard,
    /// The members, if the mark of the report is another.
    #[serde(rename = "M")]
    pub members: Option<Vec<MemberCard>>,
    /// True time, as the members' clocks have it in the middle.
    #[serde(rename = "t")]
    pub true_time: ClockTime,
    /// The rules that the collector has, and when the store last spoke for them to anybody.
    #[serde(rename = "r")]
    pub rules: RulesStand,
    /// The same for the endpoint list.
    #[serde(rename = "e")]
    pub roster: RosterStand,
    /// The rules, if they are newer than the report's.
    #[serde(rename = "R")]
    pub rules_text: Option<FeedObject>,
    /// What the reporter lacks of the endpoint list.
    #[serde(rename = "C")]
    pub roster_update: RosterUpdate,
    /// The state that the list is in with it.
    #[serde(rename = "o")]
    pub roster_state: RosterState,
    /// Whether the next report should carry the rules.
    #[serde(rename = "y")]
    pub wants_rules: bool,
    /// Whether the next report should carry the endpoint list.
    #[serde(rename = "z")]
    pub wants_roster: bool,
    /// Allotments of the accounts.
    #[serde(rename = "a")]
    pub allotments: Vec<AccountAllotment>,
    /// The other processes' work at the endpoints.
    #[serde(rename = "l")]
    pub loads: LoadNews,
    /// Usage windows up to this number are reported.
    #[serde(rename = "u")]
    pub reported_window: u64,
    /// What services needed, for the next holder of the control work.
    #[serde(rename = "p")]
    pub peaks: Vec<ServicePeak>,
    /// How fast all processes together saw engines read.
    #[serde(rename = "v", default)]
    pub paces: Vec<ServicePace>,
    /// Endpoints that answer worse than the others of their service.
    #[serde(rename = "j", default)]
    pub verdicts: Vec<EndpointVerdict>,
    /// Requests under which endpoints ended, if the mark of the report is another.
    #[serde(rename = "k", default)]
    pub suspects: Option<Vec<SuspectUpdate>>,
    /// What endpoints said of themselves, if the mark of the report is another.
    #[serde(rename = "W", default, skip_serializing_if = "Option::is_none")]
    pub words: Option<Vec<EndpointWords>>,
    /// The reporter's parts of what limited endpoints take; none while the collector does not hand them out.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub rates: Option<Vec<RateShare>>,
    /// The lease, if the collector knows it.
    #[serde(rename = "h")]
    pub lease: Option<LeaseNotice>,
    /// The roll-outs under way.
    #[serde(rename = "b", default)]
    pub releases: OrderNews,
}

/// The members as one process knows them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Their cards, its own first.
    #[serde(rename = "m")]
    pub cards: Vec<MemberCard>,
    /// The collector that it goes by, if it knows one.
    #[serde(rename = "c")]
    pub collector: Option<MemberCard>,
}

/// A call or its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MeshBody {
    /// A process reports.
    #[serde(rename = "r")]
    Report(Box<NodeReport>),
    /// The collector answers.
    #[serde(rename = "d")]
    Digest(Box<MeshDigest>),
    /// A process needs room of an account.
    #[serde(rename = "k")]
    Ask(LimitAsk),
    /// The ledger's answer; none if there is no ledger here, or the claim can't be answered.
    #[serde(rename = "a")]
    Allotted(Option<Box<PoolAllotment>>),
    /// A process asks for a part of the endpoint list.
    #[serde(rename = "p")]
    AskPart(PartAsk),
    /// The part.
    #[serde(rename = "l")]
    Part(Box<RosterPart>),
    /// The process asked cannot collect: it is stopping, as its card says.
    #[serde(rename = "x")]
    Leaving(MemberCard),
    /// A process looks for the others.
    #[serde(rename = "g")]
    Greet(MemberCard),
    /// What the process asked knows of the members.
    #[serde(rename = "m")]
    Members(MemberList),
    /// The process asked goes by this collector, and so should the asker.
    #[serde(rename = "f")]
    Follow(MemberCard),
}
