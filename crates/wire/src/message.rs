//! The messages.

use crate::{Result, WireError};
use bytes::Bytes;
use compact_str::CompactString;
use oleander_claim::{ClaimKey, ClaimRecord, ClaimVerdict};
use oleander_kind::{
    AccountName, ClockTime, EndpointRecord, InstanceId, RequestId, ResultCode, ServiceName,
    VersionName,
};
use oleander_limit::{DemandReport, ShareGrant};
use oleander_list::{ListChange, ListSummary};
use oleander_member::{MemberRecord, ProbeMessage};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The message version this release speaks.
pub const MESSAGE_VERSION: u16 = 2;
/// The most bytes of one frame.
pub const FRAME_LIMIT: usize = 24 << 20;

/// One frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame<B = PeerBody> {
    /// Message version.
    #[serde(rename = "v")]
    pub version: u16,
    /// Matches an answer to its call.
    #[serde(rename = "n")]
    pub number: u64,
    /// The message.
    #[serde(rename = "b")]
    pub body: B,
}

/// A request in flight, as another entry needs it to go on with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShadowRecord {
    /// The request.
    pub id: RequestId,
    /// Whose it is; only this account may ask for it.
    pub account: AccountName,
    /// Its service.
    pub service: ServiceName,
    /// Its body as it came.
    pub body: Bytes,
    /// Whether the caller wants a stream.
    pub stream: bool,
    /// The entry that runs it.
    pub owner: InstanceId,
    /// The version it began on.
    pub version: VersionName,
    /// The endpoint that runs it.
    pub endpoint: InstanceId,
    /// The endpoint's address.
    pub address: CompactString,
    /// The stream's name there.
    pub handle: CompactString,
    /// 0 is served first.
    pub priority: u8,
    /// Wall-clock time by which the caller wants the answer.
    pub deadline: ClockTime,
    /// The part of the answer that the owner has, as server-sent events; empty until it leaves.
    pub shown: Bytes,
}

/// An answer that is kept for callers who ask again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The request.
    pub id: RequestId,
    /// Whose it is.
    pub account: AccountName,
    /// What tells its request from another with the same id.
    pub digest: [u8; 16],
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(CompactString, Bytes)>,
    /// The whole body; of a model answer, its events.
    pub body: Bytes,
    /// Tokens in it; 0 for plain answers.
    pub tokens: u64,
    /// Whether the caller wanted events.
    pub events: bool,
}

/// How one process stands, as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its instance.
    pub instance: InstanceId,
    /// The generation in force there.
    pub generation: u64,
    /// Since it knew that this generation is the newest, in milliseconds.
    pub age_ms: u64,
    /// Whether it takes requests.
    pub ready: bool,
    /// Requests in flight.
    pub in_flight: u64,
}

/// What a process knows of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FoundRequest {
    /// Nothing.
    Nothing,
    /// Its whole answer.
    Kept(KeptAnswer),
    /// It runs; the asker may go on with it.
    Running(Box<ShadowRecord>),
    /// A non-idempotent request that runs at its owner.
    Busy,
}

/// A claim's verdict as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerVerdict {
    /// The asker may send.
    Granted,
    /// Another request has the key.
    Held(ClaimRecord),
    /// Not claimed; a result code.
    Unavailable(u16),
}

impl From<ClaimVerdict> for PeerVerdict {
    fn from(verdict: ClaimVerdict) -> Self {
        match verdict {
            ClaimVerdict::Granted => PeerVerdict::Granted,
            ClaimVerdict::Held(record) => PeerVerdict::Held(record),
            ClaimVerdict::Unavailable(code) => PeerVerdict::Unavailable(code.number()),
        }
    }
}

impl From<PeerVerdict> for ClaimVerdict {
    fn from(verdict: PeerVerdict) -> Self {
        match verdict {
            PeerVerdict::Granted => ClaimVerdict::Granted,
            PeerVerdict::Held(record) => ClaimVerdict::Held(record),
            PeerVerdict::Unavailable(number) => {
                let code = ResultCode::from_number(number).unwrap_or(ResultCode::StoreDown);
                ClaimVerdict::Unavailable(code)
            }
        }
    }
}

/// The messages: calls and their answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerBody {
    /// A probe of membership.
    Probe {
        /// The sender.
        from: MemberRecord,
        /// What it has of the endpoint list.
        list: ListSummary,
        /// Number, generation and news.
        message: ProbeMessage,
    },
    /// The answer to a probe.
    ProbeAnswer {
        /// The sender.
        from: MemberRecord,
        /// What it has of the endpoint list.
        list: ListSummary,
        /// Number, generation and news.
        message: ProbeMessage,
    },
    /// Probe this address in my place.
    HelpProbe {
        /// The address.
        address: CompactString,
    },
    /// Whether the helper reached it.
    Helped {
        /// Whether it answered.
        reached: bool,
    },
    /// Give me the bundle if yours is above this generation.
    AskBundle {
        /// The asker's generation.
        generation: u64,
    },
    /// The bundle's bytes, or nothing newer.
    BundleIs {
        /// The signed bundle.
        bytes: Option<Bytes>,
    },
    /// Claim this for me.
    AskClaim {
        /// What is claimed.
        record: ClaimRecord,
        /// How long the asker waits, in milliseconds.
        wait_ms: u64,
    },
    /// The claim's verdict.
    ClaimIs {
        /// The verdict.
        verdict: PeerVerdict,
    },
    /// Hold this request in case I cannot go on.
    PutShadow {
        /// The request.
        record: Box<ShadowRecord>,
    },
    /// Keep this answer.
    PutAnswer {
        /// The answer.
        answer: KeptAnswer,
    },
    /// These requests are over.
    DropShadow {
        /// Their keys.
        keys: Vec<ClaimKey>,
    },
    /// I go on with this request of yours.
    Taken {
        /// Its key.
        key: ClaimKey,
    },
    /// What do you know of this request?
    FindRequest {
        /// Its key, made of account and id.
        key: ClaimKey,
    },
    /// What is known.
    Found {
        /// The knowledge.
        found: FoundRequest,
    },
    /// Demand of accounts whose limits you own.
    ReportDemand {
        /// The reporter.
        entry: InstanceId,
        /// Demand by account.
        reports: Vec<(AccountName, DemandReport)>,
    },
    /// Shares of the accounts.
    SharesAre {
        /// Share by account.
        grants: Vec<(AccountName, ShareGrant)>,
    },
    /// These endpoints are leaving.
    LeavingNews {
        /// Instances and the wall-clock times of their ends.
        leaving: Vec<(InstanceId, Option<ClockTime>)>,
    },
    /// This generation is in force here; ask for it if yours is below.
    BundleNews {
        /// The sender's generation.
        generation: u64,
        /// Where the sender answers peers.
        address: CompactString,
    },
    /// The endpoint list changed.
    ListNews {
        /// The change.
        change: ListChange,
    },
    /// Give me your whole endpoint list.
    AskList,
    /// The whole endpoint list.
    ListIs {
        /// When it was read.
        stamp: ClockTime,
        /// Its records.
        records: Vec<EndpointRecord>,
    },
    /// How do you stand?
    AskStatus,
    /// How the process stands.
    StatusIs {
        /// The status.
        status: NodeStatus,
    },
    /// Done.
    Done,
    /// Refused, with a result code.
    Refused {
        /// The code's number.
        code: u16,
    },
}

/// Writes a frame.
pub fn encode_frame<B: Serialize>(number: u64, body: B) -> Bytes {
    let frame = PeerFrame { version: MESSAGE_VERSION, number, body };
    let mut bytes = Vec::new();
    // Writing to memory fails only for values that cannot be encoded at all, which these can.
    let _ = ciborium::into_writer(&frame, &mut bytes);
    Bytes::from(bytes)
}

/// Reads a frame of the entries' messages.
///
/// # Errors
/// As [`read_frame`].
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame> {
    read_frame(bytes)
}

/// Reads a frame whose message is a `B`.
///
/// # Errors
/// [`WireError::BadFrame`] or [`WireError::Release`].
pub fn read_frame<B: DeserializeOwned>(bytes: &[u8]) -> Result<PeerFrame<B>> {
    #[derive(Deserialize)]
    struct VersionProbe {
        v: u16,
    }
    /// Nested values deeper than this are refused, so that a hostile frame cannot exhaust the stack.
    const MOST_DEPTH: usize = 32;
    let bad = |fault: String| WireError::BadFrame(fault);
    if bytes.len() > FRAME_LIMIT {
        return Err(bad(format!("{} bytes", bytes.len())));
    }
    let probe: VersionProbe = ciborium::de::from_reader_with_recursion_limit(bytes, MOST_DEPTH)
        .map_err(|fault| bad(fault.to_string()))?;
    if probe.v != MESSAGE_VERSION {
        return Err(WireError::Release(probe.v));
    }
    ciborium::de::from_reader_with_recursion_limit(bytes, MOST_DEPTH)
        .map_err(|fault| bad(fault.to_string()))
}
