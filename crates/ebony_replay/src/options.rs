//! Options of a replay.

use std::collections::BTreeMap;
use std::time::Duration;

use ebony_types::CallerName;

use crate::check::AnswerCheck;

/// Maximum number of calls in flight. The committed traces need less than 200.
const DEFAULT_MAX_CALLS: usize = 512;

/// Maximum duration of a replay. The committed traces take less than a minute on unloaded engines.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(300);

/// Timeout of calls for which the trace states none.
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
    /// Uses one key for all callers. The system then sees a single caller, so that the fairness figure is meaningless.
    pub fn same(key: &str) -> Self {
        Self {
            shared: key.to_owned(),
            own: BTreeMap::new(),
        }
    }

    /// Sets the key of one caller.
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
    /// Base URLs of entries, over which programs are distributed. Each retry of a call goes to the next entry.
    pub entries: Vec<String>,
    /// The keys of callers.
    pub keys: CallerKeys,
    /// How answers are checked.
    pub check: AnswerCheck,
    /// A text that distinguishes replays against the same targets. It is part of paths and idempotency keys.
    pub nonce: String,
    /// The maximum number of calls in flight; further calls wait in the driver.
    pub max_calls: usize,
    /// The maximum duration of the replay. Programs that have not ended by then are reported as open.
    pub time_limit: Duration,
    /// The timeout of calls for which the trace states none.
    pub call_timeout: Duration,
    /// Whether progress is shown on standard error.
    pub shows_progress: bool,
}

impl ReplayOptions {
    /// Returns default options for a run against the entries with these base URLs.
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
