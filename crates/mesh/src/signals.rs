//! Messages about what endpoints announced in their answers: their rate limits and that they leave.

use crate::message::EndpointHash;
use oleander_kind::hash::mix_bits;
use oleander_kind::{InstanceId, RequestRate, TimeSpan};
use serde::{Deserialize, Serialize};

/// What an endpoint announced, as known to one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSignals {
    /// The endpoint.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// The start time of its incarnation, in Unix milliseconds.
    #[serde(rename = "l")]
    pub life: u64,
    /// The requests per second that it accepts from all processes together; `None` once it
    /// announces no limit any more.
    #[serde(rename = "r")]
    pub limit: Option<RequestRate>,
    /// How long ago the request was sent whose answer carried the signal.
    #[serde(rename = "g")]
    pub age: TimeSpan,
    /// Whether it is leaving.
    #[serde(rename = "x", default)]
    pub leaves: bool,
    /// The refusals a second at which it falls over, if it is brittle, and how long ago the request was
    /// sent whose answer said so; `None` if it never said so.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub brittle: Option<(Option<u32>, TimeSpan)>,
    /// The requests that it is assumed to have room for, and how long ago it refused one.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub room: Option<(u32, TimeSpan)>,
}

impl EndpointSignals {
    /// Whether it is brittle.
    pub fn is_brittle(&self) -> bool {
        matches!(self.brittle, Some((Some(_), _)))
    }

    fn hash(&self) -> u64 {
        let limit = self.limit.map_or(0, |rate| 1 + rate.per_s().to_bits());
        let announced = mix_bits(limit ^ mix_bits(u64::from(self.leaves)));
        let announced = match (self.is_brittle(), self.room) {
            (true, room) => {
                mix_bits(announced ^ (2 + room.map_or(0, |(window, _)| u64::from(window))))
            }
            (false, _) => announced,
        };
        mix_bits(self.instance.stable_hash() ^ mix_bits(self.life) ^ announced)
    }
}

/// A hash of a set of signals, independent of their order and age. The end of a limit
/// is passed on but not included, since only processes that knew the limit need to know of its end.
pub fn signals_hash(all: &[EndpointSignals]) -> u64 {
    let in_force = all
        .iter()
        .filter(|signals| signals.leaves || signals.limit.is_some() || signals.is_brittle());
    in_force.fold(0, |hash, signals| hash ^ signals.hash())
}

/// One process's share of the rate of a limited endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ShareFields", into = "ShareFields")]
pub struct RateShare {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Requests per second.
    pub per_s: f32,
}

type ShareFields = (EndpointHash, f32);

impl From<ShareFields> for RateShare {
    fn from((endpoint, per_s): ShareFields) -> Self {
        RateShare { endpoint, per_s }
    }
}

impl From<RateShare> for ShareFields {
    fn from(share: RateShare) -> Self {
        (share.endpoint, share.per_s)
    }
}
