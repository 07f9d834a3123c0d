//! Copies computed keys and values from a leaving endpoint to another.

use crate::drive::StreamJob;
use crate::node::EntryNode;
use oleander_board::EndpointKey;
use oleander_kind::TimeSpan;

/// The longest KV description that is carried, in bytes.
const KV_LIMIT: usize = 16 << 20;
/// The longest time for one copy.
const KV_TIME: TimeSpan = TimeSpan(800);

/// Copies the KV of `job`'s stream to `target`. It may fail; then the tokens are computed again.
pub async fn copy_kv(node: &EntryNode, job: &StreamJob, target: EndpointKey) {
    let source = {
        let record = job.live.record.borrow();
        record.as_ref().map(|record| (record.address.clone(), record.handle.clone()))
    };
    let address = node.board.borrow().endpoints.get(target).map(|fact| fact.record.address.clone());
    let (Some((from, handle)), Some(to)) = (source, address) else {
        return;
    };
    let export = node.client.get(format!("http://{from}/v1/streams/{handle}/kv"));
    let Ok(mut exported) = export.timeout(KV_TIME.duration()).send().await else {
        return;
    };
    if !exported.status().is_success() {
        return;
    }
    let Ok(blob) = exported.body().limit(KV_LIMIT).await else {
        return;
    };
    let import = node.client.post(format!("http://{to}/v1/kv")).timeout(KV_TIME.duration());
    let imported = import.insert_header(("content-type", "application/json")).send_body(blob).await;
    if imported.is_ok() {
        node.meter.count_retry("kv_copy");
        let board = node.board.borrow();
        node.router.borrow_mut().note_prefix_copy(&board, &job.head.blocks, target);
    }
}
