//! Sends list content to other processes only as fast as the link leaves room for reports and their
//! answers.

use crate::node::FrontNode;
use oleander_list::{PartRequest, RosterPart, RosterUpdate};

/// An update of at most this size is always sent: the changes of a moment, which must be known soon.
const SMALL_UPDATE_BYTES: usize = 4096;

/// The update itself, or the advice to fetch it in parts if there is no room for it now.
pub(super) fn bound_update(node: &FrontNode, update: RosterUpdate) -> RosterUpdate {
    let bytes = update.bytes();
    let mut budget = node.list_budget.borrow_mut();
    if bytes > SMALL_UPDATE_BYTES && !budget.is_open(node.clock.now()) {
        node.meter.count_list_withheld("update");
        return RosterUpdate::InParts;
    }
    budget.take(bytes);
    update
}

/// Answers a request for a part of the list.
pub(super) fn answer_part_request(node: &FrontNode, request: &PartRequest) -> RosterPart {
    let now = node.clock.now();
    let mut budget = node.list_budget.borrow_mut();
    if !budget.is_open(now) {
        node.meter.count_list_withheld("part");
        return RosterPart::unavailable();
    }
    let part = node.roster.borrow().part(request, now);
    budget.take(part.bytes());
    part
}
