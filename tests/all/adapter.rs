//! Tests of the platform's formats, and of the rule that only the adapter knows its names.

use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;
use oleandertack::call::{AnswerHead, AnswerShape, EndpointIdentity, EndpointSignal, RepeatRule};
use oleandertack::conf::FrontSettings;
use oleandertack::conf::reader::parse_settings;
use oleandertack::front::PlatformDialect;
use oleandertack::kind::endpoint::{EndpointStage, InstanceMarket};
use oleandertack::kind::{ClockTime, RequestRate, TimeSpan};
use oleandertack::plat::FeedObject;
use oleandertack::platform::HttpDialect;
use oleandertack::release::ReleaseState;
use std::path::{Path, PathBuf};

const CONFIG: &str = r#"{"version":7,"routes":[
{"name":"a","host":"H.Example","path-prefix":"/a/","kind":"streaming","timeout-ms":3000.0,"target-latency-ms":500,"priority":0,"service":"s","max-attempts":1,"public":false,"sticky-sessions":true,"stream-resume":false,"gap-aim-ms":500},
{"name":"b","host":"h.example","path-prefix":"/b/","kind":"streaming","timeout-ms":15000,"target-latency-ms":800,"priority":1,"traffic-split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max-attempts":2,"stream-resume":true},
{"name":"c","host":"h.example","path-prefix":"/c/","kind":"keyed","timeout-ms":1000,"max-attempts":1,"service":"t","new-field":1}],
"services":[{"name":"s","max-connections":370,"engine":{"slots":64,"kv-capacity-tokens":903655,"kv-token-bytes":35136,"link-mbps":1500000.0,"moves":true,"stride":5},"scale":{"min":1,"max":6,"boot-s":4.0,"spot-price":0.18,"zone-prices":{"ylemiste":0.85}}},{"name":"t","max-connections":110}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"huka","api-keys":["k1","k2"],"priority":1,"unit":"tokens","plain-tokens":200,"rate-per-s":240610,"burst":240610},{"name":"free","api-keys":[]}]}"#;

fn object(name: &str, body: &str) -> FeedObject {
    FeedObject { name: name.into(), revision: 3, body: Bytes::copy_from_slice(body.as_bytes()) }
}

#[test]
fn a_config_decodes_to_the_meaning_of_its_fields() {
    let rules = HttpDialect.decode_rules(&object("main", CONFIG)).expect("a valid config");

    let route = |path| rules.route(rules.route_of("h.example", path).expect("a route"));
    assert_eq!((rules.version(), rules.bounds().idle_timeout), (7, TimeSpan(15_000)));
    assert_eq!(
        (route("/a/x").shape, route("/a/x").repeat),
        (AnswerShape::Events, RepeatRule::Once)
    );
    assert_eq!(route("/b/x").repeat, RepeatRule::Resume);
    assert_eq!(route("/b/x").services.len(), 2);
    // Requests of an unknown route kind must not be repeated.
    assert_eq!((route("/c/x").shape, route("/c/x").repeat), (AnswerShape::Whole, RepeatRule::Once));
    let account = rules.account(rules.account_of("k2").expect("a key"));
    assert_eq!((account.tokens_per_s, account.burst_tokens), (Some(240_610), 240_610));
    let service = rules.service(&"s".into()).expect("a service");
    assert_eq!(service.engine.as_ref().map(|engine| engine.event_tokens), Some(5));
    assert_eq!(service.scale.as_ref().map(|scale| scale.boot), Some(TimeSpan(4000)));
}

/// Asks an engine in a way that takes a slot, or a plain endpoint for what it does not have.
#[test]
fn an_endpoint_is_asked_who_it_is_where_its_service_says() {
    let checked = CONFIG.replace("\"max-connections\":110", "\"health-check\":\"/ok\"");
    let path = |config: &str, service: &str| {
        let rules = HttpDialect.decode_rules(&object("main", config)).expect("a valid config");
        rules.service(&service.into()).expect("a service").identity_path.clone()
    };

    assert_eq!((path(CONFIG, "s"), path(CONFIG, "t")), ("/-/report".into(), "/health".into()));
    assert_eq!((path(&checked, "s"), path(&checked, "t")), ("/-/report".into(), "/ok".into()));
}

/// Takes another instance, or a later start, for the endpoint that answered.
#[test]
fn an_endpoint_is_recognized_by_what_it_says_of_itself() {
    let told = |status, instance: Option<&'static str>, body: &str| {
        let mut head = ResponseHead::new(status);
        let name = HeaderName::from_static("x-oleandertack-instance-id");
        instance.map(|text| head.headers_mut().insert(name, HeaderValue::from_static(text)));
        HttpDialect.parse_identity(&head, body.as_bytes())
    };
    let may_be = |identity: EndpointIdentity, life| identity.may_be(&"i-1".into(), life);
    let (ok, full) = (StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE);

    assert!(may_be(told(ok, Some("i-1"), ""), 7));
    assert!(may_be(told(full, None, "full"), 7));
    assert!(may_be(told(ok, None, r#"{"stage":"both","born":7}"#), 7));
    assert!(may_be(told(ok, None, r#"{"born":8}"#), 0), "its start is not known");
    assert!(!may_be(told(ok, None, r#"{"born":8}"#), 7));
    assert!(!may_be(told(ok, Some("i-2"), ""), 7));
    assert!(!may_be(told(StatusCode::MISDIRECTED_REQUEST, None, ""), 7));
}

#[test]
fn an_unreadable_config_is_an_error_and_not_an_empty_config() {
    for broken in ["", "null", "{}", &CONFIG[..200], &CONFIG.replace("\"version\":7", "\"v\":7")] {
        assert!(HttpDialect.decode_rules(&object("main", broken)).is_err(), "{broken:.40}");
    }
}

/// Guards against misreading the platform's field names, which would leave a roll-out undone or report a wrong state.
#[test]
fn a_rollout_order_is_decoded_and_its_state_encoded() {
    let spec = r#"{"service":"s","to":"v2","duration-s":12.5}"#;
    let fresh = object("s", &format!(r#"{{"spec":{spec},"status":null}}"#));
    let written = HttpDialect
        .encode_release_state(ReleaseState::RolledBack, "v2")
        .map(|status| String::from_utf8_lossy(&status).into_owned())
        .expect("an encoded state");
    let decided = object("s", &format!(r#"{{"spec":{spec},"status":{written}}}"#));

    let order = HttpDialect.decode_release(&fresh).expect("an order");
    let back = HttpDialect.decode_release(&decided).expect("an order");
    let broken = HttpDialect.decode_release(&object("s", r#"{"spec":{"service":"s"}}"#));

    assert_eq!((order.order.to.as_str(), order.order.lasts), ("v2", TimeSpan(12_500)));
    assert_eq!((order.state(), order.revision), (None, 3));
    assert_eq!(written, r#"{"state":"rolled_back","to":"v2"}"#);
    assert_eq!(back.state(), Some(ReleaseState::RolledBack));
    assert!(broken.is_err());
}

#[test]
fn an_endpoint_entry_decodes_stage_market_and_end() {
    let now = ClockTime(5000);
    let entry = |body: &str| HttpDialect.decode_endpoint(&object("i-1", body), now);
    let ready = r#"{"service":"s","address":"10.0.0.1:80","zone":"kopli","version":"v1","slots":64,"state":"ready","cold-remaining-ms":0,"seq":4}"#;
    let leaving = r#"{"service":"s","address":"10.0.0.1:80","zone":"kopli","slots":64,"state":"draining","spot":true,"leaves_ms":2500.0}"#;

    let ready = entry(ready).expect("an entry");
    let leaving = entry(leaving).expect("an entry");

    assert_eq!((ready.stage, ready.market), (EndpointStage::Live, InstanceMarket::OnDemand));
    assert_eq!(
        (leaving.stage, leaving.market),
        (EndpointStage::Leaving, InstanceMarket::Reclaimable)
    );
    assert_eq!(leaving.ends_at, Some(ClockTime(7500)));
    assert!(entry("{}").is_err());
}

const RENDERED: &str = r#"// Rendered.
{
  "instance": "front-ylemiste-1", "domain": "ylemiste",
  "listen": "10.1.0.16:8360", "ready": "10.1.0.16:8365", "peer": "10.1.0.16:8367",
  "admin": "10.1.0.16:7500",
  "seeds": ["10.1.0.16:8367","10.2.0.33:8367"],
  "store": "10.200.1.7:8361",
  "cloud": "10.200.0.114:8361",
  "bounds": { "grace_s": 8, "drain_ms": 2000, "lease_ms": 3000, "fenced": true,
    "retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10, "limit_over": 0.1,
    "limit_slack": 140000, "limit_window_s": 8, "usage_window_s": 5, "usage_due_s": 10,
    "relist_ms": 2200 }
}"#;

#[test]
fn rendered_settings_are_read_and_errors_name_file_line_and_field() {
    let path = Path::new("settings.conf");
    let settings: FrontSettings = parse_settings(path, RENDERED).expect("no faults");
    let fault = parse_settings::<FrontSettings>(
        path,
        &RENDERED.replace("\"grace_s\": 8", "\"grace_s\": 0"),
    );
    let missing =
        parse_settings::<FrontSettings>(path, &RENDERED.replace("\"domain\"", "\"zone\""));

    assert_eq!(settings.seeds.len(), 2);
    let fault = fault.expect_err("too short").to_string();
    assert!(fault.starts_with("4001 settings.conf:9: field `grace_s`"), "{fault}");
    assert!(missing.expect_err("unknown").to_string().starts_with("4001 settings.conf:"));
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(folder) else { return };
    for entry in entries.flatten() {
        let path = entry.path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|kind| kind == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn platform_names_occur_only_in_the_adapter() {
    const NAMES: [&str; 12] = [
        "x-oleandertack-",
        "traffic-split",
        "cold-remaining",
        "kv-events",
        "kv-move",
        "hold-take",
        "path-prefix",
        "stream-resume",
        "gap-aim-ms",
        "zone-prices",
        "/-/objects",
        "api-keys",
    ];
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    sources(&root.join("crates"), &mut found);
    sources(&root.join("src"), &mut found);
    assert!(found.len() > 100);

    for path in found {
        let text = std::fs::read_to_string(&path).expect("a source file").to_ascii_lowercase();
        let known: Vec<_> = NAMES.iter().filter(|name| text.contains(**name)).collect();
        assert!(known.is_empty(), "{} knows {known:?}", path.display());
    }
}

/// Parses an answer's head with the given headers.
fn parse_head(head: &[(&'static str, &'static str)]) -> AnswerHead {
    let mut response = ResponseHead::new(StatusCode::OK);
    for (name, value) in head {
        let (name, value) = (HeaderName::from_static(name), HeaderValue::from_static(value));
        response.headers_mut().append(name, value);
    }
    HttpDialect.parse_answer(&response)
}

/// Guards against sending an endpoint more than its rate limit, because the signal is misread or an unreadable
/// repetition of the header hides it.
#[test]
fn the_rate_limit_signal_is_read_from_answers() {
    let limit = |value| parse_head(&[("server-limit", value)]).limit;
    let rate = |per_s| EndpointSignal::Present(RequestRate::per_second(per_s));

    assert_eq!(parse_head(&[]).limit, EndpointSignal::Absent);
    assert_eq!((limit("2.8"), limit(" 50 ")), (rate(2.8), rate(50.0)));
    assert_eq!((limit("0"), limit("0.01")), (rate(0.1), rate(0.1)));
    assert_eq!(limit("99999999999"), rate(1e6));
    for text in ["", "many", "-1", "NaN", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert!(matches!(limit(text), EndpointSignal::Unreadable(_)), "{text}");
    }
    let twice = parse_head(&[("server-limit", "3"), ("server-limit", "x"), ("server-limit", "2")]);
    assert_eq!(twice.limit, rate(2.0));
}

/// Guards against confusing leaving endpoints with staying ones, because the signal is misread or another header is
/// taken for it.
#[test]
fn the_leaving_signal_is_read_from_answers() {
    let leaving = |value| parse_head(&[("server-leaving", value)]).leaving;

    assert_eq!(
        (leaving("1"), leaving("0")),
        (EndpointSignal::Present(true), EndpointSignal::Present(false))
    );
    assert!(matches!(leaving("soon"), EndpointSignal::Unreadable(_)));
    assert_eq!(parse_head(&[("connection", "close")]).leaving, EndpointSignal::Absent);
    let twice = parse_head(&[("server-leaving", "0"), ("server-leaving", "1")]);
    assert_eq!(twice.leaving, EndpointSignal::Present(true));
}

/// Guards against overloading brittle endpoints, because the signal is misread.
#[test]
fn the_brittle_signal_is_read_from_answers() {
    let brittle = |value| parse_head(&[("server-brittle", value)]).brittle;

    assert_eq!(
        (brittle("2"), brittle("0")),
        (EndpointSignal::Present(2), EndpointSignal::Present(0))
    );
    assert_eq!(parse_head(&[("server-limit", "3")]).brittle, EndpointSignal::Absent);
    for text in ["", "yes", "-1", "NaN"] {
        assert!(matches!(brittle(text), EndpointSignal::Unreadable(_)), "{text}");
    }
    let twice = parse_head(&[("server-brittle", "5"), ("server-brittle", "3")]);
    assert_eq!(twice.brittle, EndpointSignal::Present(3));
}

/// Guards against sending requests during the backoff of an endpoint, or never again, because the time is misread.
#[test]
fn the_backoff_signal_is_read_from_refusals() {
    let refusal = |values: &[&'static str]| {
        let mut response = ResponseHead::new(StatusCode::SERVICE_UNAVAILABLE);
        for value in values {
            response.headers_mut().append(RETRY_AFTER, HeaderValue::from_static(value));
        }
        HttpDialect.parse_answer(&response).backoff
    };
    let backoff = |ms| EndpointSignal::Present(TimeSpan(ms));

    assert_eq!(
        (refusal(&["3"]), refusal(&["0.25"]), refusal(&["0"])),
        (backoff(3000), backoff(250), backoff(0))
    );
    assert_eq!(refusal(&["1e99"]), backoff(86_400_000));
    assert_eq!(refusal(&["1", "soon", "2"]), backoff(2000));
    for text in ["", "soon", "-1", "NaN", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"] {
        assert!(matches!(refusal(&[text]), EndpointSignal::Unreadable(_)), "{text}");
    }
    assert_eq!(refusal(&[]), EndpointSignal::Absent);
    assert_eq!(parse_head(&[("retry-after", "3")]).backoff, EndpointSignal::Absent);
}
