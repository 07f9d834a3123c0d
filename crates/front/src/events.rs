//! Typed log events: one line for each decision that touches a request or changes what the process
//! believes.
//!
//! Each kind has a budget of lines a second, so that an overload cannot flood the log; what was left
//! out is counted and told. Lines go to the log library's own thread by a bounded queue: a reader
//! that does not read loses lines, and the process never waits for it.

use oleander_kind::{ClockTime, TimeSpan};
use std::cell::RefCell;

macro_rules! event_kinds {
    ($($kind:ident = $name:literal, $budget:literal, $text:literal;)*) => {
        /// What a log line tells of.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventKind {
            $(#[doc = $text] $kind,)*
        }

        impl EventKind {
            /// Every kind.
            pub const ALL: &[EventKind] = &[$(EventKind::$kind),*];

            /// The name, as the `msg` field has it.
            pub fn name(self) -> &'static str {
                match self { $(EventKind::$kind => $name,)* }
            }

            /// The most lines a second of one process.
            pub fn budget(self) -> u32 {
                match self { $(EventKind::$kind => $budget,)* }
            }

            /// What it means.
            pub fn text(self) -> &'static str {
                match self { $(EventKind::$kind => $text,)* }
            }
        }
    };
}

// Requests have a few tens of lines a second each at the users' sizes of today (16 to 40 requests a
// second at one process). Failures have more than successes. Changes of belief are rare; their
// budgets only stop a loop.
event_kinds! {
    ProcessStarted = "process_started", 10, "the process listens: `listen`, `peer`";
    ProcessLeaving = "process_leaving", 10, "a stop signal came: `in_flight` requests are left";
    ProcessStopped = "process_stopped", 10, "all is answered, or the grace time is over: `left` requests were cut";
    SettingsRead = "settings_read", 10, "changed settings are in force: `bounds`; or `told` to read them again";
    SettingsFault = "settings_fault", 10, "settings cannot be used, the old ones stay: `fault`";
    RequestDone = "request_done", 40, "a caller has its whole answer: the digest of its content (`print`), the same whenever its caller sends it again; `status`, `endpoint`, `sent` attempts, `first_ms`, the longest pause of a stream (`pause_ms`), `total_ms`, `rules` version; what its endpoint was chosen by: tokens to be read before it (`ahead`) and of it (`unread`), requests `running` there, the age of the endpoint list (`list_ms`), the `limit` that the endpoint named for itself and how old that word was";
    RequestRefused = "request_refused", 60, "a request was refused or failed: `print` as in `request_done`, `code`, `name`, `status`, `sent` attempts, `may_have_run`, `total_ms`, `rules` version and whether they were `fresh`; `ahead`, `running` and `limit` as in `request_done`";
    RequestCut = "request_cut", 60, "an answer could not be finished, or its caller left: `print` as in `request_done`, `why`, `sent`, `last_event`, `total_ms`";
    RequestOverLimit = "request_over_limit", 30, "a request finds no room in its account's limit: `account`, `tokens`, `retry_ms`, why (`by`: the ledger is `full`, or `unreached`), what this process holds (`held`)";
    AccountSpent = "account_spent", 100, "what this process let in of an account that is near its limit, in the last second: `account`, `tokens` by its allotment, of them for further attempts (`sent_again`), tokens by its own part (`own`), what it holds still (`held`), and how old the ledger's last answer is (`told_ms`)";
    AccountWindow = "account_window", 60, "what the ledger has counted of an account that is near its limit, over its window: `account`, tokens `spent`, handed out and not counted yet (`open`), and its `capacity`, how many processes hold or held allotments (`holders`)";
    AttemptEnded = "attempt_ended", 80, "an attempt brought no whole answer: `print` as in `request_done`, `endpoint`, how long it had run there (`ran_ms`), `end`, `sent` so far, `last_event` shown, `again` if another may be tried, `list_ms` as in `request_done`";
    AttemptFault = "attempt_fault", 80, "a connection to an endpoint failed: `endpoint`, `fault`";
    StreamResumed = "stream_resumed", 40, "a stream goes on at another endpoint: `endpoint`, `last_event`";
    CallerFault = "caller_fault", 20, "a caller's connection could not be served: `fault`, or the `code` it was refused with";
    FeedChanged = "feed_changed", 20, "the store was lost or is back: `feed`, `fresh`, `fault`";
    FeedFault = "feed_fault", 10, "a call to the store failed: `feed`, `fault`";
    FeedSilent = "feed_silent", 20, "news of a feed grew too old while its watch waited; the store is asked anew: `feed`";
    RulesInForce = "rules_in_force", 40, "a newer version of the rules is in force: `version`";
    RulesUnreadable = "rules_unreadable", 10, "rules cannot be read, the old ones stay: `fault`";
    RosterFromPeer = "roster_from_peer", 20, "a whole endpoint list came from a peer: `as_of` revision, its age in ms (`age_ms`), the process that heard it from the store (`vouched_by`), how many entries the peer doubts (`doubted`), for how much longer what it lacks may have lapsed (`unsettled_ms`)";
    NewsMeasured = "news_measured", 2, "what one exchange with a process took of the links of the collector, once a second: bytes of the parts of its `report` and of its answer (`digest`), all bytes `sent` to and `received` from peers since the start";
    EndpointStage = "endpoint_stage", 200, "an endpoint is new or changed its stage: `endpoint`, `service`, `domain`, `stage`, `market`, `revision`, `life`";
    EndpointOutlived = "endpoint_outlived", 20, "news of a former life of an endpoint was left out: `endpoint`, `lives` known and told, `revision`";
    EndpointDoubted = "endpoint_doubted", 200, "the list lost an endpoint while the store was away; it is the last resort: `endpoint`, for how long (`for_ms`)";
    EndpointGone = "endpoint_gone", 200, "an endpoint is gone: `endpoint`, the revision that the list was as of before (`as_of`)";
    EndpointUnreadable = "endpoint_unreadable", 20, "an endpoint's entry cannot be read: `endpoint`, `fault`";
    ReleaseStaged = "release_staged", 20, "the order of a roll-out entered a stage at the process that carries it out: `service`, the version ordered (`to`), `stage`, `number` of the change, answers of the version `seen`, its `score` (12 and more is bad), requests of the service `sent` since the order, requests `handed` out to the version, its `endpoints`; at the beginning the time to decide in (`lasts_ms`) and the `revision`";
    ReleaseWritten = "release_written", 20, "how an order stands was written to the store: `service`, `to`, `state`, the `revision` that was asked for, the `answer`";
    ReleaseFault = "release_fault", 10, "an order of a roll-out cannot be carried out, or was withdrawn: `order`, `code`, `fault`, its `text`";
    EnginesPaced = "engines_paced", 10, "engines of a service read at another speed than told before, in prompt tokens a millisecond: `service`, `per_ms`, `seen` tokens";
    EndpointJudged = "endpoint_judged", 40, "what the collector says of an endpoint has changed: `bad` in what (`Failing`, `Slow`), or none if it is as good as the others; by answers that `came` and `failed` at all processes, faded, and how much slower than expected they came (`slowness`, in powers of two)";
    EndpointLimit = "endpoint_limit", 100, "what an endpoint says it takes from all processes together has changed: `endpoint`, `life`, requests a second (`per_s`) now and `before`, none if it names no limit; heard in an `answer` of it, or `told` by another process (`by`); how long ago the request was sent that was answered so (`age_ms`)";
    EndpointLeaving = "endpoint_leaving", 100, "an endpoint says in an `answer` that it leaves, or another process `told` that it did (`by`): `endpoint`, `life`, the stage in which the endpoint list has it (`listed`) and how old that list is (`list_ms`)";
    EndpointRests = "endpoint_rests", 60, "an endpoint turned a request away and wants none from this process for a while: `endpoint`, `life`, `for_ms`, for how much longer with what it had said before (`left_ms`), whether it had asked for that already (`rested`: that request was under way, or went past it)";
    EndpointsClosed = "endpoints_closed", 60, "a request is refused as every endpoint of its `service` that it may go to takes none now by its own word: of all `endpoints` how many are `limited`, at how many of these this process has a part of the limit (`with_part`), how many are `resting` for this process, how many said that they are `leaving`, how many it was turned away by (`tried`); when its caller may come back (`retry_ms`)";
    WordUnreadable = "word_unreadable", 10, "an endpoint says something of itself that cannot be understood; what was known stays: `endpoint`, which `word`, its `text`, `code`";
    EndpointEnded = "endpoint_ended", 60, "an endpoint ended while it ran requests of this process: `endpoint`, how it showed (`by`), how many requests it ran (`under`)";
    RequestHeld = "request_held", 40, "a request is held back at this process from now on, as endpoints ended each time they ran it: `print`, the `endpoints`, how long ago the first and the last of them ended (`first_ms`, `last_ms`)";
    RequestReleased = "request_released", 40, "a request is held back no more: it was answered, or another one explains its ends: `print`, how many ends are left (`ends`)";
    SuspectForgotten = "suspect_forgotten", 10, "a request under which an endpoint ended was forgotten, to bound the memory: `print`";
    RecordFault = "record_fault", 20, "an object that the collector keeps in the store could not be read or written; it is tried again: which `record`, `fault`";
    LedgerBegan = "ledger_began", 20, "this process hands out the accounts' limits from now on, by what it knows of the time before (`by`: what the last ledger `handed` over or `told`, what the `store` has, `nothing`, or the one that it had ended itself and nobody took, `resumed`): how many `windows`, how old (`age_ms`)";
    LedgerEnded = "ledger_ended", 20, "this process hands out no more, and passes on what it counted";
    ClaimsLeftOut = "claims_left_out", 10, "processes named more than they were handed of accounts: `count`, `code`";
    EvidenceLeftOut = "evidence_left_out", 10, "a report told of endpoints or lives that are not known here, or what cannot be true: `member`, `count`, `code`";
    EvidenceWithheld = "evidence_withheld", 10, "this process woke late (`late_ms`), and does not speak against endpoints for that time";
    MembersRead = "members_read", 10, "the other processes were read from the store: `cards`";
    MemberFault = "member_fault", 20, "a member, its card or a seed is out of reach: `member`, `fault`";
    MemberRemoved = "member_removed", 20, "the card of a process that is gone was removed: `member`, `done`";
    CollectorChosen = "collector_chosen", 20, "this process goes by another collector: `collector`, `sent` there by one that was asked";
    CollectorSilent = "collector_silent", 20, "the collector did not answer: `collector`";
    CollectingBegan = "collecting_began", 20, "this process collects: `members`";
    CollectingEnded = "collecting_ended", 20, "nobody reports here any more, or this process stood still: `slept`";
    TurnedAway = "turned_away", 20, "whether the store serves others but not this process: `so`";
    LeaseChanged = "lease_changed", 20, "the lease of the control work was taken or lost: `fence`";
    LeaseFault = "lease_fault", 10, "a call for the lease failed: `fault`";
    UsageReported = "usage_reported", 20, "a window's usage was taken: `window`, `requests`";
    UsageFault = "usage_fault", 20, "a usage report failed and is tried again: `window`, `fault`";
    EndpointsOrdered = "endpoints_ordered", 40, "replicas were ordered: `service`, `domain`, `market`, `count`, `needed`, `fence`, `answer`";
    InternalFault = "internal_fault", 20, "something that should not happen: `fault`";
    LinesLeftOut = "lines_left_out", 10, "lines of a kind were left out in the last second: `kind`, `count`";
}

/// The second in which a kind is counted.
const SECOND: TimeSpan = TimeSpan(1000);

#[derive(Clone, Copy, Debug, Default)]
struct KindCount {
    since: ClockTime,
    written: u32,
    left_out: u32,
}

/// Counts lines of each kind.
#[derive(Debug)]
pub struct EventBudget {
    counts: RefCell<Vec<KindCount>>,
}

impl Default for EventBudget {
    fn default() -> Self {
        EventBudget { counts: RefCell::new(vec![KindCount::default(); EventKind::ALL.len()]) }
    }
}

impl EventBudget {
    /// Whether a line of `kind` may be written at `now`; and, at the first line of a new second, how
    /// many were left out in the last one.
    pub fn take(&self, kind: EventKind, now: ClockTime) -> (bool, Option<u32>) {
        let mut counts = self.counts.borrow_mut();
        let count = &mut counts[kind as usize];
        let mut left_out = None;
        if now - count.since >= SECOND {
            left_out = (count.left_out > 0).then_some(count.left_out);
            *count = KindCount { since: now, ..KindCount::default() };
        }
        if count.written >= kind.budget() {
            count.left_out += 1;
            return (false, left_out);
        }
        count.written += 1;
        (true, left_out)
    }
}

/// All kinds as a Markdown table: docs/EVENTS.md is made from it.
pub fn event_table() -> String {
    let mut table =
        String::from("| event | lines a second | meaning and fields |\n|---|---|---|\n");
    for kind in EventKind::ALL {
        table.push_str(&format!("| `{}` | {} | {} |\n", kind.name(), kind.budget(), kind.text()));
    }
    table
}

/// Writes a line of a kind, within its budget.
macro_rules! event {
    ($node:expr, $kind:ident) => {
        event!($node, $kind;)
    };
    ($node:expr, $kind:ident; $($fields:tt)*) => {{
        let kind = $crate::events::EventKind::$kind;
        let (write, left_out) = $node.events.take(kind, $node.clock.now());
        if let Some(count) = left_out {
            slog::info!($node.log, "{}", $crate::events::EventKind::LinesLeftOut.name();
                "kind" => kind.name(), "count" => count);
        }
        if write {
            slog::info!($node.log, "{}", kind.name(); $($fields)*);
        }
    }};
}
pub(crate) use event;
