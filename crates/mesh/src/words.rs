//! What processes tell one another of what endpoints said of themselves.

use crate::message::EndpointMark;
use oleander_kind::hash::mix_bits;
use oleander_kind::{InstanceId, RequestRate, TimeSpan};
use serde::{Deserialize, Serialize};

/// What an endpoint said of itself, as one process knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointWords {
    /// The endpoint.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// When this life of it began, in Unix milliseconds.
    #[serde(rename = "l")]
    pub life: u64,
    /// Requests a second that it takes from all processes together; none if it names no limit any more.
    #[serde(rename = "r")]
    pub limit: Option<RequestRate>,
    /// How long ago the request was sent whose answer said so.
    #[serde(rename = "g")]
    pub age: TimeSpan,
    /// Whether it leaves.
    #[serde(rename = "x", default)]
    pub leaves: bool,
}

impl EndpointWords {
    fn mark(&self) -> u64 {
        let limit = self.limit.map_or(0, |rate| 1 + rate.per_s().to_bits());
        let said = mix_bits(limit ^ mix_bits(u64::from(self.leaves)));
        mix_bits(self.instance.stable_hash() ^ mix_bits(self.life) ^ said)
    }
}

/// Tells two sets of words apart, whatever their order and age. That a limit ended is told, and needs to be known only by who
/// knew it.
pub fn words_mark(words: &[EndpointWords]) -> u64 {
    let in_force = words.iter().filter(|said| said.leaves || said.limit.is_some());
    in_force.fold(0, |mark, said| mark ^ said.mark())
}

/// A process's part of what a limited endpoint takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ShareFields", into = "ShareFields")]
pub struct RateShare {
    /// The endpoint.
    pub endpoint: EndpointMark,
    /// Requests a second.
    pub per_s: f32,
}

type ShareFields = (EndpointMark, f32);

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
