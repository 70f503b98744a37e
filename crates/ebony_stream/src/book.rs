//! What a gateway knows of versions and streams.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use ebony_types::{ClockTime, ServiceName, SoftwareVersion, TargetName};
use slotmap::SlotMap;

use crate::digest::StreamDigest;
use crate::row::{ReleaseStreams, ServiceRelease, StreamRow};

/// How long a stream may be resumed after it began, unless its caller leaves earlier. Callers leave within 10 s.
pub const RESUME_WINDOW: Duration = Duration::from_secs(30);

/// How long a gateway must have known the list of targets, and how long another one must have been without a link to be
/// left out, before a service counts as one with a single version without a look at the store. Callers of streams that
/// began earlier have left.
pub const VOUCHING_TIME: Duration = Duration::from_secs(10);

/// How long a version counts as recorded after its row was last read or written. Rows are removed only after twice
/// [`RESUME_WINDOW`] without a listed target of the version.
const CONFIRMATION_TIME: Duration = Duration::from_secs(50);

/// The most streams of other gateways that are kept in memory, 5 MB.
const MAX_LEARNED_STREAMS: usize = 65_536;

/// The most streams that this gateway keeps and records: 30 s at 136 streams a second. More would not fit into one row.
const MAX_OWN_STREAMS: usize = 4_096;

slotmap::new_key_type! {
    /// A version of a service on the book.
    struct ReleaseKey;
}

/// How the version of a stream is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionSource {
    /// The service has one version only.
    OnlyVersion,
    /// The gateway began or resumed the stream itself.
    Own,
    /// The record of the gateway that began it.
    Record,
    /// Another gateway.
    Peer,
}

impl VersionSource {
    /// Returns the name of the source in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OnlyVersion => "only_version",
            Self::Own => "own",
            Self::Record => "record",
            Self::Peer => "peer",
        }
    }
}

/// Where a stream may be resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamVerdict {
    /// At targets of this version.
    At(SoftwareVersion, VersionSource),
    /// Nowhere, as far as is known.
    Unknown,
}

/// What the other gateways know of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerFindings {
    /// The version that began the stream, if one of them recorded it.
    pub origin: Option<SoftwareVersion>,
    /// The versions of the service that they know.
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether they know every version at which a stream that may still be resumed can have begun; see
    /// [`VOUCHING_TIME`].
    pub is_complete: bool,
}

#[derive(Clone, Debug)]
struct KnownRelease {
    release: ServiceRelease,
    /// When the row of the version was last read or written; `None` if it is not known to exist.
    confirmed_at: Option<ClockTime>,
    /// Whether a listed target has the version.
    is_listed: bool,
}

/// Streams that this gateway began or resumed itself.
#[derive(Clone, Debug)]
struct OwnStream {
    release: ReleaseKey,
    /// The target; `None` if an earlier process of this gateway began the stream.
    target: Option<TargetName>,
    until: ClockTime,
    is_recorded: bool,
}

/// The versions and streams that a gateway knows.
///
/// ```
/// use ebony_stream::{ServiceRelease, StreamBook, StreamDigest, StreamVerdict, VersionSource};
/// use ebony_types::{ClockTime, ServiceName, SoftwareVersion};
///
/// let service = ServiceName::parse("models")?;
/// let version = SoftwareVersion::parse("v1")?;
/// let release = ServiceRelease { service: service.clone(), version: version.clone() };
/// let mut book = StreamBook::default();
/// book.confirm_all([release], ClockTime::default());
/// let stream = StreamDigest::of(None, "9c41");
/// let only = StreamVerdict::At(version, VersionSource::OnlyVersion);
/// assert_eq!(book.verdict(Some(stream), &service), only);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamBook {
    releases: SlotMap<ReleaseKey, KnownRelease>,
    own: HashMap<StreamDigest, OwnStream>,
    /// Own streams in the order in which they were added.
    own_order: VecDeque<StreamDigest>,
    learned: HashMap<StreamDigest, (ReleaseKey, ClockTime)>,
    /// Learned streams in the order in which they were added.
    learned_order: VecDeque<StreamDigest>,
}

impl StreamBook {
    /// Decides where a stream of a service may be resumed. `stream` is `None` if the caller does not name it.
    ///
    /// A record decides. Without one, the service must have had a single version, and the rows of versions must have been
    /// read after the call arrived: another gateway may have begun the stream at a version that came later.
    pub fn verdict(&self, stream: Option<StreamDigest>, service: &ServiceName) -> StreamVerdict {
        if let Some((version, source)) = stream.and_then(|stream| self.origin(stream, service)) {
            return StreamVerdict::At(version, source);
        }
        let mut versions = self.known_versions(service);
        match (versions.pop_first(), versions.is_empty()) {
            (Some(version), true) if !self.is_of_other_service(stream) => {
                StreamVerdict::At(version, VersionSource::OnlyVersion)
            }
            _ => StreamVerdict::Unknown,
        }
    }

    /// Decides where a stream of a service may be resumed after [`Self::verdict`] could not, or the store did not answer
    /// (`has_read` is false). Then the service counts as one with a single version only if no gateway that may have begun
    /// the stream knows another one.
    pub fn verdict_by_peers(
        &self,
        stream: Option<StreamDigest>,
        service: &ServiceName,
        has_read: bool,
        findings: PeerFindings,
    ) -> StreamVerdict {
        if let Some(version) = findings.origin {
            return StreamVerdict::At(version, VersionSource::Peer);
        }
        let mut versions = self.known_versions(service);
        versions.extend(findings.versions);
        match (versions.pop_first(), versions.is_empty()) {
            (Some(version), true)
                if !has_read && findings.is_complete && !self.is_of_other_service(stream) =>
            {
                StreamVerdict::At(version, VersionSource::OnlyVersion)
            }
            _ => StreamVerdict::Unknown,
        }
    }

    /// Returns the version that began a stream, if a record has it.
    pub fn origin(
        &self,
        stream: StreamDigest,
        service: &ServiceName,
    ) -> Option<(SoftwareVersion, VersionSource)> {
        let (release, source) = self.record(stream)?;
        (release.service == *service).then(|| (release.version.clone(), source))
    }

    fn record(&self, stream: StreamDigest) -> Option<(&ServiceRelease, VersionSource)> {
        let own = self.own.get(&stream).map(|own| (own.release, VersionSource::Own));
        let learned = self.learned.get(&stream);
        let (key, source) = own.or(learned.map(|(key, _)| (*key, VersionSource::Record)))?;
        Some((&self.releases.get(key)?.release, source))
    }

    /// Returns whether a stream without an origin in the service began in another one, from which its route has moved.
    fn is_of_other_service(&self, stream: Option<StreamDigest>) -> bool {
        stream.is_some_and(|stream| self.record(stream).is_some())
    }

    /// Returns the versions at which streams of a service may have begun. Listed ones count, because streams begin at a
    /// version without a row if there is no other one.
    pub fn known_versions(&self, service: &ServiceName) -> BTreeSet<SoftwareVersion> {
        let known = self.releases.values().filter(|known| {
            known.release.service == *service && (known.confirmed_at.is_some() || known.is_listed)
        });
        known.map(|known| known.release.version.clone()).collect()
    }

    /// Returns whether streams of a service have to be recorded, because it has several versions.
    pub fn is_mixed(&self, service: &ServiceName) -> bool {
        self.known_versions(service).len() > 1
    }

    /// Returns whether any service has several versions.
    pub fn has_mixed(&self) -> bool {
        !self.mixed_releases().is_empty()
    }

    /// Returns the listed versions of a service at which no stream should begin yet, because their rows are not known to
    /// exist.
    pub fn unconfirmed_versions(&self, service: &ServiceName, now: ClockTime) -> Vec<SoftwareVersion> {
        let unconfirmed = self.releases.values().filter(|known| {
            known.release.service == *service && known.is_listed && !is_confirmed(known, now)
        });
        unconfirmed.map(|known| known.release.version.clone()).collect()
    }

    /// Returns the listed versions whose rows are not known to exist.
    pub fn unconfirmed(&self) -> Vec<ServiceRelease> {
        let unconfirmed = self
            .releases
            .values()
            .filter(|known| known.is_listed && known.confirmed_at.is_none());
        unconfirmed.map(|known| known.release.clone()).collect()
    }

    /// Returns whether a listed target has the version.
    pub fn is_listed(&self, release: &ServiceRelease) -> bool {
        let key = self.find(release);
        key.is_some_and(|key| self.releases[key].is_listed)
    }

    /// Replaces the versions that listed targets have.
    pub fn set_listed(&mut self, releases: impl IntoIterator<Item = ServiceRelease>) {
        self.releases
            .values_mut()
            .for_each(|known| known.is_listed = false);
        for release in releases {
            let key = self.key(release);
            self.releases[key].is_listed = true;
        }
        self.remove_unused_releases();
    }

    /// Records that the row of a version exists.
    pub fn confirm(&mut self, release: ServiceRelease, now: ClockTime) {
        let key = self.key(release);
        self.releases[key].confirmed_at = Some(now);
    }

    /// Records all rows of versions, as a read that began at `now` returned them.
    pub fn confirm_all(&mut self, releases: impl IntoIterator<Item = ServiceRelease>, now: ClockTime) {
        self.releases
            .values_mut()
            .for_each(|known| known.confirmed_at = None);
        for release in releases {
            self.confirm(release, now);
        }
        self.remove_unused_releases();
    }

    /// Records the version that began a stream, whose caller waits until `until`.
    pub fn begin(
        &mut self,
        stream: StreamDigest,
        release: ServiceRelease,
        target: TargetName,
        now: ClockTime,
        until: ClockTime,
    ) {
        let release = self.key(release);
        let own = OwnStream {
            release,
            target: Some(target),
            until: until.min(now + RESUME_WINDOW),
            is_recorded: false,
        };
        self.insert_own(stream, own);
    }

    fn insert_own(&mut self, stream: StreamDigest, own: OwnStream) {
        if self.own.insert(stream, own).is_none() {
            self.own_order.push_back(stream);
        }
        if self.own.len() > MAX_OWN_STREAMS
            && let Some(oldest) = self.own_order.pop_front()
        {
            self.own.remove(&oldest);
        }
    }

    /// Forgets the streams that began at a target, because it was restarted with another version, and may have been so
    /// before they began.
    pub fn forget_target(&mut self, target: &TargetName) {
        self.own.retain(|_, own| own.target.as_ref() != Some(target));
        let own = &self.own;
        self.own_order.retain(|stream| own.contains_key(stream));
    }

    /// Adds the streams that another gateway recorded.
    pub fn learn(&mut self, row: StreamRow, now: ClockTime) {
        let until = now + RESUME_WINDOW;
        for (release, streams) in row.releases.into_iter().map(|part| (part.release, part.streams)) {
            let key = self.key(release);
            for stream in streams {
                self.learn_stream(stream, key, until);
            }
        }
    }

    fn learn_stream(&mut self, stream: StreamDigest, key: ReleaseKey, until: ClockTime) {
        if self.learned.insert(stream, (key, until)).is_none() {
            self.learned_order.push_back(stream);
        }
        if self.learned.len() > MAX_LEARNED_STREAMS
            && let Some(oldest) = self.learned_order.pop_front()
        {
            self.learned.remove(&oldest);
        }
    }

    /// Adds the streams that an earlier process of this gateway recorded, so that they stay in its row.
    pub fn adopt(&mut self, row: StreamRow, now: ClockTime) {
        for part in row.releases {
            let release = self.key(part.release);
            let added = part
                .streams
                .into_iter()
                .filter(|stream| !self.own.contains_key(stream));
            for stream in added.collect::<Vec<_>>() {
                let own = OwnStream {
                    release,
                    target: None,
                    until: now + RESUME_WINDOW,
                    is_recorded: false,
                };
                self.insert_own(stream, own);
            }
        }
    }

    /// Returns the number of own streams that have to be recorded and are not.
    pub fn unrecorded(&self) -> usize {
        let mixed = self.mixed_releases();
        if mixed.is_empty() {
            return 0;
        }
        let is_due = |own: &&OwnStream| !own.is_recorded && mixed.contains(&own.release);
        self.own.values().filter(is_due).count()
    }

    /// Returns the row with all own streams that have to be recorded.
    pub fn own_row(&self) -> StreamRow {
        let mut parts: Vec<ReleaseStreams> = Vec::new();
        for key in self.mixed_releases() {
            let streams = self.own.iter().filter(|(_, own)| own.release == key);
            let mut streams: Vec<StreamDigest> = streams.map(|(stream, _)| *stream).collect();
            streams.sort_unstable();
            if !streams.is_empty() {
                let release = self.releases[key].release.clone();
                parts.push(ReleaseStreams { release, streams });
            }
        }
        parts.sort_by(|left, right| left.release.cmp(&right.release));
        StreamRow { releases: parts }
    }

    /// Records that the store has a row.
    pub fn mark_recorded(&mut self, row: &StreamRow) {
        for stream in row.releases.iter().flat_map(|part| &part.streams) {
            if let Some(own) = self.own.get_mut(stream) {
                own.is_recorded = true;
            }
        }
    }

    /// Drops streams that cannot be resumed any more.
    pub fn expire(&mut self, now: ClockTime) {
        self.own.retain(|_, own| own.until > now);
        let own = &self.own;
        self.own_order.retain(|stream| own.contains_key(stream));
        self.learned.retain(|_, (_, until)| *until > now);
        let learned = &self.learned;
        self.learned_order.retain(|stream| learned.contains_key(stream));
    }

    /// Returns the number of streams in memory.
    pub fn len(&self) -> usize {
        self.own.len() + self.learned.len()
    }

    /// Returns whether there are no streams in memory.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the versions of services with several versions.
    fn mixed_releases(&self) -> BTreeSet<ReleaseKey> {
        let is_mixed = |known: &KnownRelease| self.is_mixed(&known.release.service);
        let mixed = self.releases.iter().filter(|(_, known)| is_mixed(known));
        mixed.map(|(key, _)| key).collect()
    }

    fn find(&self, release: &ServiceRelease) -> Option<ReleaseKey> {
        let mut releases = self.releases.iter();
        releases
            .find(|(_, known)| known.release == *release)
            .map(|(key, _)| key)
    }

    fn key(&mut self, release: ServiceRelease) -> ReleaseKey {
        self.find(&release).unwrap_or_else(|| {
            self.releases.insert(KnownRelease {
                release,
                confirmed_at: None,
                is_listed: false,
            })
        })
    }

    /// Removes versions that are neither listed nor recorded and that began no stream in memory.
    fn remove_unused_releases(&mut self) {
        let own = self.own.values().map(|own| own.release);
        let used: BTreeSet<ReleaseKey> = own.chain(self.learned.values().map(|(key, _)| *key)).collect();
        self.releases
            .retain(|key, known| known.is_listed || known.confirmed_at.is_some() || used.contains(&key));
    }
}

fn is_confirmed(known: &KnownRelease, now: ClockTime) -> bool {
    known
        .confirmed_at
        .is_some_and(|confirmed| now.since(confirmed) < CONFIRMATION_TIME)
}
