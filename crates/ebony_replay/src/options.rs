//! Options of a replay.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_types::CallerName;

use crate::check::AnswerCheck;

/// The most calls under way. The committed traces need less than 200.
const DEFAULT_MAX_CALLS: usize = 512;

/// The longest replay. The committed traces take less than a minute on unloaded engines.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(300);

/// The longest wait for an answer, if the trace states none.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The bearer keys of a trace's callers.
///
/// ```
/// use ebony_replay::CallerKeys;
/// use ebony_types::CallerName;
///
/// let (one, two) = (CallerName::parse("one")?, CallerName::parse("two")?);
/// let keys = CallerKeys::same("shared").with_key(one.clone(), "first");
/// assert_eq!(keys.key_of(&one), "first");
/// assert_eq!(keys.key_of(&two), "shared");
/// # Ok::<(), ebony_types::name::NameError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerKeys {
    shared: String,
    own: BTreeMap<CallerName, String>,
}

impl CallerKeys {
    /// Uses one key for all callers. The system then sees one caller, so that fairness says nothing.
    pub fn same(key: &str) -> Self {
        Self {
            shared: key.to_owned(),
            own: BTreeMap::new(),
        }
    }

    /// Adds the own key of a caller.
    #[must_use]
    pub fn with_key(mut self, caller: CallerName, key: &str) -> Self {
        self.own.insert(caller, key.to_owned());
        self
    }

    /// Returns the key of a caller.
    pub fn key_of(&self, caller: &CallerName) -> &str {
        self.own.get(caller).unwrap_or(&self.shared)
    }
}

/// Options of a replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayOptions {
    /// The name of the run in reports, such as that of the policy.
    pub run: String,
    /// Base URLs of entries, over which programs are spread. A repeated call goes to the next one.
    pub entries: Vec<String>,
    /// The keys of callers.
    pub keys: CallerKeys,
    /// How answers are checked.
    pub check: AnswerCheck,
    /// Tells apart replays at the same targets; it is part of paths and idempotency keys.
    pub nonce: String,
    /// The most calls under way; further calls wait in the driver.
    pub max_calls: usize,
    /// The longest replay. Programs that are open after it stay open in the report.
    pub time_limit: Duration,
    /// The longest wait for an answer, if the trace states none.
    pub call_timeout: Duration,
    /// Whether progress is shown on standard error.
    pub shows_progress: bool,
}

impl ReplayOptions {
    /// Returns options for a run at entries with these URLs.
    ///
    /// ```
    /// use ebony_replay::{CallerKeys, ReplayOptions};
    ///
    /// let entries = vec!["http://127.0.0.1:17000".to_owned()];
    /// let options = ReplayOptions::open("ours", entries, CallerKeys::same("shop-key"));
    /// assert!(!options.shows_progress);
    /// ```
    pub fn open(run: &str, entries: Vec<String>, keys: CallerKeys) -> Self {
        Self {
            run: run.to_owned(),
            entries,
            keys,
            check: AnswerCheck::default(),
            nonce: run.replace(|letter: char| !letter.is_ascii_alphanumeric(), "-"),
            max_calls: DEFAULT_MAX_CALLS,
            time_limit: DEFAULT_TIME_LIMIT,
            call_timeout: DEFAULT_CALL_TIMEOUT,
            shows_progress: false,
        }
    }
}
