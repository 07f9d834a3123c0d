//! Applies the operators' rules.

use crate::events::event;
use crate::node::FrontNode;
use oleander_plat::FeedObject;

/// The object that holds the operators' rules.
const RULES_NAME: &str = "main";

/// Applies rules from the store or a peer.
pub fn apply_rules(node: &FrontNode, object: &FeedObject) {
    if object.name != RULES_NAME {
        return;
    }
    match node.dialect.decode_rules(object) {
        Ok(rules) => {
            let version = rules.version();
            if node.rules.borrow_mut().offer(rules, object) {
                node.rules_changed.notify_waiters();
                event!(node, RulesInForce; "version" => version);
            }
        }
        Err(fault) => {
            event!(node, RulesUnreadable; "fault" => fault);
        }
    }
}
