//! The messages exchanged between processes, and the frames that carry them.

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

/// The message version that this release sends and accepts.
pub const MESSAGE_VERSION: u16 = 2;
/// Maximum size of one frame in bytes.
pub const MAX_FRAME_BYTES: usize = 24 << 20;

/// A message with its version and call number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerFrame<B = PeerBody> {
    /// The message version.
    #[serde(rename = "v")]
    pub version: u16,
    /// The call number, which matches an answer to its call.
    #[serde(rename = "n")]
    pub number: u64,
    /// The message.
    #[serde(rename = "b")]
    pub body: B,
}

/// A replicated copy of an in-flight request with the state that another entry needs to take it
/// over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShadowRecord {
    /// The request ID.
    pub id: RequestId,
    /// The client account that sent it. Only this account may retrieve it.
    pub account: AccountName,
    /// The requested service.
    pub service: ServiceName,
    /// The request body as received.
    pub body: Bytes,
    /// Whether the caller requested a streamed answer.
    pub stream: bool,
    /// The entry that currently handles the request.
    pub owner: InstanceId,
    /// The model version on which it started.
    pub version: VersionName,
    /// The endpoint that executes it.
    pub endpoint: InstanceId,
    /// The network address of the endpoint.
    pub address: CompactString,
    /// The endpoint's handle for the stream.
    pub handle: CompactString,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Wall-clock time by which the caller wants the answer.
    pub deadline: ClockTime,
    /// The part of the answer that the owner has, as server-sent events. It is empty until the owner
    /// leaves.
    pub shown: Bytes,
}

/// A completed answer that is stored for callers who repeat the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The request ID.
    pub id: RequestId,
    /// The client account that sent the request.
    pub account: AccountName,
    /// Fingerprint of the request, which distinguishes it from another request with the same ID.
    pub digest: [u8; 16],
    /// HTTP status of the answer.
    pub status: u16,
    /// Response headers that are forwarded to the caller.
    pub headers: Vec<(CompactString, Bytes)>,
    /// The complete body. For a model answer, this is its server-sent events.
    pub body: Bytes,
    /// Number of tokens in the answer; 0 for plain services.
    pub tokens: u64,
    /// Whether the caller requested server-sent events.
    pub events: bool,
}

/// The status of one process as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The instance ID of the process.
    pub instance: InstanceId,
    /// The bundle generation in force in the process.
    pub generation: u64,
    /// Milliseconds since the process last knew that this generation was the newest.
    pub age_ms: u64,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Number of requests in flight.
    pub in_flight: u64,
}

/// The result of looking up a request in a process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RequestLookup {
    /// The request is unknown.
    Nothing,
    /// The request completed and its answer is stored.
    Kept(KeptAnswer),
    /// The request is running, and the caller of the lookup may take it over.
    Running(Box<ShadowRecord>),
    /// A non-idempotent request is running at its owner.
    Busy,
}

/// The wire form of [`ClaimVerdict`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerVerdict {
    /// The claim was granted, and the requesting process may send the request.
    Granted,
    /// The key is already claimed by the given record.
    Held(ClaimRecord),
    /// The claim could not be made; contains the result code number.
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

/// All messages between entries: calls and their answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerBody {
    /// A membership probe.
    Probe {
        /// The sender.
        from: MemberRecord,
        /// Summary of the sender's endpoint list.
        list: ListSummary,
        /// Probe number, bundle generation and membership updates.
        message: ProbeMessage,
    },
    /// The answer to a probe.
    ProbeAnswer {
        /// The sender.
        from: MemberRecord,
        /// Summary of the sender's endpoint list.
        list: ListSummary,
        /// Probe number, bundle generation and membership updates.
        message: ProbeMessage,
    },
    /// Asks the receiver to probe an address on behalf of the sender.
    HelpProbe {
        /// The address to probe.
        address: CompactString,
    },
    /// The answer to `HelpProbe`.
    Helped {
        /// Whether the probed address answered.
        reached: bool,
    },
    /// Requests the bundle if the receiver has a newer generation.
    AskBundle {
        /// The sender's generation.
        generation: u64,
    },
    /// The answer to `AskBundle`.
    BundleIs {
        /// The signed bundle, or `None` if there is no newer one.
        bytes: Option<Bytes>,
    },
    /// Requests a claim.
    AskClaim {
        /// The claim to record.
        record: ClaimRecord,
        /// How long the sender waits for the answer, in milliseconds.
        wait_ms: u64,
    },
    /// The answer to `AskClaim`.
    ClaimIs {
        /// The verdict.
        verdict: PeerVerdict,
    },
    /// Replicates an in-flight request in case the sender cannot finish it.
    PutShadow {
        /// The replicated request.
        record: Box<ShadowRecord>,
    },
    /// Stores a completed answer.
    PutAnswer {
        /// The answer to store.
        answer: KeptAnswer,
    },
    /// Removes the replicas of finished requests.
    DropShadow {
        /// Keys of the finished requests.
        keys: Vec<ClaimKey>,
    },
    /// Tells the owner of a request that the sender has taken it over.
    Taken {
        /// Key of the request.
        key: ClaimKey,
    },
    /// Looks up a request.
    FindRequest {
        /// Key of the request, derived from its account and ID.
        key: ClaimKey,
    },
    /// The answer to `FindRequest`.
    Found {
        /// The lookup result.
        found: RequestLookup,
    },
    /// Reports demand for accounts whose limits the receiver owns.
    ReportDemand {
        /// The reporting entry.
        entry: InstanceId,
        /// Demand by account.
        reports: Vec<(AccountName, DemandReport)>,
    },
    /// The answer to `ReportDemand`.
    SharesAre {
        /// Granted share by account.
        grants: Vec<(AccountName, ShareGrant)>,
    },
    /// Announces endpoints that are leaving.
    LeavingNews {
        /// Instance IDs and the wall-clock times of their termination, where known.
        leaving: Vec<(InstanceId, Option<ClockTime>)>,
    },
    /// Announces the sender's bundle generation. A receiver with an older one requests the bundle.
    BundleNews {
        /// The sender's generation.
        generation: u64,
        /// The address at which the sender accepts peer connections.
        address: CompactString,
    },
    /// Announces a change of the endpoint list.
    ListNews {
        /// The change.
        change: ListChange,
    },
    /// Requests a snapshot of the endpoint list.
    AskList,
    /// The answer to `AskList`: a snapshot of the endpoint list.
    ListIs {
        /// When the list was read.
        stamp: ClockTime,
        /// The records of the list.
        records: Vec<EndpointRecord>,
    },
    /// Requests the status of a process.
    AskStatus,
    /// The answer to `AskStatus`.
    StatusIs {
        /// The status.
        status: NodeStatus,
    },
    /// The call succeeded and has no other result.
    Done,
    /// The call was refused.
    Refused {
        /// The result code number.
        code: u16,
    },
}

/// Encodes a message as a frame.
pub fn encode_frame<B: Serialize>(number: u64, body: B) -> Bytes {
    let frame = PeerFrame { version: MESSAGE_VERSION, number, body };
    let mut bytes = Vec::new();
    // Writing to a `Vec` cannot fail, and all message types can be encoded as CBOR.
    let _ = ciborium::into_writer(&frame, &mut bytes);
    Bytes::from(bytes)
}

/// Decodes a frame that carries a [`PeerBody`].
///
/// # Errors
/// Returns the same errors as [`read_frame`].
pub fn decode_frame(bytes: &[u8]) -> Result<PeerFrame> {
    read_frame(bytes)
}

/// Decodes a frame that carries a message of type `B`.
///
/// # Errors
/// Returns [`WireError::BadFrame`] if the frame is malformed or too large, and
/// [`WireError::Release`] if it has another message version.
pub fn read_frame<B: DeserializeOwned>(bytes: &[u8]) -> Result<PeerFrame<B>> {
    #[derive(Deserialize)]
    struct VersionField {
        v: u16,
    }
    /// Maximum nesting depth. Deeper values are rejected, so that a hostile frame cannot exhaust the
    /// stack.
    const MAX_DEPTH: usize = 32;
    let bad = |fault: String| WireError::BadFrame(fault);
    if bytes.len() > MAX_FRAME_BYTES {
        return Err(bad(format!("{} bytes", bytes.len())));
    }
    let probe: VersionField = ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH)
        .map_err(|fault| bad(fault.to_string()))?;
    if probe.v != MESSAGE_VERSION {
        return Err(WireError::Release(probe.v));
    }
    ciborium::de::from_reader_with_recursion_limit(bytes, MAX_DEPTH)
        .map_err(|fault| bad(fault.to_string()))
}
