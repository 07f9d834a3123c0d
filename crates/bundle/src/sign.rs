//! Bundle signatures: ed25519 over the digest of a bundle.

use crate::content::{BundleContent, SignPolicy};
use crate::{BundleError, Result};
use compact_str::CompactString;
use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use oleander_kind::ResultCode;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Prefix of the signed message, which separates bundle signatures from other uses of the same keys.
const CONTEXT: &[u8] = b"oleandertack bundle sign-off v1\0";

/// Bundle with its signatures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// Signed content.
    pub content: BundleContent,
    /// Signatures (hex) by public key (hex).
    pub signatures: BTreeMap<CompactString, CompactString>,
}

/// Signs bundles with one operator's key.
pub struct BundleSigner {
    key: SigningKey,
}

impl BundleSigner {
    /// Creates a signer from a secret key of 64 hexadecimal digits; `None` if it is malformed.
    pub fn from_hex(secret: &str) -> Option<BundleSigner> {
        let bytes: [u8; 32] = hex::decode(secret.trim()).ok()?.try_into().ok()?;
        Some(BundleSigner { key: SigningKey::from_bytes(&bytes) })
    }

    /// Returns the public key in hex.
    pub fn public_hex(&self) -> CompactString {
        hex::encode(self.key.verifying_key().as_bytes()).into()
    }

    /// Adds this operator's signature to `bundle`.
    pub fn sign(&self, bundle: &mut SignedBundle) {
        let message = signed_message(&bundle.content);
        let signature = self.key.sign(&message);
        let text = CompactString::from(hex::encode(signature.to_bytes()));
        bundle.signatures.insert(self.public_hex(), text);
    }
}

fn signed_message(content: &BundleContent) -> Vec<u8> {
    let mut message = CONTEXT.to_vec();
    message.extend_from_slice(&oleander_kind::hash::digest_bytes(&content.canonical()));
    message
}

fn decode_array<const N: usize>(text: &str) -> Option<[u8; N]> {
    hex::decode(text).ok()?.try_into().ok()
}

fn verifies(key: &str, signature: &str, message: &[u8]) -> bool {
    let parts = decode_array::<32>(key).zip(decode_array::<64>(signature));
    let Some((key, signature)) = parts else {
        return false;
    };
    let Ok(key) = VerifyingKey::from_bytes(&key) else {
        return false;
    };
    key.verify(message, &Signature::from_bytes(&signature)).is_ok()
}

impl SignedBundle {
    /// Creates a bundle without signatures.
    pub fn new(content: BundleContent) -> Self {
        SignedBundle { content, signatures: BTreeMap::new() }
    }

    /// Parses a signed bundle from JSON.
    ///
    /// # Errors
    /// [`ResultCode::BundleMalformed`] or [`ResultCode::BundleFormat`].
    pub fn parse(bytes: &[u8]) -> Result<SignedBundle> {
        #[derive(Deserialize)]
        #[serde(deny_unknown_fields)]
        struct RawSigned<'a> {
            #[serde(borrow)]
            content: &'a serde_json::value::RawValue,
            signatures: BTreeMap<CompactString, CompactString>,
        }
        let raw: RawSigned<'_> = serde_json::from_slice(bytes).map_err(|fault| {
            BundleError::Refused(ResultCode::BundleMalformed, fault.to_string())
        })?;
        let content = BundleContent::parse(raw.content.get().as_bytes())?;
        Ok(SignedBundle { content, signatures: raw.signatures })
    }

    /// Checks that enough operators of `policy` signed the bundle.
    ///
    /// `policy` must be that of the parent and never the bundle's own. Otherwise anyone who can write
    /// to the store could name the signers of a forged bundle.
    ///
    /// # Errors
    /// [`ResultCode::BundleUnsigned`] with the number of valid signatures.
    pub fn check_signed(&self, policy: &SignPolicy) -> Result<()> {
        let message = signed_message(&self.content);
        let signed = policy
            .keys
            .values()
            .filter(|key| {
                let signature = self.signatures.get(key.as_str());
                signature.is_some_and(|signature| verifies(key, signature, &message))
            })
            .count();
        if signed >= policy.quorum && policy.quorum > 0 {
            return Ok(());
        }
        let detail = format!("{signed} of {} required signatures are present", policy.quorum);
        Err(BundleError::Refused(ResultCode::BundleUnsigned, detail))
    }

    /// Returns the bytes that are stored and sent to peers.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}
