//! What processes that start are told by the others; several processes in virtual time.

use crate::plays::{ProcessGroup, play};
use oleandertack::front::mesh::MeshPeers;
use oleandertack::mesh::{MemberInfo, MeshBody};
use oleandertack::wire::PeerHandler;

/// Guards against two collectors, of which one has the counts of a usage window and the other the lease: a
/// process that starts adopts the collector that another one names, which was itself and stopping.
#[test]
fn a_leaving_process_does_not_name_itself_as_the_collector() {
    play(async {
        let group = ProcessGroup::start(3).await;
        let leaving = group.processes[group.collector()].node.clone();
        leaving.mesh.borrow_mut().view.leave();
        let newcomer = MemberInfo {
            id: "front-new".into(),
            ..group.processes[(group.collector() + 1) % 3].node.mesh.borrow().view.me().clone()
        };

        let answer = MeshPeers(leaving.clone()).answer(MeshBody::Greet(newcomer)).await;

        let MeshBody::Members(list) = answer else { panic!("{answer:?}") };
        assert!(list.collector.is_none_or(|member| !member.leaving), "it names itself");
    });
}
