//! The work this process has at an endpoint, counted while it lasts.

use crate::node::FrontNode;
use oleander_place::{EndpointKey, WorkLoad};
use std::rc::Rc;

/// One attempt's share of the load of its endpoint; gives it back when it is dropped.
pub struct WorkGuard {
    node: Rc<FrontNode>,
    key: EndpointKey,
    unread_tokens: u64,
}

impl WorkGuard {
    /// Counts an attempt that makes `key` read `unread_tokens` tokens.
    pub fn begin(node: &Rc<FrontNode>, key: EndpointKey, unread_tokens: u64) -> Self {
        let guard = WorkGuard { node: node.clone(), key, unread_tokens };
        guard.change(|own| {
            own.requests += 1;
            own.unread_tokens += unread_tokens;
        });
        guard
    }

    /// The endpoint.
    pub fn key(&self) -> EndpointKey {
        self.key
    }

    /// Prompt tokens that are not known to be read yet.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// The prompt was read: the first event came.
    pub fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        self.change(|own| own.unread_tokens = own.unread_tokens.saturating_sub(tokens));
    }

    fn change(&self, act: impl FnOnce(&mut WorkLoad)) {
        if let Some(fact) = self.node.endpoints.borrow_mut().get_mut(self.key) {
            act(&mut fact.own);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.prompt_read();
        self.change(|own| own.requests = own.requests.saturating_sub(1));
    }
}
