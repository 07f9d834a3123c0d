//! Notices that the store came back from an older copy.

use crate::events::event;
use crate::node::FrontNode;
use oleander_kind::{ResultCode, StoreEra, TimeSpan};
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

/// The known era of the store; the first one before any answer.
pub(crate) fn known_era(node: &FrontNode) -> StoreEra {
    node.store_era.get().unwrap_or_default()
}

/// The era of this process's own last answers of the store.
pub(crate) fn answered_era(node: &FrontNode) -> StoreEra {
    node.store.era().unwrap_or_default()
}

/// Checks that the last answer of the store is not of an earlier era than other processes know.
///
/// # Errors
/// [`PlatError::OutcomeUnknown`] if it is.
pub(crate) fn check_answer(node: &FrontNode) -> oleander_plat::Result<()> {
    note_store_era(node);
    if answered_era(node) < known_era(node) {
        let fault = "an answer of an earlier era than other processes know".to_owned();
        return Err(PlatError::OutcomeUnknown(fault));
    }
    Ok(())
}

fn note_era(node: &FrontNode, era: Option<StoreEra>) {
    let (Some(era), known) = (era, node.store_era.get()) else { return };
    if known.is_some_and(|known| era <= known) {
        return;
    }
    node.store_era.set(Some(era));
    if let Some(known) = known {
        node.store_returned_at.set(Some(node.clock.now()));
        node.meter.count_store_return();
        event!(node, StoreWentBack; "era" => era.0, "before" => known.0);
    }
    if era > known.unwrap_or_default() {
        node.era_rose.notify_waiters();
    }
}

/// Whether the store came back from an older copy so short a time ago that what operators and
/// endpoints wrote need not be written again yet.
pub(crate) fn is_relisting(node: &FrontNode) -> bool {
    let time = TimeSpan(node.bounds().relist_ms);
    node.store_returned_at.get().is_some_and(|at| node.clock.now() - at < time)
}

/// Waits until an era later than `era` is known.
pub(crate) async fn until_later(node: &FrontNode, era: StoreEra) {
    loop {
        let rose = node.era_rose.notified();
        if known_era(node) > era {
            return;
        }
        rose.await;
    }
}
