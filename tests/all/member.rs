//! Tests of membership in a group of tables that probe one another.

use oleandertack::kind::{ClockTime, DomainName, InstanceId, TimeSpan};
use oleandertack::member::{
    MemberAction, MemberRecord, MemberSettings, MemberStage, MemberTable, ranked,
};
use std::collections::BTreeSet;

const START: ClockTime = ClockTime(1_000_000);

fn record(at: usize) -> MemberRecord {
    MemberRecord {
        id: InstanceId::from(format!("entry-{at:02}").as_str()),
        domain: DomainName::from(format!("d{}", at % 3).as_str()),
        address: format!("{at}").into(),
        incarnation: 1,
        stage: MemberStage::Alive,
    }
}

struct Group {
    tables: Vec<MemberTable>,
    dead: BTreeSet<usize>,
    /// Splits the group: members reach only those on the same side of this index.
    side: Option<usize>,
    now: ClockTime,
}

fn group(size: usize) -> Group {
    let tables = (0..size)
        .map(|at| {
            let mut table = MemberTable::new(record(at), MemberSettings::default());
            // Each table starts with the first three members and learns the rest.
            (0..3.min(size)).for_each(|peer| table.join(record(peer), START));
            table
        })
        .collect();
    Group { tables, dead: BTreeSet::new(), side: None, now: START }
}

impl Group {
    fn reaches(&self, from: usize, to: usize) -> bool {
        let apart = self.side.is_some_and(|side| (from < side) != (to < side));
        !apart && !self.dead.contains(&from) && !self.dead.contains(&to)
    }

    fn number(id: &InstanceId) -> usize {
        id.as_str().trim_start_matches("entry-").parse().expect("a number")
    }

    fn period(&mut self, random: u64) {
        self.now = self.now + TimeSpan(1000);
        for at in 0..self.tables.len() {
            if self.dead.contains(&at) {
                continue;
            }
            let now = self.now;
            for action in self.tables[at].tick(1, now, random ^ at as u64) {
                self.carry_out(at, action);
            }
        }
    }

    fn carry_out(&mut self, at: usize, action: MemberAction) {
        let now = self.now;
        match action {
            MemberAction::Probe { to, message } => {
                let to = Self::number(&to);
                if !self.reaches(at, to) {
                    return;
                }
                let from = self.tables[at].me().clone();
                let answer = self.tables[to].handle_probe(&from, &message, 1, now);
                let me = self.tables[to].me().clone();
                self.tables[at].handle_answer(&me, &answer, now);
            }
            MemberAction::ProbeVia { helper, target, number } => {
                let (helper, target) = (Self::number(&helper), Self::number(&target));
                if self.reaches(at, helper) && self.reaches(helper, target) {
                    self.tables[at].handle_helper_answer(number);
                }
            }
        }
    }

    fn periods(&mut self, count: u64) {
        (0..count).for_each(|round| self.period(round * 7919));
    }

    fn seen_by(&self, at: usize) -> usize {
        self.tables[at].serving_members().count()
    }

    fn list(&mut self, shown: &BTreeSet<usize>) {
        let ids: BTreeSet<InstanceId> = shown.iter().map(|at| record(*at).id).collect();
        self.tables.iter_mut().for_each(|table| table.set_listed(Some(ids.clone())));
    }
}

#[test]
fn every_member_learns_of_all_from_three() {
    let mut group = group(20);

    group.periods(20);

    assert!((0..20).all(|at| group.seen_by(at) == 20));
}

#[test]
fn half_of_the_members_lost_at_once_are_removed_and_no_other() {
    // 47 % of the members are reclaimed without notice. The list stops showing them, and only they
    // are removed.
    let mut group = group(19);
    group.periods(20);
    group.dead = (0..9).collect();
    group.list(&(9..19).collect());

    group.periods(60);

    assert!((9..19).all(|at| group.seen_by(at) == 10), "{:?}", group.seen_by(9));
}

#[test]
fn probes_alone_remove_a_listed_member_only_after_a_long_time() {
    let mut group = group(6);
    group.periods(12);
    group.dead = BTreeSet::from([5]);
    group.list(&(0..6).collect());

    group.periods(15);
    let while_listed = group.seen_by(0);
    group.periods(40);

    assert_eq!((while_listed, group.seen_by(0)), (6, 5));
}

#[test]
fn the_list_alone_removes_no_member() {
    let mut group = group(6);
    group.periods(12);
    group.list(&BTreeSet::new());

    group.periods(60);

    assert!((0..6).all(|at| group.seen_by(at) == 6));
}

#[test]
fn an_isolated_process_removes_no_member() {
    // The process itself is isolated. If it removed the others it would consider itself owner of
    // every key.
    let mut group = group(6);
    group.periods(12);
    group.side = Some(1);

    group.periods(100);

    assert_eq!(group.seen_by(0), 6);
}

#[test]
fn two_halves_of_a_partition_rejoin() {
    let mut group = group(8);
    group.periods(15);
    group.side = Some(4);
    group.list(&BTreeSet::new());
    group.periods(20);
    group.side = None;

    group.periods(60);

    assert!((0..8).all(|at| group.seen_by(at) == 8), "{}", group.seen_by(0));
}

#[test]
fn a_leaving_member_gets_no_keys() {
    let mut group = group(5);
    group.periods(12);

    group.tables[2].leave();
    group.periods(8);

    let table = &group.tables[0];
    assert_eq!(group.seen_by(0), 4);
    assert!((0..50).all(|key| ranked(table, key, 5).iter().all(|m| m.id != record(2).id)));
}

#[test]
fn when_a_member_leaves_only_its_keys_move() {
    let mut group = group(10);
    group.periods(20);
    let owners = |table: &MemberTable| -> Vec<InstanceId> {
        (0..300).map(|key| ranked(table, key, 1)[0].id.clone()).collect()
    };
    let before = owners(&group.tables[0]);

    group.tables[4].leave();
    group.periods(12);
    let after = owners(&group.tables[0]);

    let moved = before.iter().zip(&after).filter(|(old, new)| old != new).count();
    let owned = before.iter().filter(|id| **id == record(4).id).count();
    assert_eq!(moved, owned);
    assert!(owned > 10, "keys are spread: {owned}");
}
