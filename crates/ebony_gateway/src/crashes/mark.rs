//! What a request is recognized by when its caller sends it again.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use ebony_types::RequestDigest;
use http::header::{AUTHORIZATION, HeaderValue};
use http::{Method, Uri};
use sha2::{Digest, Sha256};

use crate::intake::RequestHead;

/// The parts of a request that are the same each time its caller sends it: method, path with query, the caller's
/// credential if there is one, and the body as the caller sent it. Names of attempts, deadlines and programs change.
///
/// Of a turn of a kept conversation, the caller sends the new input alone, and that counts.
#[derive(Debug)]
pub(crate) struct RequestMark {
    method: Method,
    uri: Uri,
    credential: Option<HeaderValue>,
    body: Bytes,
    digest: OnceCell<RequestDigest>,
}

impl RequestMark {
    pub(crate) fn open(head: &RequestHead, body: &Bytes) -> Rc<Self> {
        Rc::new(Self {
            method: head.method.clone(),
            uri: head.uri.clone(),
            credential: head.headers.get(AUTHORIZATION).cloned(),
            body: body.clone(),
            digest: OnceCell::new(),
        })
    }

    /// Returns the digest. It is computed at the first call, because most requests never need one.
    pub(crate) fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| self.compute())
    }

    /// Returns the digest if one was needed so far.
    pub(crate) fn known_digest(&self) -> Option<RequestDigest> {
        self.digest.get().copied()
    }

    fn compute(&self) -> RequestDigest {
        let path = self.uri.path_and_query().map_or("", |target| target.as_str());
        let credential = self.credential.as_ref().map_or(&[][..], HeaderValue::as_bytes);
        let mut hasher = Sha256::new();
        for part in [self.method.as_str().as_bytes(), path.as_bytes(), credential] {
            // Lengths keep the parts apart.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(&self.body);
        RequestDigest(hasher.finalize().into())
    }
}
