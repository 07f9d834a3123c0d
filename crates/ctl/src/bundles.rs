//! `keygen` and `bundle …`.

use crate::Result;
use crate::command::{CommandLine, CtlError};
use crate::platform::{open_store, read_accepted, submit as submit_bundle};
use oleander_bundle::content::BUNDLE_FORMAT;
use oleander_bundle::{
    AccountEntry, BundleContent, BundleSigner, ModelEntry, RouteEntry, ServiceEntry, SignPolicy,
    SignedBundle,
};
use oleander_kind::hash::digest_bytes;
use oleander_kind::{AccountName, DomainName, ResultCode, ServiceName, VersionName};
use rand::RngCore;
use serde_json::Value;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

fn read_file(path: &Path) -> Result<Vec<u8>> {
    std::fs::read(path).map_err(|cause| CtlError::File(path.to_owned(), cause))
}

fn write_file(path: &Path, bytes: &[u8]) -> Result<()> {
    std::fs::write(path, bytes).map_err(|cause| CtlError::File(path.to_owned(), cause))
}

/// Reads a bundle file: signed, or content alone.
fn read_bundle(path: &Path) -> Result<SignedBundle> {
    let bytes = read_file(path)?;
    let value: Value = serde_json::from_slice(&bytes).map_err(|fault| {
        CtlError::Coded(ResultCode::BundleMalformed, format!("{}: {fault}", path.display()))
    })?;
    if value.get("content").is_some() {
        return Ok(SignedBundle::parse(&bytes)?);
    }
    Ok(SignedBundle::new(BundleContent::parse(&bytes)?))
}

fn pretty(value: &impl serde::Serialize) -> String {
    let mut text = serde_json::to_string_pretty(value).unwrap_or_default();
    text.push('\n');
    text
}

/// Makes a key: the secret goes to a file, the public key is printed.
pub fn keygen(line: &CommandLine) -> Result<String> {
    let out = line.out.as_ref();
    let out = out.ok_or_else(|| CtlError::Usage("--out is needed".to_owned()))?;
    let mut secret = [0; 32];
    rand::rngs::OsRng.fill_bytes(&mut secret);
    let secret = hex::encode(secret);
    write_file(out, secret.as_bytes())?;
    let desk = BundleSigner::from_hex(&secret);
    let public = desk.map(|desk| desk.public_hex()).unwrap_or_default();
    Ok(format!("{public}\n"))
}

/// Prints a first bundle with one of everything.
pub fn init() -> Result<String> {
    let domain = |name: &str| DomainName::from(name);
    let engine = ServiceEntry {
        engine: true,
        model: Some(ModelEntry {
            version: VersionName::from("v1"),
            weights: "weights-v1".into(),
            adapters: Vec::new(),
        }),
        replicas: 3,
        domains: vec![domain("domain-a"), domain("domain-b"), domain("domain-c")],
        class: "standard".into(),
        reclaimable_percent: 70,
        routes: Vec::new(),
        first_token_ms: 900,
    };
    let route = RouteEntry { path: "/codes".into(), method: "POST".into(), idempotent: false };
    let plain = ServiceEntry { engine: false, model: None, routes: vec![route], ..engine.clone() };
    let account = AccountEntry {
        key_hashes: vec![hex::encode(digest_bytes(b"change-me")).into()],
        requests_per_s: 100,
        in_flight: 200,
        tokens_per_s: 200_000,
    };
    let content = BundleContent {
        format: BUNDLE_FORMAT,
        generation: 1,
        parent: "".into(),
        policy: SignPolicy { keys: BTreeMap::new(), quorum: 1 },
        accounts: BTreeMap::from([(AccountName::from("account"), account)]),
        services: BTreeMap::from([
            (ServiceName::from("model-service"), engine),
            (ServiceName::from("plain-service"), plain),
        ]),
    };
    Ok(pretty(&content))
}

/// Checks a bundle and prints every fault.
pub fn check(line: &CommandLine) -> Result<String> {
    let bundle = read_bundle(Path::new(line.need_word(2, "FILE")?))?;
    let faults = bundle.content.faults();
    if faults.is_empty() {
        return Ok(format!("no faults; digest {}\n", bundle.content.digest()));
    }
    let lines: Vec<String> =
        faults.iter().map(|fault| format!("{}: {}", fault.field, fault.text)).collect();
    Err(CtlError::Coded(ResultCode::BundleFault, format!("\n  {}", lines.join("\n  "))))
}

/// Prints what differs between two bundles, a field a line.
pub fn diff(line: &CommandLine) -> Result<String> {
    let before = read_bundle(Path::new(line.need_word(2, "FILE")?))?;
    let after = read_bundle(Path::new(line.need_word(3, "FILE")?))?;
    let value = |bundle: &SignedBundle| serde_json::to_value(&bundle.content).unwrap_or_default();
    let mut lines = Vec::new();
    diff_values("", &value(&before), &value(&after), &mut lines);
    if line.json {
        return Ok(pretty(&lines));
    }
    Ok(lines.iter().map(|text| format!("{text}\n")).collect())
}

fn diff_values(at: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    if before == after {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, after) else {
        lines.push(format!("{at}: {before} -> {after}"));
        return;
    };
    let names: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let inner = if at.is_empty() { name.clone() } else { format!("{at}.{name}") };
        let missing = Value::Null;
        let pair = (old.get(name).unwrap_or(&missing), new.get(name).unwrap_or(&missing));
        diff_values(&inner, pair.0, pair.1, lines);
    }
}

/// Adds a sign-off to a bundle file.
pub fn sign(line: &CommandLine) -> Result<String> {
    let path = PathBuf::from(line.need_word(2, "FILE")?);
    let key = line.key.as_ref();
    let key = key.ok_or_else(|| CtlError::Usage("--key is needed".to_owned()))?;
    let secret = String::from_utf8_lossy(&read_file(key)?).into_owned();
    let desk = BundleSigner::from_hex(&secret).ok_or_else(|| {
        CtlError::Usage(format!("{} holds no key of 64 hexadecimal digits", key.display()))
    })?;
    let mut bundle = read_bundle(&path)?;
    bundle.content.check()?;
    desk.sign(&mut bundle);
    write_file(&path, pretty(&bundle).as_bytes())?;
    Ok(format!("signed {} as {}\n", bundle.content.digest(), desk.public_hex()))
}

/// Prints the accepted bundle's successor, to edit.
pub async fn next(line: &CommandLine) -> Result<String> {
    let store = open_store(line.need_platform()?);
    let Some(accepted) = read_accepted(&store).await? else {
        return init();
    };
    let mut content = accepted.content;
    content.parent = content.digest();
    content.generation += 1;
    Ok(pretty(&content))
}

/// Makes a bundle the accepted one. It is checked against the accepted one's policy first, so that
/// a bundle every process would refuse is not put in their way.
pub async fn submit(line: &CommandLine) -> Result<String> {
    let bundle = read_bundle(Path::new(line.need_word(2, "FILE")?))?;
    bundle.content.check()?;
    let store = open_store(line.need_platform()?);
    let accepted = read_accepted(&store).await?;
    let policy = accepted.as_ref().map_or(&bundle.content.policy, |old| &old.content.policy);
    bundle.check_signed(policy)?;
    submit_bundle(&store, &bundle).await?;
    let generation = bundle.content.generation;
    Ok(format!("accepted generation {generation}, digest {}\n", bundle.content.digest()))
}

/// Prints the accepted bundle.
pub async fn show(line: &CommandLine) -> Result<String> {
    let store = open_store(line.need_platform()?);
    match read_accepted(&store).await? {
        Some(bundle) => Ok(pretty(&bundle)),
        None => Err(CtlError::Coded(ResultCode::StoreMissing, "no bundle is accepted".to_owned())),
    }
}
