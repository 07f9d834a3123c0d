//! Tests of large texts that processes pass to one another in pieces.

use crate::front::object;
use crate::mesh::NOW;
use bytes::Bytes;
use oleandertack::bulk::{
    BulkError, MAX_TEXT_BYTES, PackedPiece, PieceDigest, PieceMark, TextAssembler, TextPieces,
};
use oleandertack::call::{CallerBounds, RuleSet};
use oleandertack::kind::TimeSpan;
use oleandertack::kind::hash::mix_bits;
use oleandertack::mesh::{RulesBook, RulesFetch, RulesRequest, RulesStep};

/// A text of lines that differ.
fn lines(from: u64, count: u64) -> String {
    (from..from + count).map(|at| format!("line {:016x} of a text\n", mix_bits(at))).collect()
}

fn pieces(text: &str) -> TextPieces {
    TextPieces::of(Bytes::from(text.to_owned()))
}

/// Receives `text` at a process that has `own`; returns it and the number of pieces and bytes that were sent.
fn receive(text: &TextPieces, own: Option<&TextPieces>) -> (Option<Bytes>, usize, usize) {
    let mut assembler = TextAssembler::default();
    assembler.set_plan(text.plan().to_vec(), own).expect("a sound plan");
    let sent: Vec<PackedPiece> = assembler
        .missing(usize::MAX)
        .into_iter()
        .filter_map(|digest| text.packed(digest))
        .collect();
    sent.iter().for_each(|piece| assembler.take(piece).expect("a sound piece"));
    (assembler.joined(), sent.len(), sent.iter().map(PackedPiece::bytes).sum())
}

/// Guards against texts that are not what was sent, whatever the receiver had before.
#[test]
fn any_text_arrives_whole_beside_any_other() {
    arbtest::arbtest(|input| {
        let own: Vec<u8> = input.arbitrary()?;
        let repeats = input.int_in_range(0..=2000_usize)?;
        let mut text: Vec<u8> = own.iter().copied().cycle().take(own.len() * repeats).collect();
        text.extend(input.arbitrary::<Vec<u8>>()?);
        text.push(b'.');
        let text = Bytes::from(text);

        let own = TextPieces::of(Bytes::from(own));
        let (joined, ..) = receive(&TextPieces::of(text.clone()), Some(&own));

        assert_eq!(joined, Some(text));
        Ok(())
    })
    .size_max(1 << 14);
}

/// Guards against a change in one place that makes all pieces behind it differ.
#[test]
fn an_inserted_line_changes_one_piece_or_two() {
    let before = lines(0, 20_000);
    let middle = before.len() / 2;
    let after = format!("{}inserted\n{}", &before[..middle], &before[middle..]);

    let (joined, sent, _) = receive(&pieces(&after), Some(&pieces(&before)));

    assert_eq!(joined.as_deref(), Some(after.as_bytes()));
    assert!((1..=2).contains(&sent), "{sent} pieces");
}

/// Guards against a receiver that needs a certain version to begin with.
#[test]
fn a_receiver_without_any_text_gets_all_pieces() {
    let text = lines(0, 20_000);
    let all = pieces(&text);

    let (joined, sent, bytes) = receive(&all, None);

    assert_eq!(joined.as_deref(), Some(text.as_bytes()));
    assert!(sent == all.plan().len() && bytes < text.len(), "{sent} pieces, {bytes} bytes");
}

/// Guards against damaged and foreign pieces that become part of a text, and against plans that take any memory.
#[test]
fn what_does_not_fit_the_plan_is_left_out() {
    let text = pieces(&lines(0, 2000));
    let mark = text.plan()[0];
    let foreign = pieces(&lines(9000, 100));
    let foreign = foreign.packed(foreign.plan()[0].digest).expect("its piece");
    let damaged = PackedPiece { digest: mark.digest, ..foreign.clone() };
    let none = PieceMark { length: 0, ..mark };
    let many = vec![PieceMark { length: 32 << 10, ..mark }; MAX_TEXT_BYTES / (32 << 10) + 1];
    let mut assembler = TextAssembler::default();
    assembler.set_plan(text.plan().to_vec(), None).expect("a sound plan");

    let taken = (assembler.take(&foreign), assembler.take(&damaged));
    let planned = (assembler.set_plan(vec![none], None), assembler.set_plan(many, None));

    assert_eq!(taken, (Err(BulkError::Unasked), Err(BulkError::Damaged)));
    assert_eq!(planned, (Err(BulkError::BadPlan), Err(BulkError::BadPlan)));
    assert!(assembler.missing(1) == [mark.digest] && assembler.joined().is_none());
}

/// The rules of a process at this version, whose text is `text`.
pub fn book(version: u64, text: &str) -> RulesBook {
    let mut book = RulesBook::default();
    let rules = RuleSet::new(version, CallerBounds::default());
    assert!(book.offer(rules, &object("main", text.to_owned())));
    book
}

/// Takes the next part from `sender`.
fn step(fetch: &mut RulesFetch, sender: &RulesBook, own: Option<&RulesBook>) -> Option<RulesStep> {
    let request = fetch.request(own.map_or(0, RulesBook::version));
    let part = sender.part(&request)?;
    assert!(part.bytes() < 64 << 10, "{} bytes", part.bytes());
    let pieces = own.and_then(RulesBook::pieces).map(AsRef::as_ref);
    Some(fetch.take(part, pieces).expect("a sound part"))
}

/// Takes parts from `sender` until the rules are whole.
fn finish(fetch: &mut RulesFetch, sender: &RulesBook, own: Option<&RulesBook>) -> Bytes {
    for _ in 0..1000 {
        if let Some(RulesStep::Joined(object)) = step(fetch, sender, own) {
            return object.body;
        }
    }
    panic!("not whole after a thousand parts");
}

/// Guards against rules of two versions mixed in one text, when they change while they are being fetched.
#[test]
fn rules_that_change_on_their_way_arrive_in_the_newest_version() {
    let text = |tail: u64| format!("{}{}", lines(0, 8000), lines(tail, 4000));
    let (older, newer) = (book(8, &text(20_000)), book(9, &text(30_000)));
    let mut fetch = RulesFetch::default();
    for _ in 0..3 {
        step(&mut fetch, &older, None);
    }

    step(&mut fetch, &newer, None);
    // A process with the version before helps with what both have in common.
    step(&mut fetch, &older, None);
    let body = finish(&mut fetch, &newer, None);

    assert_eq!(body, text(30_000).as_bytes());
}

/// Guards against a fetch that begins anew when its sender ends in the middle.
#[test]
fn rules_are_finished_by_another_process() {
    let text = lines(0, 12_000);
    let (first, second) = (book(8, &text), book(8, &text));
    let mut fetch = RulesFetch::default();
    for _ in 0..3 {
        step(&mut fetch, &first, None);
    }
    let left = fetch.request(0).pieces.len();

    let body = finish(&mut fetch, &second, None);

    assert!(body == text.as_bytes() && left < 64, "{left} pieces were left");
}

/// Guards against processes that pass on rules that are not newer than those of who asks.
#[test]
fn rules_as_old_as_the_requester_s_are_not_sent() {
    let known = book(8, &lines(0, 100));
    let request = |own| RulesRequest { own, planned: 0, pieces: Vec::<PieceDigest>::new() };

    let sent = [7, 8, 9].map(|own| known.part(&request(own)).is_some());

    assert_eq!(sent, [true, false, false]);
}

/// Guards against a process that refuses requests for a version that a peer told of and that nobody has any more, and against
/// lines that count the time since then.
#[test]
fn a_told_version_counts_only_while_it_is_told() {
    let mut book = book(8, "rules");

    let first = book.note_told(9, NOW);
    let repeated = book.note_told(9, NOW + TimeSpan(900));
    let since = book.told(NOW + TimeSpan(1800)).map(|told| told.since);
    let forgotten = book.told(NOW + TimeSpan(1900));
    let again = book.note_told(9, NOW + TimeSpan(5000));

    assert_eq!((first, repeated, again), (true, false, true));
    assert_eq!((since, forgotten), (Some(NOW), None));
    let told = book.told(NOW + TimeSpan(5000)).map(|told| told.since);
    assert_eq!(told, Some(NOW + TimeSpan(5000)));
}
