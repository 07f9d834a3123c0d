//! Links between our own processes: CBOR messages over WebSocket, each a call with one answer.
//!
//! A frame carries a message version, so that two releases can run side by side, and is bounded.
//! A broken or oversized frame ends its connection and nothing else.

pub mod hub;
pub mod message;
pub mod serve;

pub use hub::{CallPeer, ForgetPeer, LinkBody, PeerHub, TrafficCount};
pub use message::{
    FoundRequest, KeptAnswer, NodeStatus, PeerBody, PeerFrame, PeerVerdict, ShadowRecord,
    decode_frame, encode_frame, read_frame,
};
pub use serve::{PeerHandler, PeerListener, bind_peers, listen_peers};

use oleander_kind::ResultCode;
use quick_error::quick_error;

quick_error! {
    /// Why a call to a peer brought no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WireError {
        /// No connection, or it broke.
        Unreached(address: String) {
            display("{}: {}", ResultCode::PeerUnreached, address)
        }
        /// No answer in time.
        Timeout(address: String) {
            display("{}: {}", ResultCode::PeerTimeout, address)
        }
        /// A frame that cannot be read.
        BadFrame(detail: String) {
            display("{}: {}", ResultCode::PeerBadFrame, detail)
        }
        /// A frame of another message version.
        Release(version: u16) {
            display("{}: {}", ResultCode::PeerRelease, version)
        }
    }
}

/// The result of wire operations.
pub type Result<T> = std::result::Result<T, WireError>;
