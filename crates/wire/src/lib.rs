//! The protocol between the processes of a cluster: CBOR messages over WebSocket, where each call has
//! one answer.
//!
//! Every frame carries a message version, so that two releases can run side by side, and has a
//! maximum size. A malformed or oversized frame closes its connection and has no other effect.

pub mod hub;
pub mod message;
pub mod serve;

pub use hub::{CallPeer, ClosePeer, PeerHub, PeerMessage, TrafficCounters};
pub use message::{
    KeptAnswer, NodeStatus, PeerBody, PeerFrame, PeerVerdict, RequestLookup, ShadowRecord,
    decode_frame, encode_frame, read_frame,
};
pub use serve::{PeerHandler, PeerListener, bind_peer_listener, serve_peers};

use oleander_kind::ResultCode;
use quick_error::quick_error;

quick_error! {
    /// The reason why a call to a peer failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum WireError {
        /// The connection could not be opened or was lost.
        Unreached(address: String) {
            display("{}: {}", ResultCode::PeerUnreached, address)
        }
        /// No answer arrived before the timeout.
        Timeout(address: String) {
            display("{}: {}", ResultCode::PeerTimeout, address)
        }
        /// A frame could not be decoded.
        BadFrame(detail: String) {
            display("{}: {}", ResultCode::PeerBadFrame, detail)
        }
        /// A frame has an unsupported message version.
        Release(version: u16) {
            display("{}: {}", ResultCode::PeerRelease, version)
        }
    }
}

/// The result of wire operations.
pub type Result<T> = std::result::Result<T, WireError>;
