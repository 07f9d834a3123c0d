//! Applies the operators' rules.

use crate::events::event;
use crate::node::FrontNode;
use oleander_plat::{FeedKind, FeedObject};

/// The object that holds the operators' rules.
const RULES_NAME: &str = "main";

/// Where rules were received from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RulesSource {
    /// The store.
    Store,
    /// Another process.
    Peer,
}

impl RulesSource {
    /// The value of the field `by` of a log line, and of the label of a metric.
    pub fn name(self) -> &'static str {
        match self {
            RulesSource::Store => "store",
            RulesSource::Peer => "peer",
        }
    }
}

/// Applies rules from the store or a peer.
pub fn apply_rules(node: &FrontNode, object: &FeedObject, source: RulesSource) {
    if object.name != RULES_NAME {
        return;
    }
    match node.dialect.decode_rules(object) {
        Ok(rules) => {
            let version = rules.version();
            let told = node.rules.borrow().told(node.clock.now());
            if node.rules.borrow_mut().offer(rules, object) {
                node.rules_changed.notify_waiters();
                let behind = told.map(|told| node.clock.now() - told.since);
                node.meter.record_rules(source.name(), behind);
                event!(node, RulesInForce;
                    "version" => version, "by" => source.name(), "bytes" => object.body.len(),
                    "behind_ms" => behind.map(|behind| behind.0));
            }
        }
        Err(fault) => {
            if node.told.note(FeedKind::Rules, source.name(), &fault) {
                event!(node, RulesUnreadable; "fault" => fault, "by" => source.name());
            }
        }
    }
}

/// Notes the version of the rules that another process has in force.
pub(crate) fn note_peer_version(node: &FrontNode, version: u64, peer: &str) {
    let mut book = node.rules.borrow_mut();
    let own = book.version();
    if book.note_told(version, node.clock.now()) {
        event!(node, RulesBehind; "version" => own, "told" => version, "by" => peer);
    }
}
