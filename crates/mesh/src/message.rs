//! Messages between front processes: reports to the collector, its digests, and other calls. Fields
//! have short names on the wire, because messages are sent several times a second.

use crate::limit_message::{AccountAllotment, AccountClaim, LedgerHandover, LimitRequest};
use crate::loads::{EndpointLoad, LoadUpdate};
use crate::rules_part::{RulesPart, RulesRequest};
use crate::signals::{EndpointSignals, RateShare};
use compact_str::CompactString;
use oleander_judge::{BadTrait, EvidenceTally};
use oleander_kind::hash::mix_bits;
use oleander_kind::{AccountName, ClockTime, DomainName, InstanceId, ServiceName, TimeSpan};
use oleander_lease::LeaseRecord;
use oleander_limit::{LastLedger, PoolAllotment};
use oleander_list::{
    FreshnessNote, PartRequest, RosterPart, RosterStatus, RosterUpdate, RosterVersion,
};
use oleander_origin::{OriginAnswer, OriginEntry, StreamKey};
use oleander_pace::ReadPace;
use oleander_plat::FeedObject;
use oleander_release::OrderNews;
use oleander_suspect::SuspectUpdate;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Identity and state of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its instance.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Its failure domain.
    #[serde(rename = "d")]
    pub domain: DomainName,
    /// The address for peers.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Identifies the incarnation of the process.
    #[serde(rename = "l")]
    pub life: u64,
    /// Whether it is stopping.
    #[serde(rename = "x")]
    pub leaving: bool,
    /// Whether it prefers not to collect, because the store answers other processes but not it.
    #[serde(rename = "u")]
    pub unfit: bool,
    /// The capacity of its instance to collect; see
    /// [`collector_capacity`](crate::view::collector_capacity).
    #[serde(rename = "s", default)]
    pub capacity: u32,
    /// The address for callers, at which peers may relay requests to it; `None` of a process that
    /// does not take relayed requests.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub caller_address: Option<SocketAddr>,
    /// Services of which it reaches no endpoint.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub unreached_services: Vec<ServiceName>,
    /// Whether it keeps and tells the versions at which streams began, and binds relayed streams to theirs.
    #[serde(rename = "b", default, skip_serializing_if = "std::ops::Not::not")]
    pub binds_streams: bool,
    /// Whether it takes and sends rules in parts; the others get them whole with a digest.
    #[serde(rename = "t", default, skip_serializing_if = "std::ops::Not::not")]
    pub takes_parts: bool,
    /// Incremented with each change within one incarnation; the highest is the newest.
    #[serde(rename = "n")]
    pub edition: u32,
}

/// The status of a process's rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesStatus {
    /// The version in force; 0 for none.
    #[serde(rename = "m")]
    pub version: u64,
    /// When the store last confirmed that version to any process.
    #[serde(rename = "v")]
    pub freshness: Option<FreshnessNote>,
}

/// The number of an account's requests that began to run in a window, at one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The window's number.
    #[serde(rename = "w")]
    pub window: u64,
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// The number of requests.
    #[serde(rename = "n")]
    pub count: u64,
}

/// Counts of another process, passed on by a former collector.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeUsage {
    /// The process.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Its incarnation.
    #[serde(rename = "l")]
    pub life: u64,
    /// Its counts.
    #[serde(rename = "c")]
    pub counts: Vec<UsageCount>,
}

/// Distinguishes incarnations of an endpoint that report within the same seconds: the low bits of
/// the start time of an incarnation.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct IncarnationTag(u16);

impl IncarnationTag {
    /// The tag of the incarnation that started at `life`, in Unix milliseconds.
    pub fn of(life: u64) -> Self {
        IncarnationTag(life as u16)
    }
}

/// A short hash of an endpoint's incarnation. Two that collide count as one; their load is
/// then overestimated.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct EndpointHash(u32);

impl EndpointHash {
    /// The hash of the incarnation of `instance` that started at `life`, in Unix
    /// milliseconds.
    pub fn of(instance: &InstanceId, life: u64) -> Self {
        EndpointHash(mix_bits(instance.stable_hash() ^ u64::from(IncarnationTag::of(life).0)) as u32)
    }

    pub(crate) fn value(self) -> u64 {
        u64::from(self.0)
    }
}

/// What a process observed of an endpoint since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "EvidenceFields", into = "EvidenceFields")]
pub struct EndpointEvidence {
    /// The endpoint.
    pub instance: InstanceId,
    /// Its incarnation.
    pub life: IncarnationTag,
    /// The observations.
    pub tally: EvidenceTally,
}

type EvidenceFields = (InstanceId, IncarnationTag, EvidenceTally);

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

/// Observations of one route's requests, during a roll-out of its service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route.
    #[serde(rename = "r")]
    pub route: CompactString,
    /// The observations.
    #[serde(rename = "e")]
    pub seen: EndpointEvidence,
}

/// An endpoint that performs worse than the others of its service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointVerdict {
    /// The endpoint.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Its incarnation.
    #[serde(rename = "l")]
    pub life: IncarnationTag,
    /// In which respect it is worse.
    #[serde(rename = "b")]
    pub bad_trait: BadTrait,
}

/// Cumulative demand for a service at one process since it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Requests, including those refused for lack of capacity.
    #[serde(rename = "r")]
    pub requests: u64,
    /// Prompt tokens that had to be prefilled.
    #[serde(rename = "u")]
    pub unread_tokens: u64,
    /// Answer tokens.
    #[serde(rename = "t")]
    pub answer_tokens: u64,
    /// Requests that were sent to an endpoint.
    #[serde(rename = "n", default)]
    pub sent: u64,
}

/// The report of a process to the collector.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// The reporter.
    #[serde(rename = "c")]
    pub member: MemberInfo,
    /// Its wall clock.
    #[serde(rename = "w")]
    pub wall: ClockTime,
    /// The collector term that it is in.
    #[serde(rename = "t")]
    pub term: u64,
    /// A hash of the members it knows.
    #[serde(rename = "m")]
    pub members_hash: u64,
    /// Whether the store answers it.
    #[serde(rename = "f")]
    pub served: bool,
    /// The status of its rules.
    #[serde(rename = "r")]
    pub rules: RulesStatus,
    /// The status of its endpoint list.
    #[serde(rename = "e")]
    pub roster: RosterStatus,
    /// The version of a collector's endpoint list that it applied last.
    #[serde(rename = "o")]
    pub roster_version: Option<RosterVersion>,
    /// Its claims; `None` from a process that does not know yet which collector to report them to.
    #[serde(rename = "s")]
    pub claims: Option<Vec<AccountClaim>>,
    /// The ledger that last gave it allotments.
    #[serde(rename = "b", default)]
    pub bond: Option<LastLedger>,
    /// The state of the ledger that it kept until now.
    #[serde(rename = "h", default)]
    pub handed: Option<LedgerHandover>,
    /// Requests that began to run, for the windows that are not reported yet.
    #[serde(rename = "u")]
    pub usage: Vec<UsageCount>,
    /// Its load at the endpoints.
    #[serde(rename = "l")]
    pub loads: Vec<EndpointLoad>,
    /// Its demand for the services that are scaled automatically.
    #[serde(rename = "q")]
    pub demand: Vec<ServiceDemand>,
    /// The prefill speed of engines, as it observed them.
    #[serde(rename = "v", default)]
    pub paces: Vec<ServicePace>,
    /// Its observations of endpoints since its last report that was answered.
    #[serde(rename = "j", default)]
    pub evidence: Vec<EndpointEvidence>,
    /// Requests during which endpoints crashed, observed since its last report that was answered.
    #[serde(rename = "d", default)]
    pub suspects: Vec<SuspectUpdate>,
    /// A hash of the requests during which endpoints crashed, as it knows them from all processes.
    #[serde(rename = "k", default)]
    pub suspects_hash: u64,
    /// Observations by route, for services with a roll-out under way.
    #[serde(rename = "J", default, skip_serializing_if = "Vec::is_empty")]
    pub route_evidence: Vec<RouteEvidence>,
    /// Signals of endpoints that the collector may not know.
    #[serde(rename = "W", default, skip_serializing_if = "Vec::is_empty")]
    pub words: Vec<EndpointSignals>,
    /// A hash of the signals it knows.
    #[serde(rename = "P", default)]
    pub signals_hash: u64,
    /// The roll-out plans that it follows, with their numbers.
    #[serde(rename = "O", default, skip_serializing_if = "Vec::is_empty")]
    pub releases: Vec<(ServiceName, u64)>,
    /// Counts of other processes that it knows as a former collector.
    #[serde(rename = "H")]
    pub inherited_usage: Vec<NodeUsage>,
    /// Members that recently failed to answer it.
    #[serde(rename = "x")]
    pub unreached: Vec<InstanceId>,
    /// The rules, if a collector requested them that does not take them in parts.
    #[serde(rename = "R")]
    pub rules_text: Option<FeedObject>,
    /// An update of the endpoint list for the collector, if it requested one.
    #[serde(rename = "E", default)]
    pub roster_update: Option<RosterUpdate>,
}

/// The recent peak of the number of endpoints that a service needed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePeak {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The number of endpoints.
    #[serde(rename = "n")]
    pub needed: f64,
}

/// The prefill speed of a service's engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePace {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Their speed.
    #[serde(rename = "r")]
    pub read: ReadPace,
}

/// The control-work lease as its holder last wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseNotice {
    /// The revision of the object.
    #[serde(rename = "v")]
    pub revision: u64,
    /// The record.
    #[serde(rename = "r")]
    pub record: LeaseRecord,
}

/// The collector's answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeshDigest {
    /// The collector.
    #[serde(rename = "c")]
    pub from: MemberInfo,
    /// The members, if the report's hash differs.
    #[serde(rename = "M")]
    pub members: Option<Vec<MemberInfo>>,
    /// True time, as the median of the members' clocks.
    #[serde(rename = "t")]
    pub true_time: ClockTime,
    /// The collector's rules, and when the store last confirmed them to any process.
    #[serde(rename = "r")]
    pub rules: RulesStatus,
    /// The status of the collector's endpoint list.
    #[serde(rename = "e")]
    pub roster: RosterStatus,
    /// The rules, if they are newer than those of a reporter that does not take them in parts.
    #[serde(rename = "R")]
    pub rules_text: Option<FeedObject>,
    /// An update of the reporter's endpoint list.
    #[serde(rename = "C")]
    pub roster_update: RosterUpdate,
    /// The version of the list after the update.
    #[serde(rename = "o")]
    pub roster_version: RosterVersion,
    /// Whether the next report should carry the rules, of a reporter that does not send them in parts.
    #[serde(rename = "y")]
    pub wants_rules: bool,
    /// Whether the next report should carry the endpoint list.
    #[serde(rename = "z")]
    pub wants_roster: bool,
    /// Allotments of the accounts.
    #[serde(rename = "a")]
    pub allotments: Vec<AccountAllotment>,
    /// The load of other processes at the endpoints.
    #[serde(rename = "l")]
    pub loads: LoadUpdate,
    /// Usage windows up to this number are reported.
    #[serde(rename = "u")]
    pub reported_window: u64,
    /// Peak needs of services, for the next holder of the control work.
    #[serde(rename = "p")]
    pub peaks: Vec<ServicePeak>,
    /// The prefill speed of engines, combined over all processes.
    #[serde(rename = "v", default)]
    pub paces: Vec<ServicePace>,
    /// Endpoints that perform worse than the others of their service.
    #[serde(rename = "j", default)]
    pub verdicts: Vec<EndpointVerdict>,
    /// Requests during which endpoints crashed, if the report's hash differs.
    #[serde(rename = "k", default)]
    pub suspects: Option<Vec<SuspectUpdate>>,
    /// Signals of endpoints, if the report's hash differs.
    #[serde(rename = "W", default, skip_serializing_if = "Option::is_none")]
    pub words: Option<Vec<EndpointSignals>>,
    /// The reporter's shares of limited endpoints' rates; `None` as long as the collector gives out
    /// none.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    pub rates: Option<Vec<RateShare>>,
    /// The lease, if the collector knows it.
    #[serde(rename = "h")]
    pub lease: Option<LeaseNotice>,
    /// The roll-outs under way.
    #[serde(rename = "b", default)]
    pub releases: OrderNews,
}

/// The members as known to one process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// The members, starting with the process itself.
    #[serde(rename = "m")]
    pub members: Vec<MemberInfo>,
    /// The collector that it follows, if it knows one.
    #[serde(rename = "c")]
    pub collector: Option<MemberInfo>,
}

/// A question after the version at which a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuestion {
    /// The stream.
    #[serde(rename = "k")]
    pub key: StreamKey,
    /// Its service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// How long ago it may have begun.
    #[serde(rename = "t")]
    pub span: TimeSpan,
}

/// A call or its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MeshBody {
    /// A report to the collector.
    #[serde(rename = "r")]
    Report(Box<NodeReport>),
    /// The collector's answer.
    #[serde(rename = "d")]
    Digest(Box<MeshDigest>),
    /// A request for more of an account's limit.
    #[serde(rename = "k")]
    RequestLimit(LimitRequest),
    /// The ledger's answer; `None` if there is no ledger here or the claim cannot be answered.
    #[serde(rename = "a")]
    Allotted(Option<Box<PoolAllotment>>),
    /// A request for a part of the endpoint list.
    #[serde(rename = "p")]
    RequestPart(PartRequest),
    /// The requested part.
    #[serde(rename = "l")]
    Part(Box<RosterPart>),
    /// A request for a part of the rules.
    #[serde(rename = "R")]
    RequestRules(RulesRequest),
    /// The requested part; `None` if the called process has no newer rules, or does not send them now.
    #[serde(rename = "P")]
    RulesPart(Option<Box<RulesPart>>),
    /// The called process cannot collect: it is stopping, as its member info says.
    #[serde(rename = "x")]
    Leaving(MemberInfo),
    /// An announcement of a process that asks for the members.
    #[serde(rename = "g")]
    Greet(MemberInfo),
    /// The members that the called process knows.
    #[serde(rename = "m")]
    Members(MemberList),
    /// A redirect: the called process follows this collector, and so should the caller.
    #[serde(rename = "f")]
    Follow(MemberInfo),
    /// Versions at which streams began, for the called process to keep.
    #[serde(rename = "o")]
    KeepOrigins(Vec<OriginEntry>),
    /// The called process keeps them.
    #[serde(rename = "n")]
    OriginsKept,
    /// A question after the version at which a stream began.
    #[serde(rename = "q")]
    AskOrigin(OriginQuestion),
    /// What the called process knows of it.
    #[serde(rename = "t")]
    Origin(OriginAnswer),
}
