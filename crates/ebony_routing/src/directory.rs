//! The customers of one version of the configuration, by name and by key.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::rc::Rc;

use ebony_types::CustomerName;

use crate::customer::{CustomerFault, CustomerRule, FaultKind, KeyDigest};

/// Why a call has no customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum KeyError {
    /// The call has no usable key.
    #[error("the call has no key")]
    Missing,
    /// No customer has the key.
    #[error("no customer has the key")]
    Unknown,
    /// Several customers have the key, so that it belongs to none of them.
    #[error("several customers have the key")]
    Shared,
}

/// The result of looking up a key.
pub type Result<T, E = KeyError> = std::result::Result<T, E>;

/// The customers of one version of the configuration.
///
/// ```
/// use ebony_routing::{CustomerDirectory, CustomerRule, KeyDigest, KeyError};
/// use ebony_types::CustomerName;
///
/// let rule = |name: &str, keys: &[&str]| CustomerRule {
///     name: CustomerName::parse(name).expect("a valid name"),
///     keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
///     priority: None,
///     rate: None,
///     burst: 0.0,
///     has_valid_quota: true,
/// };
/// let rules = vec![rule("lali", &["k1", "both"]), rule("derua", &["k2", "both"])];
/// let customers = CustomerDirectory::open(rules, Vec::new());
/// let find = |key: &str| customers.find(Some(&KeyDigest::of(key.as_bytes())));
/// assert_eq!(find("k2").map(|rule| rule.name.as_str()), Ok("derua"));
/// assert_eq!(find("both"), Err(KeyError::Shared));
/// assert_eq!(find("k3"), Err(KeyError::Unknown));
/// assert_eq!(customers.find(None), Err(KeyError::Missing));
/// ```
#[derive(Clone, Debug)]
pub struct CustomerDirectory {
    customers: HashMap<CustomerName, Rc<CustomerRule>>,
    /// The owner of each key; `None` if several customers have it.
    owners: HashMap<KeyDigest, Option<CustomerName>>,
    faults: Vec<CustomerFault>,
}

impl CustomerDirectory {
    /// Creates a directory. `faults` are those that were found when the rules were decoded.
    pub fn open(rules: Vec<CustomerRule>, faults: Vec<CustomerFault>) -> Self {
        let mut directory = Self {
            customers: HashMap::new(),
            owners: HashMap::new(),
            faults,
        };
        for rule in rules {
            directory.add(rule);
        }
        directory
    }

    fn add(&mut self, rule: CustomerRule) {
        let name = rule.name.clone();
        for key in &rule.keys {
            self.add_key(*key, &name);
        }
        match self.customers.entry(name) {
            Entry::Vacant(entry) => {
                entry.insert(Rc::new(rule));
            }
            Entry::Occupied(mut entry) => {
                Rc::make_mut(entry.get_mut()).keys.extend(rule.keys);
                let place = rule.name.to_string();
                let kind = FaultKind::RepeatedName;
                self.faults.push(CustomerFault { kind, place });
            }
        }
    }

    fn add_key(&mut self, key: KeyDigest, name: &CustomerName) {
        match self.owners.entry(key) {
            Entry::Vacant(entry) => {
                entry.insert(Some(name.clone()));
            }
            Entry::Occupied(mut entry) => {
                if entry.get().as_ref() == Some(name) {
                    return;
                }
                let place = match entry.insert(None) {
                    Some(other) => format!("{other}, {name}"),
                    None => format!("several, {name}"),
                };
                let kind = FaultKind::SharedKey;
                self.faults.push(CustomerFault { kind, place });
            }
        }
    }

    /// Returns the customer that a key belongs to.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, if no customer has it, or if several customers have it.
    pub fn find(&self, key: Option<&KeyDigest>) -> Result<&Rc<CustomerRule>> {
        let owner = self.owners.get(key.ok_or(KeyError::Missing)?);
        let owner = owner.ok_or(KeyError::Unknown)?;
        let owner = owner.as_ref().ok_or(KeyError::Shared)?;
        self.customer(owner).ok_or(KeyError::Unknown)
    }

    /// Returns a customer.
    pub fn customer(&self, name: &CustomerName) -> Option<&Rc<CustomerRule>> {
        self.customers.get(name)
    }

    /// Returns all customers, in unspecified order.
    pub fn customers(&self) -> impl Iterator<Item = &Rc<CustomerRule>> {
        self.customers.values()
    }

    /// Returns what could not be used as it was written.
    pub fn faults(&self) -> &[CustomerFault] {
        &self.faults
    }

    /// Replaces the quotas that could not be read by those that were in force in `before`.
    pub fn keep_quotas(&mut self, before: &Self) {
        let unreadable = self.customers.values_mut().filter(|rule| !rule.has_valid_quota);
        for rule in unreadable {
            if let Some(known) = before.customer(&rule.name) {
                let rule = Rc::make_mut(rule);
                (rule.rate, rule.burst) = (known.rate, known.burst);
            }
        }
    }
}
