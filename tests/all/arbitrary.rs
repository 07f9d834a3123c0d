//! Property tests with arbitrary input. Parsers of external data must return an error rather than
//! panic, and their results must not depend on how the bytes are split into chunks.

use arbtest::arbtest;
use oleandertack::bundle::SignedBundle;
use oleandertack::edge::sse::{AnswerEvent, EventReader};
use oleandertack::flow::{AnswerSplice, ChunkVerdict};
use oleandertack::kind::chat::{PromptHasher, read_chat_head};
use oleandertack::kind::ident::{format_uuid_v7, uuid_v7_millis};
use oleandertack::wire::{PeerBody, decode_frame, encode_frame};

#[test]
fn corrupt_frames_do_not_panic_the_decoder() {
    arbtest(|u| {
        let mut bytes =
            encode_frame(u.arbitrary()?, PeerBody::AskBundle { generation: 7 }).to_vec();
        let at = u.choose_index(bytes.len())?;
        bytes[at] = u.arbitrary()?;
        bytes.truncate(u.int_in_range(0..=bytes.len())?);

        let _ = decode_frame(&bytes);
        let _ = decode_frame(u.bytes(u.len().min(200))?);
        Ok(())
    });
}

#[test]
fn a_frame_decodes_to_what_was_encoded() {
    arbtest(|u| {
        let (number, generation) = (u.arbitrary()?, u.arbitrary()?);

        let frame = decode_frame(&encode_frame(number, PeerBody::AskBundle { generation }));

        let frame = frame.expect("a whole frame");
        assert_eq!((frame.number, frame.body), (number, PeerBody::AskBundle { generation }));
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_do_not_panic_the_bundle_and_chat_parsers() {
    arbtest(|u| {
        let bytes = u.bytes(u.len().min(400))?;

        let _ = SignedBundle::parse(bytes);
        let _ = read_chat_head(bytes);
        Ok(())
    });
}

fn parse_events(bytes: &[u8], cuts: &[usize]) -> Vec<AnswerEvent> {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    let mut from = 0;
    for cut in cuts.iter().copied().chain([bytes.len()]) {
        reader.push(&bytes[from..cut]);
        from = cut;
        while let Ok(Some(event)) = reader.next_event() {
            events.push(event);
        }
    }
    events
}

#[test]
fn parsed_events_do_not_depend_on_chunk_boundaries() {
    arbtest(|u| {
        let mut stream = String::new();
        for at in 1..=u.int_in_range(1..=6)? {
            let text: String = u.arbitrary()?;
            let text = serde_json::to_string(&text).unwrap_or_default();
            stream.push_str(&format!("id: {at}\ndata: {{\"t\":{text}}}\n\n"));
        }
        let bytes = stream.as_bytes();
        let mut cuts = Vec::new();
        for _ in 0..u.int_in_range(0..=5)? {
            cuts.push(u.int_in_range(0..=bytes.len())?);
        }
        cuts.sort_unstable();

        assert_eq!(parse_events(bytes, &cuts), parse_events(bytes, &[]));
        Ok(())
    });
}

#[test]
fn the_prompt_hash_does_not_depend_on_how_content_is_split() {
    arbtest(|u| {
        let text: String = u.arbitrary()?;
        let at = text.char_indices().nth(u.int_in_range(0..=20)?).map_or(text.len(), |(at, _)| at);
        let whole = serde_json::json!({
            "model": "m", "messages": [{ "role": "user", "content": text }],
        });
        let parts = serde_json::json!({
            "messages": [{ "content": [{ "type": "text", "text": &text[..at] }] },
                         { "content": &text[at..] }],
            "model": "m",
        });
        let mut hasher = PromptHasher::default();
        hasher.add(&text);
        let (blocks, bytes, hash) = hasher.finish();

        let one = read_chat_head(whole.to_string().as_bytes()).expect("a request");
        let other = read_chat_head(parts.to_string().as_bytes()).expect("a request");

        assert_eq!(one, other);
        assert_eq!((one.blocks, one.prompt_bytes, one.prompt_hash), (blocks, bytes, hash));
        Ok(())
    });
}

#[test]
fn shown_tokens_are_a_prefix_for_any_order_of_pieces() {
    arbtest(|u| {
        let mut splice = AnswerSplice::default();
        let mut shown: Vec<u64> = Vec::new();
        let mut attempt = 0;
        for _ in 0..u.int_in_range(1..=30)? {
            if u.ratio(1, 5)? {
                attempt += 1;
                splice.begin_attempt(attempt);
            }
            let of = u.int_in_range(0..=attempt)?;
            let (start, tokens) = (u.int_in_range(0..=12u64)?, u.int_in_range(1..=4u64)?);
            if let ChunkVerdict::Deliver { skip } = splice.judge(of, start, tokens) {
                shown.extend((start + skip)..(start + tokens));
            }
        }

        let prefix: Vec<u64> = (0..shown.len() as u64).collect();
        assert_eq!(shown, prefix);
        Ok(())
    });
}

#[test]
fn a_version_7_uuid_parses_to_its_timestamp() {
    arbtest(|u| {
        let millis = u.int_in_range(0..=(1u64 << 48) - 1)?;

        assert_eq!(uuid_v7_millis(&format_uuid_v7(millis, u.arbitrary()?)), Some(millis));
        Ok(())
    });
}
