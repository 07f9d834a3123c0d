//! Claims: which claim requests a keeper grants, and when it writes.

use oleandertack::claim::partition::{PARTITION_SPAN, PartitionName, decode};
use oleandertack::claim::{
    ClaimAction, ClaimRecord, ClaimRequest, ClaimSettings, ClaimVerdict, HeadValue,
    PartitionKeeper, StoreReply, claim_key,
};
use oleandertack::kind::{AccountName, ClockTime, InstanceId, ResultCode, TimeSpan};

const NOW: ClockTime = ClockTime(5_000_000);
const WALL: ClockTime = ClockTime(1_790_000_000_000);

fn record(key: &str, nonce: u64) -> ClaimRecord {
    ClaimRecord {
        key: claim_key(&AccountName::from("tartu"), key),
        digest: [1; 16],
        nonce,
        owner: InstanceId::from("entry-0"),
        key_time: WALL,
    }
}

fn ask(ticket: u64, key: &str) -> ClaimRequest {
    ClaimRequest { ticket, record: record(key, ticket), deadline: NOW + TimeSpan::secs(3) }
}

/// A keeper that has read an empty partition.
fn ready_keeper(settings: ClaimSettings) -> PartitionKeeper {
    let mut keeper = PartitionKeeper::new(settings);
    keeper.ask(ask(1000, "first"), NOW, WALL);
    keeper.store_reply(StoreReply::Read(None), NOW, WALL);
    keeper.store_reply(StoreReply::Written(1), NOW, WALL);
    keeper
}

fn written_claims(actions: &[ClaimAction]) -> Option<usize> {
    actions.iter().find_map(|action| match action {
        ClaimAction::WriteHead { bytes, .. } => {
            Some(decode::<HeadValue>(bytes).expect("a head").claims.len())
        }
        _ => None,
    })
}

fn verdict_of(actions: &[ClaimAction], wanted: u64) -> Option<ClaimVerdict> {
    actions.iter().find_map(|action| match action {
        ClaimAction::Answer { ticket, verdict } if *ticket == wanted => Some(verdict.clone()),
        _ => None,
    })
}

#[test]
fn claims_that_arrive_during_a_write_share_the_next_write() {
    let mut keeper = ready_keeper(ClaimSettings::default());
    keeper.ask(ask(1, "a"), NOW, WALL);
    keeper.ask(ask(2, "b"), NOW, WALL);
    keeper.ask(ask(3, "c"), NOW, WALL);

    let actions = keeper.store_reply(StoreReply::Written(2), NOW, WALL);

    assert_eq!(verdict_of(&actions, 1), Some(ClaimVerdict::Granted));
    assert_eq!(written_claims(&actions), Some(4));
}

#[test]
fn writes_are_paced_once_the_burst_is_used_up() {
    // Near the store's rate limit, callers wait a few milliseconds longer instead of being refused.
    let settings =
        ClaimSettings { burst: 1, write_interval: TimeSpan(16), ..ClaimSettings::default() };
    let mut keeper = ready_keeper(settings);
    keeper.ask(ask(1, "a"), NOW, WALL);
    keeper.store_reply(StoreReply::Written(2), NOW, WALL);

    let early = keeper.ask(ask(2, "b"), NOW + TimeSpan(1), WALL);
    let due = keeper.next_tick().expect("a write is due later");
    let later = keeper.tick(due, WALL);

    assert_eq!(written_claims(&early), None);
    assert_eq!(due, NOW + TimeSpan(16));
    assert_eq!(written_claims(&later), Some(3));
}

#[test]
fn a_claimed_key_belongs_to_its_first_request() {
    let mut keeper = ready_keeper(ClaimSettings::default());
    keeper.ask(ask(1, "a"), NOW, WALL);
    keeper.store_reply(StoreReply::Written(2), NOW, WALL);

    let actions = keeper.ask(ask(2, "a"), NOW, WALL);

    assert_eq!(verdict_of(&actions, 2), Some(ClaimVerdict::Held(record("a", 1))));
}

#[test]
fn a_key_older_than_the_retention_is_refused() {
    // A day-old key is repeated. Its partition may be removed, so that the claim of the first request could
    // not be found; the key must be refused by the time it carries.
    let settings = ClaimSettings::default();
    let mut keeper = ready_keeper(settings);

    let actions = keeper.ask(ask(1, "a"), NOW, WALL + settings.retention);

    let refused = ClaimVerdict::Unavailable(ResultCode::KeyTooOld);
    assert_eq!(verdict_of(&actions, 1), Some(refused));
}

#[test]
fn a_partition_expires_only_when_all_its_keys_have_expired() {
    let partition = PartitionName::of(0, WALL);
    let retention = TimeSpan::secs(24 * 3600);
    let last_key = ClockTime((partition.span + 1) * PARTITION_SPAN.0 - 1);

    assert!(!partition.is_expired(retention, last_key + retention));
    assert!(partition.is_expired(retention, last_key + TimeSpan(retention.0 + 1)));
}

#[test]
fn all_waiting_requests_are_refused_at_once_when_the_store_is_down() {
    let mut keeper = ready_keeper(ClaimSettings::default());
    keeper.ask(ask(1, "a"), NOW, WALL);
    keeper.ask(ask(2, "b"), NOW, WALL);

    let actions = keeper.store_reply(StoreReply::NotDone, NOW, WALL);

    let refused = Some(ClaimVerdict::Unavailable(ResultCode::StoreDown));
    assert_eq!([verdict_of(&actions, 1), verdict_of(&actions, 2)], [refused.clone(), refused]);
}
