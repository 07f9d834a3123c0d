//! Typed log events: one line for each decision that affects a request or changes the state of the
//! process.
//!
//! Each kind has a rate limit in lines a second, so that an overload cannot flood the log; dropped lines
//! are counted and the count is logged. Lines go to the thread of the log library through a bounded
//! queue: if the reader of the log stalls, lines are lost, and the process never blocks.

use oleander_kind::{ClockTime, TimeSpan};
use std::cell::RefCell;

macro_rules! event_kinds {
    ($($kind:ident = $name:literal, $budget:literal, $text:literal;)*) => {
        /// The kind of a log line.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum EventKind {
            $(#[doc = $text] $kind,)*
        }

        impl EventKind {
            /// All kinds.
            pub const ALL: &[EventKind] = &[$(EventKind::$kind),*];

            /// The name in the `msg` field of the line.
            pub fn name(self) -> &'static str {
                match self { $(EventKind::$kind => $name,)* }
            }

            /// Most lines of this kind that one process writes in a second.
            pub fn budget(self) -> u32 {
                match self { $(EventKind::$kind => $budget,)* }
            }

            /// Description of the event and its fields.
            pub fn text(self) -> &'static str {
                match self { $(EventKind::$kind => $text,)* }
            }
        }
    };
}

// One process serves 16 to 40 requests a second, so events of requests get a few tens of lines a second.
// Failures get more than successes. Changes of the process's state are rare; their limits only stop a loop.
event_kinds! {
    ProcessStarted = "process_started", 10, "the process accepts connections: its addresses `listen` and `peer`";
    ProcessLeaving = "process_leaving", 10, "a stop signal was received: requests `in_flight`";
    ProcessStopped = "process_stopped", 10, "all requests are answered or the grace time is over: `left` requests were cancelled";
    SettingsRead = "settings_read", 10, "changed settings are in force: `bounds`; or the process was `told` to reload them";
    SettingsFault = "settings_fault", 10, "the settings are invalid and the old ones stay in force: `fault`";
    RequestDone = "request_done", 40, "an endpoint's answer was written to the caller to its end: fingerprint of the request's content (`print`), the same whenever the caller repeats it; its `account` and its `rank` (0 is the most urgent); `status`, `endpoint` and its software `version`, the caller's attempt that began the stream which it takes up (`resumes`), the `peer` that served it if it was relayed, `sent` attempts, `first_ms`, the longest pause of a stream (`pause_ms`), `total_ms`, `rules` version; what showed that the endpoint's answer had ended (`body_end`: `stated` by a length or a last chunk, or the connection was only `closed`), bytes of a stream after its last complete event (`rest`); the figures by which the endpoint was chosen: prompt tokens queued before the request (`ahead`) and its own to be prefilled (`unread`), requests `running` there, the age of the endpoint list (`list_ms`), the rate `limit` that the endpoint signalled and the age of that signal";
    RequestRefused = "request_refused", 60, "a request was refused or failed: `print`, `account` and `rank` as in `request_done`, `code`, `name`, `status`, `sent` attempts, `may_have_run`, `total_ms`, `rules` version and whether they were `fresh`; `ahead`, `running`, `limit`, `version` and `resumes` as in `request_done`";
    RequestCut = "request_cut", 60, "an answer could not be completed, the caller disconnected, or the process ended: `print` as in `request_done`, `why`, of an answer that had begun the `cause` (`caller`, `deadline`, `peers`, the name of a refusal, or the end of its last attempt as in `attempt_ended`), what kept it from being sent again (`barred` as there) and how long nothing of it had been received (`silent_ms`), `status` (0 before an answer began), `sent` attempts, `endpoint`, `peer`, `last_event`, `total_ms`, the time that it might take by its caller and its route (`limit_ms`), `version` and `resumes` as in `request_done`; if it was dropped while it waited, for what (`stage`: `rules`, `origin` for the version of a stream, `ledger` for the charge of its account, `endpoint`, `peer`, `caller` to take its answer, also if it did not), and whether an endpoint or a peer may have been running it then (`under_way`)";
    RequestOverLimit = "request_over_limit", 30, "a request exceeds its account's limit: `account`, `tokens`, `retry_ms`, the reason (`by`: the ledger is `full`, or `unreached`), tokens allotted to this process and not spent (`held`)";
    AccountSpent = "account_spent", 100, "tokens that this process admitted in the last second for an account near its limit: `account`, `tokens` from its allotment, those of them for retries (`sent_again`), tokens from its own share while the ledger is unreachable (`own`), tokens still `held`, and the age of the ledger's last answer (`told_ms`)";
    AccountWindow = "account_window", 60, "the ledger's count for an account near its limit, over its window: `account`, tokens `spent`, tokens allotted and not reported as spent yet (`open`), its `capacity`, the number of processes with allotments (`holders`)";
    AttemptEnded = "attempt_ended", 80, "an attempt failed: `print` as in `request_done`, the fingerprints of the parts of its prompt but the last (`parts`), `endpoint` and its `version`, the time since it was sent (`ran_ms`), how it ended (`end`), attempts `sent` so far, the `last_event` that the caller received, `body_end` and `rest` as in `request_done` (an answer with a rest ended inside an event), what broke it (`fault`), whether its endpoint may have fallen over, so that no request is blamed for its end (`fallen`), whether it is retried (`again`) or what keeps it from that (`barred`: `attempts` of its route, `quarantined`, `no_endpoint`, of its service `none_answers`, each would be too `slow` to take over, too little time to its `deadline`, the retry `budget`, its account's `limit`, the `exposure` of a version that is being rolled out), `list_ms` as in `request_done`";
    EndpointSilent = "endpoint_silent", 40, "an attempt goes on although its `endpoint` has been silent for long (`silent_ms`), because none can take over: what keeps one from being sent (`barred` as in `attempt_ended`), or how one ended that was sent beside it (`end` as in `attempt_ended`; `unanswered`: it was left because it did not answer soon; `left`: because the silent one went on), and at which endpoint (`asked`); `service`, attempts `sent` so far, `last_event` as in `request_done`";
    AttemptFault = "attempt_fault", 80, "a connection to an endpoint or, for a relayed request, to a `peer` failed: `endpoint`, `fault`";
    RequestRelayed = "request_relayed", 60, "a request was relayed to a peer, because this process does not reach the endpoints of its `service` has no permit for one of them that is brittle and has room, or the peer dispatches the service (`cause`: `path`, `room` or `dispatch`): `peer`, how that ended (`end`: `delivered`, the end of an attempt as in `attempt_ended`, or the name of the peer's refusal), the state of the path (`path`)";
    DispatchersChosen = "dispatchers_chosen", 20, "the processes changed that send all requests of a `service`, because its room is short: `dispatchers`, none if all processes send again; `places` at its endpoints, `requests` there and the part of the places that was `used` in the mean, `processes` that serve callers, the mean time of an answer here (`answer_ms`)";
    PlaceRefused = "place_refused", 60, "a request got no place at its `service`, of which this process is a dispatcher, in time to be answered within its objective: `account`, `rank`, how long it waited (`waited_ms`; 0 if it was refused on arrival), the requests that wait (`line`), when its caller should come back (`retry_ms`)";
    PathLost = "path_lost", 20, "this process reaches no endpoint of a service, while others may: `service`, how connections fail (`by`: `Refused` or `Silent`), the number of `listed` endpoints";
    PathBack = "path_back", 20, "this process reaches the endpoints of a service again: `service`, how long it did not (`lost_ms`)";
    StreamResumed = "stream_resumed", 40, "a stream was resumed at another endpoint: `endpoint` and its `version`, `last_event`";
    StreamBound = "stream_bound", 40, "a caller takes up a stream, and the software version that began it is known: the attempt that it names (`resumes`), `service`, `version`, by what it is known (`by`: `own` record, `told` by another process, or `alone`: no other version served), `last_event`, how long the question took (`took_ms`)";
    StreamUnbound = "stream_unbound", 40, "a caller takes up a stream, and the software version that began it cannot be known, so it is refused: `resumes`, `service`, `last_event`, processes `asked` and `answered`, `took_ms`, for how long this process has had a fresh list (`watched_ms`)";
    OriginsUnsent = "origins_unsent", 20, "a process that was to keep the versions at which streams began did not answer: `peer`, number of `records`";
    OriginsRead = "origins_read", 40, "a process that starts, or whose store came back from an older copy, read the versions at which streams began from its object in the store: number of `records`";
    CallerFault = "caller_fault", 20, "a connection of a caller could not be accepted or set up: `fault`";
    GaveWay = "gave_way", 20, "a caller's connection gave way to others, as a room was full that callers share: the id of the `request` if its head was read, the `room` (`connections`, `small`, `large`, `answers`), what is `used` of it and its `bound`, what the connection did (`phase`: `reading`, `writing`) and for how long (`for_ms`), the bytes that came or went meanwhile (`moved`)";
    RoomFull = "room_full", 20, "a request was refused as a `room` that callers share was full and nobody in it made less progress: what is `used` of it, its `bound`";
    ConnectionCut = "connection_cut", 40, "a connection of a caller ended with something sent on it that has no answer: the id of the `request` if its head was read, `why` it ended (the `caller` closed it; it was `broken` by a `fault`; it was `idle` for too long; `stop` of this process; the request took too much `time` or was `malformed`, and was refused with a `code`; it `gave_way` to others; a request before it was `answered` and ended it, or its answer is `unfinished`), whether the bytes came only after this process had closed its side (`crossed`: they are left unread), `bytes` sent, the `part` that was being read (`head` or `body`), whether it was the `first` request of the connection, for how long the connection had been idle before (`idle_ms`), the time since the first byte (`ms`), whether this process `stops`";
    FeedChanged = "feed_changed", 20, "the store became unreachable or reachable: `feed`, `fresh`, `fault`";
    FeedFault = "feed_fault", 10, "a call to the store failed: `feed`, `fault`";
    FeedSilent = "feed_silent", 20, "a watch of a feed has returned nothing for too long; the feed is read again: `feed`";
    StoreWentBack = "store_went_back", 10, "the store came back from an older copy: its `era` now and `before`; what it acknowledged since that copy is lost, and revisions are given out again";
    EraUnreadable = "era_unreadable", 10, "an answer of the store names its era in a way that cannot be read, and the known one stays: its `text`, `code`";
    RosterIgnored = "roster_ignored", 20, "an endpoint list or changes from the store were ignored, because a later revision is known: `as_of` revision, the `known` one";
    RulesInForce = "rules_in_force", 40, "a newer version of the rules is in force: `version`, received from (`by`) the `store` or a `peer`, its size (`bytes`), for how long this process had known that a peer had a newer one (`behind_ms`; none if no peer told it)";
    RulesBehind = "rules_behind", 40, "another process (`by`) has a newer version of the rules in force (`told`) than this one (`version`), and none as new was told of before";
    RulesFetched = "rules_fetched", 20, "newer rules were received from peers in parts: how long that took (`ms`), the `bytes` and `parts` that were received, how often an asked process did not send any (`refused`)";
    RulesUnreadable = "rules_unreadable", 10, "the rules cannot be decoded and the old ones stay in force: `fault`, received from (`by`) the `store` or a `peer`";
    RosterFromPeer = "roster_from_peer", 20, "a snapshot of the endpoint list was received from a peer: `as_of` revision, its age in ms (`age_ms`), the process that read it from the store (`vouched_by`), the number of entries that the peer could not confirm (`doubted`), for how much longer endpoints that are missing from it may still exist, their entries having expired (`unsettled_ms`)";
    NewsMeasured = "news_measured", 2, "size of one exchange between the collector and a process, once a second: bytes of the parts of its `report` and of the answer (`digest`), all bytes `sent` to and `received` from peers since the start";
    EndpointStage = "endpoint_stage", 200, "an endpoint was added or changed its stage: `endpoint`, `service`, `domain`, `stage`, `market`, `revision`, `life`";
    EndpointOutlived = "endpoint_outlived", 20, "a list entry of an earlier incarnation of an endpoint was ignored: `endpoint`, `lives` known and received, `revision`";
    EndpointDoubted = "endpoint_doubted", 200, "an endpoint vanished from the list during a store outage; it is used only if no other is left: `endpoint`, for how long (`for_ms`)";
    EndpointGone = "endpoint_gone", 200, "an endpoint was removed: `endpoint`, the revision of the list before (`as_of`)";
    EndpointUnreadable = "endpoint_unreadable", 20, "an endpoint's entry cannot be decoded: `endpoint`, `fault`";
    ReleaseStaged = "release_staged", 20, "a roll-out order entered a stage at the process that executes it: `service`, the ordered version (`to`), `stage`, `number` of the change, answers of the version `seen`, its `score` (12 and more is bad), requests of the service `sent` since the order, requests granted to the version (`handed`), its `endpoints`; at the beginning the time for the decision (`lasts_ms`) and the `revision`";
    ReleaseWritten = "release_written", 20, "the state of a roll-out order was written to the store: `service`, `to`, `state`, the `revision` that the write expected, the `answer`";
    ReleaseFault = "release_fault", 10, "a roll-out order cannot be executed, or was withdrawn: `order`, `code`, `fault`, its `text`";
    EnginesPaced = "engines_paced", 10, "the measured prefill speed of a service's engines changed, in prompt tokens a millisecond: `service`, `per_ms`, `seen` tokens";
    EndpointJudged = "endpoint_judged", 40, "the collector's verdict on an endpoint changed: `bad` (`Failing`, `Slow`), or none if it is as good as the others; decayed counts of answers that `came` and `failed` at all processes, and how much slower than expected they were (`slowness`, in powers of two)";
    EndpointLimit = "endpoint_limit", 100, "the rate limit that an endpoint signals for all processes together changed: `endpoint`, `life`, requests a second (`per_s`) now and `before`, none if it signals no limit; whether it was read from an `answer` or `told` by another process (`by`); how long ago the request of that answer was sent (`age_ms`)";
    EndpointLeaving = "endpoint_leaving", 100, "an endpoint signalled in an `answer` that it is leaving, or another process `told` of it (`by`): `endpoint`, `life`, its stage in the endpoint list (`listed`) and the age of that list (`list_ms`)";
    EndpointRests = "endpoint_rests", 60, "an endpoint refused a request and signalled a backoff to this process: `endpoint`, `life`, `for_ms`, the time left of this and earlier backoffs (`left_ms`), whether a backoff was in force already (`rested`: the request was in flight or ignored it)";
    EndpointBrittle = "endpoint_brittle", 100, "an endpoint signals that it is brittle, or does so no longer: `endpoint`, `life`, the refusals a second for want of room at which it falls over (`refusals`) now and `before`, read from an `answer`, `told` by another process or `presumed` when it was listed (`by`), how many others of its service are presumed to be brittle from now on (`others_presumed`), the `requests` of all processes there";
    BrittleRefused = "brittle_refused", 60, "a brittle endpoint refused a request for want of room: `endpoint`, the `requests` of all processes there and this one's `own`, its `slots`, whether it was `known` to be brittle when the request was sent, this process's `permits` there at that time, the requests that it is assumed to have room for from now on (`window`), the `refusals` a second at which it falls over";
    EndpointsClosed = "endpoints_closed", 60, "a request is refused because every eligible endpoint of its `service` has signalled that it accepts none now: of all `endpoints` how many are `limited`, at how many of these this process has a share of the limit (`with_part`), how many are in a backoff for this process (`resting`), how many are `leaving` or `brittle`, how many refused this request (`tried`); the Retry-After time (`retry_ms`)";
    WordUnreadable = "word_unreadable", 10, "a signal of an endpoint cannot be parsed, and the known value stays: `endpoint`, which `word`, its `text`, `code`";
    EndProved = "end_proved", 40, "an answer ended with its connection, and its `endpoint` was asked whether it still runs: `proof` (`runs_on`: the answer is complete; `has_ended`: it, or this start of it, has ended, so that the answer may have been cut; `unanswered` in time), how long that took (`took_ms`), the `last_event` that the caller has";
    EndpointEnded = "endpoint_ended", 60, "an endpoint crashed while it ran requests of this process: `endpoint`, how it was detected (`by`), the number of these requests (`under`)";
    RequestHeld = "request_held", 40, "a request, or each with a part of a prompt (`is_part`), is quarantined at this process from now on, because endpoints crashed each time they ran it: `print`, the `endpoints`, how long ago the first and the last of them crashed (`first_ms`, `last_ms`)";
    RequestReleased = "request_released", 40, "a request is no longer quarantined: it was answered, or another request explains the crashes: `print`, the number of crashes left (`ends`)";
    SuspectForgotten = "suspect_forgotten", 10, "a request under which an endpoint crashed was evicted to bound the memory: `print`";
    RecordFault = "record_fault", 20, "a record that the collector persists in the store could not be read or written, and is retried: `record`, `fault`";
    LedgerBegan = "ledger_began", 20, "this process allots the accounts' limits from now on, starting with the windows from a source (`by`: `handed` over or `told` by the last ledger, read from the `store`, an `older copy` of it, so that all windows are assumed full, `nothing`, or its own ledger that it had ended and nobody took over, `resumed`): the number of `windows`, their age (`age_ms`)";
    LedgerEnded = "ledger_ended", 20, "this process allots the accounts' limits no longer and hands over its counts";
    ClaimsLeftOut = "claims_left_out", 10, "processes claimed more tokens than were allotted to them: `count`, `code`";
    EvidenceLeftOut = "evidence_left_out", 10, "evidence in a report named unknown endpoints or incarnations, or had impossible values: `member`, `count`, `code`";
    EvidenceWithheld = "evidence_withheld", 10, "this process was suspended for a while (`late_ms`) and withholds its evidence against endpoints of that time";
    MembersRead = "members_read", 10, "the membership records were read from the store: `cards`";
    MemberFault = "member_fault", 20, "a member, its membership record or a seed cannot be reached: `member`, `fault`";
    MemberRemoved = "member_removed", 20, "the membership record of a process that has ended was removed: `member`, `done`";
    CollectorChosen = "collector_chosen", 20, "this process reports to another collector: `collector`, whether it was redirected there (`sent`)";
    CollectorSilent = "collector_silent", 20, "the collector did not answer: `collector`";
    CollectingBegan = "collecting_began", 20, "this process is the collector from now on: `members`";
    CollectingEnded = "collecting_ended", 20, "this process is the collector no longer: no process reports to it, or it was suspended (`slept`)";
    TurnedAway = "turned_away", 20, "the store serves other processes but not this one, or does so no longer: `so`";
    LeaseChanged = "lease_changed", 20, "the lease for control work was acquired or lost: `fence`";
    LeaseFault = "lease_fault", 10, "a store call for the lease failed: `fault`";
    UsageReported = "usage_reported", 20, "the platform accepted the usage report of a window: `window`, `requests`";
    UsageFault = "usage_fault", 20, "a usage report failed and is retried: `window`, `fault`";
    UsageSkipped = "usage_skipped", 20, "no report of a window is sent: `window`, `why` (it is past its due time; no requests are known; a later window is stored in its place), the known `requests`";
    UsageResumed = "usage_resumed", 20, "a holder of the lease begins to report usage `after` a window; `known` is the last one that it was told is reported";
    CallWithheld = "call_withheld", 5, "a call for which this process holds the lease is not made: another process may have made one within a lease duration: `fence`";
    EndpointsOrdered = "endpoints_ordered", 40, "replicas were ordered: `service`, `domain`, `market`, `count`, `needed`, `fence`, `answer`";
    InternalFault = "internal_fault", 20, "an internal error: `fault`";
    LinesLeftOut = "lines_left_out", 10, "lines of a kind were dropped in the last second: `kind`, `count`";
}

/// Interval of the rate limits.
const SECOND: TimeSpan = TimeSpan(1000);

#[derive(Clone, Copy, Debug, Default)]
struct KindCount {
    since: ClockTime,
    written: u32,
    left_out: u32,
}

/// Limits the lines a second of each kind.
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
    /// Returns whether a line of `kind` may be written at `now` and, for the first line of a new second, how
    /// many were dropped in the last one.
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

/// All kinds as a Markdown table, from which docs/EVENTS.md is generated.
pub fn event_table() -> String {
    let mut table =
        String::from("| event | lines a second | meaning and fields |\n|---|---|---|\n");
    for kind in EventKind::ALL {
        table.push_str(&format!("| `{}` | {} | {} |\n", kind.name(), kind.budget(), kind.text()));
    }
    table
}

/// Writes a line of a kind unless its rate limit is exceeded.
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
