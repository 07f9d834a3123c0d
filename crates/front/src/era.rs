//! Notices that the store came back from an older copy.

use crate::events::event;
use crate::node::FrontNode;
use oleander_kind::{ResultCode, StoreEra};

/// Notes the era that the store named last, and an era that could not be read.
pub(crate) fn note_store_era(node: &FrontNode) {
    if let Some(text) = node.store.take_unreadable_era() {
        event!(node, EraUnreadable;
            "text" => text.as_str(), "code" => ResultCode::StoreBadEra.number());
    }
    let (known, named) = (node.store_era.get(), node.store.era());
    if named <= known {
        return;
    }
    node.store_era.set(named);
    if known.is_some() {
        node.meter.count_store_return();
        event!(node, StoreWentBack;
            "era" => named.map(|era| era.0), "before" => known.map(|era| era.0));
    }
    node.era_rose.notify_waiters();
}

/// Waits until an era later than `era` is known.
pub(crate) async fn until_later(node: &FrontNode, era: Option<StoreEra>) {
    loop {
        let rose = node.era_rose.notified();
        if node.store_era.get() > era {
            return;
        }
        rose.await;
    }
}
