//! Notices that the store came back from an older copy.

use crate::events::event;
use crate::node::FrontNode;
use oleander_kind::{ResultCode, StoreEra};
use oleander_plat::PlatError;

/// Notes the era that the store named last, and an era that could not be read.
pub(crate) fn note_store_era(node: &FrontNode) {
    if let Some(text) = node.store.take_unreadable_era() {
        event!(node, EraUnreadable;
            "text" => text.as_str(), "code" => ResultCode::StoreBadEra.number());
    }
    note_era(node, node.store.era());
}

/// Notes the era of a revision that another process read from the store.
pub(crate) fn note_peer_revision(node: &FrontNode, revision: u64) {
    note_era(node, Some(StoreEra::of(revision)));
}

/// Checks that the last answer of the store is not of an earlier era than other processes know.
///
/// # Errors
/// [`PlatError::OutcomeUnknown`] if it is.
pub(crate) fn check_answer(node: &FrontNode) -> oleander_plat::Result<()> {
    note_store_era(node);
    if node.store.era() < node.store_era.get() {
        let fault = "an answer of an earlier era than other processes know".to_owned();
        return Err(PlatError::OutcomeUnknown(fault));
    }
    Ok(())
}

fn note_era(node: &FrontNode, era: Option<StoreEra>) {
    let known = node.store_era.get();
    if era <= known {
        return;
    }
    node.store_era.set(era);
    if known.is_some() {
        node.meter.count_store_return();
        event!(node, StoreWentBack;
            "era" => era.map(|era| era.0), "before" => known.map(|era| era.0));
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
