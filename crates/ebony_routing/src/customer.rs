//! Customers, their keys, and the identity of a caller.

use std::fmt;

use ebony_types::CustomerName;
use sha2::{Digest, Sha256};

/// The SHA-256 digest of an API key. Keys are looked up by digest, so that the time of a comparison reveals nothing
/// about a key.
///
/// A digest allows guessed keys to be tested, so it has no encoding, and its debug output does not contain it.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    ///
    /// ```
    /// use ebony_routing::KeyDigest;
    ///
    /// assert_eq!(KeyDigest::of(b"k1"), KeyDigest::of(b"k1"));
    /// assert_ne!(KeyDigest::of(b"k1"), KeyDigest::of(b"k2"));
    /// assert_eq!(format!("{:?}", KeyDigest::of(b"k1")), "KeyDigest");
    /// ```
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest")
    }
}

/// A customer, as configured by operators.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// The name, unique in the table.
    pub name: CustomerName,
    /// The digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// The urgency of its calls, which replaces that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Requests a second, greater than zero and finite; `None` if there is no limit.
    pub rate: Option<f64>,
    /// Requests that the customer may send at once in addition to its rate; 0 if there is no limit.
    pub burst: f64,
    /// Whether the rate in the configuration could be read. If not, [`crate::RoutingTable::keep_quotas`] replaces the
    /// rate and the burst by those that were in force before.
    pub has_valid_quota: bool,
}

/// On whose behalf a call is made. It is decided once for each call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CallerIdentity {
    /// The customer that owns the key of the call.
    Customer(CustomerName),
    /// A call without a known key on a public route.
    Public,
    /// A call under a configuration without customers.
    Unrestricted,
}

impl CallerIdentity {
    /// Returns the customer, if the call has one.
    ///
    /// ```
    /// use ebony_routing::CallerIdentity;
    /// use ebony_types::CustomerName;
    ///
    /// let name = CustomerName::parse("lali")?;
    /// assert_eq!(CallerIdentity::Customer(name.clone()).customer(), Some(&name));
    /// assert_eq!(CallerIdentity::Public.customer(), None);
    /// # Ok::<(), ebony_types::customer::CustomerNameError>(())
    /// ```
    pub fn customer(&self) -> Option<&CustomerName> {
        match self {
            Self::Customer(name) => Some(name),
            Self::Public | Self::Unrestricted => None,
        }
    }
}

/// The kind of a part of the list of customers that could not be used as it was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FaultKind {
    /// The list is not a list, or an entry is not an object. It is left out.
    Entry,
    /// A customer has no name, or one that cannot be a header value. It is left out, and its keys are unknown.
    Name,
    /// Two entries have the same name. Their keys belong to one customer, whose other properties are those of the
    /// first entry.
    RepeatedName,
    /// A key is not text or is empty, or the keys are not a list. It is left out.
    Key,
    /// Two customers have the same key. It belongs to neither.
    SharedKey,
    /// The priority is not a number from 0 to 255. The customer's calls have the urgency of their route.
    Priority,
    /// The rate is negative, infinite or not a number. The customer's last valid quota holds.
    Rate,
    /// The burst is negative, infinite or not a number, or there is no rate. It counts as 0.
    Burst,
}

impl FaultKind {
    /// Returns the kind as text for metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Name => "name",
            Self::RepeatedName => "repeated_name",
            Self::Key => "key",
            Self::SharedKey => "shared_key",
            Self::Priority => "priority",
            Self::Rate => "rate",
            Self::Burst => "burst",
        }
    }
}

/// A part of the list of customers that could not be used as it was written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerFault {
    /// The kind.
    pub kind: FaultKind,
    /// Where it is: the position in the list, or the names of customers. It contains no keys.
    pub place: String,
}
