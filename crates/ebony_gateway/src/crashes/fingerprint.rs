//! The fingerprint that identifies a request when its caller repeats it.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use ebony_types::RequestDigest;
use http::header::{AUTHORIZATION, HeaderValue};
use http::{Method, Uri};
use sha2::{Digest, Sha256};

use crate::intake::RequestHead;

/// The parts of a request that stay the same when its caller repeats it: method, path with query, the caller's
/// credential if there is one, and the body as the caller sent it. Names of attempts, deadlines and programs may
/// differ.
///
/// For a turn of a kept conversation, the body is the new input alone, without the earlier turns.
#[derive(Debug)]
pub(crate) struct RequestFingerprint {
    method: Method,
    uri: Uri,
    credential: Option<HeaderValue>,
    body: Bytes,
    digest: OnceCell<RequestDigest>,
}

impl RequestFingerprint {
    pub(crate) fn open(head: &RequestHead, body: &Bytes) -> Rc<Self> {
        Rc::new(Self {
            method: head.method.clone(),
            uri: head.uri.clone(),
            credential: head.headers.get(AUTHORIZATION).cloned(),
            body: body.clone(),
            digest: OnceCell::new(),
        })
    }

    /// Returns the digest. It is computed by the first call of this method, because most requests never need it.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| self.compute())
    }

    /// Returns the digest if it has been computed.
    pub(crate) fn known_digest(&self) -> Option<RequestDigest> {
        self.digest.get().copied()
    }

    fn compute(&self) -> RequestDigest {
        let path = self.uri.path_and_query().map_or("", |target| target.as_str());
        let credential = self.credential.as_ref().map_or(&[][..], HeaderValue::as_bytes);
        let mut hasher = Sha256::new();
        for part in [self.method.as_str().as_bytes(), path.as_bytes(), credential] {
            // The length prefix makes the boundaries between the parts unambiguous.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(&self.body);
        RequestDigest(hasher.finalize().into())
    }
}
