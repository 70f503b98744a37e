//! The fingerprint that identifies a request when its caller repeats it.

use std::cell::OnceCell;
use std::rc::Rc;

use bytes::Bytes;
use ebony_routing::CallerIdentity;
use ebony_types::{CustomerName, RequestDigest};
use http::header::{AUTHORIZATION, HeaderValue};
use http::{Method, Uri};
use sha2::{Digest, Sha256};

use crate::intake::RequestHead;

/// The parts of a request that stay the same when its caller repeats it: method, path with query, the caller, and the
/// body as the caller sent it. Names of attempts, deadlines and programs may differ.
///
/// The caller is the customer's name. Without customers configured it is the credential, if there is one. An API key
/// is not part of the digest, because the digest is stored and logged and would allow guessed keys to be tested.
///
/// For a turn of a kept conversation, the body is the new input alone, without the earlier turns.
#[derive(Debug)]
pub(crate) struct RequestFingerprint {
    method: Method,
    uri: Uri,
    caller: RequestCaller,
    body: Bytes,
    digest: OnceCell<RequestDigest>,
}

/// Who sent a request.
#[derive(Debug)]
enum RequestCaller {
    Customer(CustomerName),
    Credential(HeaderValue),
    Unknown,
}

impl RequestCaller {
    fn as_bytes(&self) -> &[u8] {
        match self {
            Self::Customer(name) => name.as_str().as_bytes(),
            Self::Credential(value) => value.as_bytes(),
            Self::Unknown => &[],
        }
    }
}

impl RequestFingerprint {
    pub(crate) fn open(head: &RequestHead, identity: &CallerIdentity, body: &Bytes) -> Rc<Self> {
        let credential = || head.headers.get(AUTHORIZATION).cloned();
        let caller = match identity {
            CallerIdentity::Customer(name) => RequestCaller::Customer(name.clone()),
            CallerIdentity::Public => RequestCaller::Unknown,
            CallerIdentity::Unrestricted => {
                credential().map_or(RequestCaller::Unknown, RequestCaller::Credential)
            }
        };
        Rc::new(Self {
            method: head.method.clone(),
            uri: head.uri.clone(),
            caller,
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
        let mut hasher = Sha256::new();
        for part in [
            self.method.as_str().as_bytes(),
            path.as_bytes(),
            self.caller.as_bytes(),
        ] {
            // The length prefix makes the boundaries between the parts unambiguous.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(&self.body);
        RequestDigest(hasher.finalize().into())
    }
}
