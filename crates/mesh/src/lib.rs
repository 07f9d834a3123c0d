//! What the front processes tell one another.
//!
//! One of them, the *collector*, hears all the others several times a second and answers each with
//! what the whole knows: account levels, load at the endpoints, the newest rules and endpoint list,
//! the members, the time. Messages grow with the number of endpoints and accounts, not with the
//! square of the processes, and no process needs the store for any of it. Any process can be the
//! collector; which one is, follows from the members alone ([`MeshView`]).
//!
//! Everything here is a state machine over values; the links are elsewhere.

pub mod account;
pub mod clock;
pub mod collector;
pub mod evidence;
mod heard;
mod limit_message;
mod limits;
pub mod loads;
pub mod message;
pub mod rules;
pub mod view;
pub mod words;

pub use account::{NewsAccount, digest_account, report_account};
pub use clock::{SleepWatch, TrueClock, median_offset, wall_lag};
pub use collector::{CollectorFacts, MeshCollector};
pub use evidence::{EndpointJudge, EndpointLife, VerdictChange};
pub use limit_message::{AccountAllotment, AccountClaim, HandedLedger, HandedWindow, LimitAsk};
pub use loads::{EndpointLoad, LoadNews, LoadTable, MeanLoad};
pub use message::{
    EndpointEvidence, EndpointMark, EndpointVerdict, LeaseNotice, LifeMark, MemberCard, MemberList,
    MeshBody, MeshDigest, NodeReport, NodeUsage, RouteEvidence, RulesStatus, ServiceDemand,
    ServicePace, ServicePeak, UsageCount,
};
pub use rules::RulesBook;
pub use view::{MeshView, collect_strength, settled_turn};
pub use words::{EndpointWords, RateShare, words_mark};
