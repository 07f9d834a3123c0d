//! Numbered result codes, which tell callers and operators the outcome of an operation and whether
//! the request may have run.

/// What a result code guarantees about the execution of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionStatus {
    /// No endpoint ran the request or will run it.
    NotRun,
    /// The request ran or may have run.
    MayHaveRun,
    /// The code does not concern a client request.
    Unrelated,
}

macro_rules! result_codes {
    ($($(#[$meta:meta])* $name:ident = $number:literal, $status:literal, $execution:ident, $text:literal;)*) => {
        /// A numbered result. The meaning of a number never changes; docs/RESULT-CODES.md lists all
        /// codes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        #[repr(u16)]
        pub enum ResultCode {
            $(#[doc = $text] $(#[$meta])* $name = $number,)*
        }

        impl ResultCode {
            /// All result codes in declaration order.
            pub const ALL: &[ResultCode] = &[$(ResultCode::$name),*];

            /// Returns the HTTP status that is sent with the code.
            pub fn status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)* }
            }

            /// Returns what the code guarantees about execution of the request.
            pub fn execution_status(self) -> ExecutionStatus {
                match self { $(ResultCode::$name => ExecutionStatus::$execution,)* }
            }

            /// Returns a one-line description.
            pub fn text(self) -> &'static str {
                match self { $(ResultCode::$name => $text,)* }
            }

            /// Returns the name that is written to logs.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$name => stringify!($name),)* }
            }
        }
    };
}

result_codes! {
    BadBody = 1001, 400, NotRun, "the body is not a request this route understands";
    BodyTooLarge = 1002, 413, NotRun, "the body is longer than the limit";
    UnknownModel = 1003, 404, NotRun, "no service answers for this model";
    BadCallerKey = 1004, 401, NotRun, "the caller's key is missing or unknown";
    NoBundle = 1005, 503, NotRun, "no signed-off bundle is known here yet";
    Draining = 1006, 503, NotRun, "this entry is leaving; ask another";
    LimitReached = 1007, 429, NotRun, "the client account is at its limit";
    NoEndpoint = 1008, 503, NotRun, "no endpoint can take the request now";
    StoreDown = 1009, 503, NotRun, "the claim cannot be written, so the request is not sent";
    KeyConflict = 1010, 409, NotRun, "the idempotency key was used with another request";
    KeyTooOld = 1011, 400, MayHaveRun, "the idempotency key is older than keys are remembered";
    UnknownRoute = 1012, 404, NotRun, "no such route";
    BadIdempotencyKey = 1013, 400, NotRun, "a non-idempotent route needs a version 7 UUID as its idempotency key";
    DeadlineNotRun = 1014, 504, NotRun, "the deadline passed before the request was sent";
    BudgetSpent = 1015, 503, NotRun, "every endpoint tried refused it, and the retry budget is spent";
    HeaderTooLarge = 1016, 431, NotRun, "the headers are longer than the limit";
    StaleBundle = 1017, 503, NotRun, "this entry cannot know whether its bundle is still in force";
    SlowBody = 1019, 408, NotRun, "the body did not arrive in time";
    MemoryFull = 1020, 503, NotRun, "this entry holds as many request bytes as it may";
    Overloaded = 1021, 503, NotRun, "the endpoints cannot answer in time now; come back later";
    BadHead = 1022, 400, NotRun, "the request's head cannot be read";
    SlowHead = 1023, 408, NotRun, "the request's head did not arrive in time";
    RequestHeld = 1024, 503, NotRun, "endpoints ended each time they ran this request, or others with a part of its prompt; it is not sent for now: change it, or come back later";
    EndpointsFull = 1025, 503, NotRun, "every endpoint that could be asked takes no more requests now, as it said itself; come back later";
    OriginUnknown = 1026, 503, NotRun, "this process cannot know which software version began the stream, so nobody may go on with it now";
    OriginGone = 1027, 503, NotRun, "no endpoint of the software version that began the stream takes requests now";
    Uncertain = 2001, 502, MayHaveRun, "it may have run; its answer is lost";
    DeadlinePassed = 2002, 504, MayHaveRun, "the deadline passed after the request was sent";
    Cancelled = 2003, 499, MayHaveRun, "the caller went away";
    StillRunning = 2004, 409, MayHaveRun, "an earlier call with this key still runs";
    EndpointBroken = 2005, 502, MayHaveRun, "the endpoint answered outside its protocol";
    AnswerDropped = 2006, 410, MayHaveRun, "it ran; its answer is no longer kept";
    UnknownRequest = 2007, 404, MayHaveRun, "no process that was reached knows this request";
    KeyUnsettled = 2008, 503, MayHaveRun, "not sent by this call; whether an earlier call with its key ran cannot be known now";
    BundleMalformed = 3001, 400, Unrelated, "the bundle cannot be read";
    BundleUnsigned = 3002, 403, Unrelated, "the bundle lacks the sign-offs the policy in force asks for";
    BundleConflict = 3003, 409, Unrelated, "another bundle was accepted first; start from the newest";
    BundleFormat = 3004, 400, Unrelated, "the bundle's format is newer than this release";
    BundleStale = 3005, 409, Unrelated, "the bundle's generation is not above the one in force";
    BundleFault = 3006, 422, Unrelated, "the bundle breaks a rule";
    BundleTorn = 3007, 502, Unrelated, "a part of the bundle is missing or altered";
    SettingsFault = 4001, 400, Unrelated, "the settings file has a fault";
    UsageFault = 4002, 400, Unrelated, "the command line has a fault";
    StoreUnsent = 5001, 503, Unrelated, "the platform was not reached; nothing changed";
    StoreRefused = 5002, 503, Unrelated, "the platform refused the call; nothing changed";
    StoreConflict = 5003, 409, Unrelated, "the object changed since it was read";
    StoreUnknown = 5004, 502, Unrelated, "the platform may or may not have made the change";
    StoreTooLarge = 5005, 413, Unrelated, "the value is larger than the platform takes";
    StoreBusy = 5006, 429, Unrelated, "the platform's call rate is used up; nothing changed";
    StoreMissing = 5007, 404, Unrelated, "there is no such object";
    StoreBadEra = 5008, 502, Unrelated, "the store names its era in a way that cannot be understood; the known one stays";
    PeerUnreached = 6001, 503, Unrelated, "the peer was not reached";
    PeerTimeout = 6002, 504, Unrelated, "the peer did not answer in time";
    PeerBadFrame = 6003, 400, Unrelated, "the peer sent a frame that cannot be read";
    PeerRelease = 6004, 400, Unrelated, "the peer speaks another message version";
    PeerBadEvidence = 6005, 400, Unrelated, "the peer told of endpoints that are not known here, or what cannot be true; it is left out";
    ReleaseUnreadable = 5101, 400, Unrelated, "the order of a roll-out cannot be read; its service goes on as it is";
    ReleaseUnknownService = 5102, 404, Unrelated, "the order of a roll-out names no service of the rules";
    ReleaseBadTime = 5103, 422, Unrelated, "the order of a roll-out gives no time to decide in, or more than a day";
    ReleaseBadVersion = 5104, 422, Unrelated, "the order of a roll-out names no version, or the one that serves already";
    ReleaseWithdrawn = 5105, 409, Unrelated, "the order of a roll-out was changed or removed before it was decided; its version gets nothing";
    EndpointBadWord = 5201, 400, Unrelated, "an endpoint says something of itself that cannot be understood; what was known of it stays";
    PeerBadClaim = 6006, 400, Unrelated, "the peer named more of an account than it was handed; it is left out";
    PeerBadText = 6007, 400, Unrelated, "the peer sent a piece of the rules that was not asked for, or that is damaged; it is left out";
}

impl ResultCode {
    /// Returns the numeric code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns whether the code guarantees that the request did not and will not run. Code that
    /// returns such a result must be certain of it.
    pub fn guarantees_not_run(self) -> bool {
        self.execution_status() == ExecutionStatus::NotRun
    }

    /// Returns the code with the given number, if there is one.
    pub fn from_number(number: u16) -> Option<ResultCode> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }
}

/// Formats all codes as a Markdown table, from which docs/RESULT-CODES.md is generated.
pub fn code_table() -> String {
    let mut table =
        String::from("| code | name | status | not run | meaning |\n|---|---|---|---|---|\n");
    for code in ResultCode::ALL {
        let not_run = match code.execution_status() {
            ExecutionStatus::NotRun => "yes",
            ExecutionStatus::MayHaveRun => "no",
            ExecutionStatus::Unrelated => "-",
        };
        table.push_str(&format!(
            "| {} | {} | {} | {not_run} | {} |\n",
            code.number(),
            code.name(),
            code.status(),
            code.text()
        ));
    }
    table
}

impl std::fmt::Display for ResultCode {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}: {}", self.number(), self.name(), self.text())
    }
}
