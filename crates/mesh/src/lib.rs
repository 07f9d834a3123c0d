//! State that front processes exchange.
//!
//! One process, the *collector*, receives a report from every other one several times a second and
//! answers each with a digest of the combined state: account limits, load at the endpoints, the
//! newest rules and endpoint list, the members, the time. Messages grow with the number of
//! endpoints and accounts instead of the square of the processes, and no process needs the store
//! for any of it. Any process can be the collector; which one it is follows from the members alone
//! ([`MeshView`]).
//!
//! Everything here is a state machine over values; the connections are elsewhere.

pub mod clock;
pub mod collector;
pub mod evidence;
mod limit_message;
mod limits;
pub mod loads;
pub mod message;
pub mod part_sizes;
pub mod relay;
mod report_history;
pub mod rules;
pub mod rules_part;
pub mod signals;
pub mod view;

pub use clock::{PauseDetector, TrueClock, median_offset, wall_lag};
pub use collector::{CollectorContext, MeshCollector};
pub use evidence::{EndpointIncarnation, OutlierDetector, VerdictChange};
pub use limit_message::{
    AccountAllotment, AccountClaim, LedgerHandover, LimitRequest, WindowHandover,
};
pub use loads::{EndpointLoad, LoadTable, LoadUpdate, MeanLoad};
pub use message::{
    EndpointEvidence, EndpointHash, EndpointVerdict, IncarnationTag, LeaseNotice, MemberInfo,
    MemberList, MeshBody, MeshDigest, NodeReport, NodeUsage, OriginQuestion, RouteEvidence,
    RulesStatus, ServiceDemand, ServicePace, ServicePeak, UsageCount,
};
pub use part_sizes::{PartSizes, digest_part_sizes, report_part_sizes};
pub use relay::{RelayRequest, choose_peer};
pub use rules::{RulesBook, ToldVersion};
pub use rules_part::{RulesFetch, RulesPart, RulesRequest, RulesStep};
pub use signals::{EndpointSignals, RateShare, signals_hash};
pub use view::{MeshView, collector_capacity, settled_term};
