//! What this process lets its callers hold, and the log of those that gave way.

use crate::events::event;
use crate::node::FrontNode;
use oleander_conf::FrontSettings;
use oleander_hold::{HoldBounds, HoldRoom, HolderEviction};

/// Bytes of a megabyte.
const MEGABYTE: f64 = 1e6;

/// The bounds for the machine that the settings name.
pub(crate) fn machine_bounds(settings: &FrontSettings) -> HoldBounds {
    HoldBounds::of_machine((settings.memory_mb * MEGABYTE) as usize, settings.descriptors)
}

/// Logs that a caller's request or answer gave way to others.
pub(crate) fn log_gave_way(node: &FrontNode, request: Option<&str>, eviction: &HolderEviction) {
    event!(node, GaveWay;
        "request" => request, "room" => eviction.room.name(), "used" => eviction.used,
        "bound" => eviction.bound, "phase" => eviction.phase.name(),
        "for_ms" => eviction.for_ms, "moved" => eviction.moved);
}

/// Logs that a request found a room full, and nobody gave way for it.
pub(crate) fn log_room_full(node: &FrontNode, room: HoldRoom) {
    let (used, bound) = node.holds.usage(room);
    event!(node, RoomFull; "room" => room.name(), "used" => used, "bound" => bound);
}
