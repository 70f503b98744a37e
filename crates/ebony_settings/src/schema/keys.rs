//! The keys of the settings files of entries and side processes.

use ebony_types::limits::MAX_BODY_BYTES;

use super::{AddressUse, KeySpec, SectionSpec, ValueKind};
use crate::settings::ProcessRole;

pub(super) const SECOND_MS: u64 = 1_000;
pub(super) const MINUTE_MS: u64 = 60 * SECOND_MS;
pub(super) const HOUR_MS: u64 = 60 * MINUTE_MS;
const KIB: u64 = 1 << 10;
pub(super) const MIB: u64 = 1 << 20;
pub(super) const GIB: u64 = 1 << 30;

/// A duration with its bounds in milliseconds.
pub(super) const fn duration(min: u64, max: u64) -> ValueKind {
    ValueKind::Duration { min, max }
}

/// A size with its bounds in bytes.
pub(super) const fn size(min: u64, max: u64) -> ValueKind {
    ValueKind::Size { min, max }
}

pub(super) const fn count(min: u64, max: u64) -> ValueKind {
    ValueKind::Count { min, max }
}

const fn list(item: &'static ValueKind, min: usize, max: usize) -> ValueKind {
    ValueKind::List { item, min, max }
}

pub(super) const fn listener() -> ValueKind {
    ValueKind::Address(AddressUse::Listener {
        takes_wildcard: false,
    })
}

/// The bounds of the timeout of a request to the platform, in milliseconds.
pub(super) const REQUEST_TIMEOUT: ValueKind = duration(10, MINUTE_MS);

/// The whole file.
pub(crate) static ROOT: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required(
            "process",
            ValueKind::Name,
            "The name of the process, unique in the deployment.",
        ),
        KeySpec::required(
            "role",
            ValueKind::Choice(ProcessRole::NAMES),
            "What the process does.",
        ),
        KeySpec::required("host", ValueKind::Name, "The host, as the host list names it."),
        KeySpec::required("region", ValueKind::Name, "The region of the host."),
        KeySpec::required(
            "failure_domain",
            ValueKind::Name,
            "The failure domain of the host.",
        ),
        KeySpec::required("links", ValueKind::Section(&LINKS), "Links to other processes."),
        KeySpec::required(
            "administration",
            ValueKind::Section(&ADMINISTRATION),
            "The operators' HTTP interface.",
        ),
        KeySpec::required(
            "metrics",
            ValueKind::Section(&METRICS),
            "Metrics and health over HTTP.",
        ),
        KeySpec::required(
            "platform",
            ValueKind::Section(&PLATFORM),
            "The platform's services.",
        ),
        KeySpec::defaults_to(
            "{}",
            "log",
            ValueKind::Section(&LOG),
            "The log on standard error.",
        ),
        KeySpec::defaults_to(
            "{}",
            "limits",
            ValueKind::Section(&LIMITS),
            "Bounds on what one peer may use.",
        ),
        KeySpec::defaults_to(
            "30s",
            "drain_time",
            duration(SECOND_MS, 10 * MINUTE_MS),
            "The longest planned stop. Requests that run longer are ended.",
        ),
        KeySpec::defaults_to(
            "{}",
            "policy",
            ValueKind::Options,
            "Options of the scheduling policy, passed on as they are.",
        ),
        KeySpec::required(
            "callers",
            ValueKind::Section(&CALLERS),
            "The callers' HTTP interface.",
        )
        .only_for(ProcessRole::Entry),
        KeySpec::defaults_to(
            "[]",
            "peers",
            list(&ValueKind::Address(AddressUse::Remote), 0, 1_024),
            "Link addresses of the other entries.",
        )
        .only_for(ProcessRole::Entry),
        KeySpec::required(
            "ownership",
            ValueKind::Section(&OWNERSHIP),
            "Ownership of programs.",
        )
        .only_for(ProcessRole::Entry),
        KeySpec::required(
            "targets",
            list(&ValueKind::Section(&TARGET), 1, 64),
            "The targets beside this process.",
        )
        .only_for(ProcessRole::Side),
        KeySpec::defaults_to(
            "{}",
            "ledger",
            ValueKind::Section(&LEDGER),
            "The ledger of calls that run at most once.",
        )
        .only_for(ProcessRole::Side),
    ],
};

static LINKS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("listen", listener(), "The address for links from entries."),
        KeySpec::required(
            "cluster_key",
            ValueKind::Section(&CLUSTER_KEY),
            "The key that all processes share; one of its keys is set.",
        ),
        KeySpec::optional(
            "tls",
            ValueKind::Section(&LINK_TLS),
            "Mutual TLS on links; plain TCP if absent.",
        ),
        KeySpec::defaults_to(
            "500ms",
            "heartbeat",
            duration(50, 10 * SECOND_MS),
            "The time between pings on a link.",
        ),
        KeySpec::defaults_to(
            "2s",
            "lost_after",
            duration(100, MINUTE_MS),
            "A link without a frame for this long is lost; at least twice `links.heartbeat`.",
        ),
        KeySpec::defaults_to(
            "1s",
            "connect_timeout",
            duration(10, 30 * SECOND_MS),
            "The longest wait for a new link.",
        ),
    ],
};

static CLUSTER_KEY: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::optional(
            "file",
            ValueKind::File,
            "A file with the key, at least 16 bytes; white space at its end is ignored.",
        ),
        KeySpec::optional(
            "inline",
            ValueKind::Secret,
            "The key itself; accepted only if `links.listen` is a loopback address.",
        ),
    ],
};

static LINK_TLS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("certificate", ValueKind::File, "The certificate chain in PEM."),
        KeySpec::required("key", ValueKind::File, "The private key in PEM."),
        KeySpec::required(
            "authority",
            ValueKind::File,
            "The certificates in PEM that peers' certificates are checked against.",
        ),
    ],
};

static CALLER_TLS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("certificate", ValueKind::File, "The certificate chain in PEM."),
        KeySpec::required("key", ValueKind::File, "The private key in PEM."),
        KeySpec::optional(
            "authority",
            ValueKind::File,
            "If set, callers need a certificate that these certificates in PEM vouch for.",
        ),
    ],
};

static ADMINISTRATION: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("listen", listener(), "The address for operators."),
        KeySpec::optional(
            "first_operator",
            ValueKind::Digest,
            "The digest of a bearer key that is accepted while no configuration exists, to write the first one.",
        ),
    ],
};

static METRICS: SectionSpec = SectionSpec {
    keys: &[KeySpec::required(
        "listen",
        listener(),
        "The address for metrics and health checks.",
    )],
};

static PLATFORM: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("table", ValueKind::Section(&TABLE), "The table service."),
        KeySpec::required("objects", ValueKind::Section(&OBJECTS), "The object store."),
        KeySpec::required("hosts", ValueKind::Section(&HOSTS), "The host list."),
        KeySpec::required("weights", ValueKind::Section(&WEIGHTS), "The weight store."),
    ],
};

static TABLE: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("url", ValueKind::Url, "The base URL."),
        KeySpec::defaults_to("2s", "timeout", REQUEST_TIMEOUT, "The longest wait for a reply."),
    ],
};

static OBJECTS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("url", ValueKind::Url, "The base URL."),
        KeySpec::defaults_to("5s", "timeout", REQUEST_TIMEOUT, "The longest wait for a reply."),
    ],
};

static HOSTS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("url", ValueKind::Url, "The base URL."),
        KeySpec::defaults_to("2s", "timeout", REQUEST_TIMEOUT, "The longest wait for a reply."),
        // A leaving target must get no new work after 3 s, so that the list has to be read at least every second.
        KeySpec::defaults_to(
            "1s",
            "interval",
            duration(100, SECOND_MS),
            "The time between two reads of the list.",
        ),
    ],
};

static WEIGHTS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("url", ValueKind::Url, "The base URL."),
        KeySpec::defaults_to("2s", "timeout", REQUEST_TIMEOUT, "The longest wait for a reply."),
    ],
};

pub(super) static LOG: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::defaults_to(
            "info",
            "level",
            ValueKind::Choice(&["critical", "error", "warning", "info", "debug", "trace"]),
            "The least severe level that is logged.",
        ),
        KeySpec::defaults_to(
            "json",
            "format",
            ValueKind::Choice(&["json", "terminal"]),
            "One JSON object a line, or text for people.",
        ),
    ],
};

static LIMITS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::defaults_to(
            "4MiB",
            "body",
            size(KIB, MAX_BODY_BYTES as u64),
            "The largest request body.",
        ),
        KeySpec::defaults_to(
            "32KiB",
            "headers",
            size(KIB, 256 * KIB),
            "The largest request head.",
        ),
        KeySpec::defaults_to(
            "60s",
            "idle_time",
            duration(SECOND_MS, HOUR_MS),
            "A connection without a request for this long is closed.",
        ),
        KeySpec::defaults_to(
            "4096",
            "connections",
            count(1, 65_536),
            "The most open connections of callers or, beside targets, of entries.",
        ),
        KeySpec::defaults_to(
            "128",
            "streams",
            count(1, 10_000),
            "The most concurrent requests on one connection.",
        ),
        // 540,000 tokens at about 4 bytes a token need 2.1 MiB.
        KeySpec::defaults_to(
            "4MiB",
            "history",
            size(64 * KIB, 16 * MIB),
            "The largest history of one program.",
        ),
    ],
};

static CALLERS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required(
            "listen",
            ValueKind::Address(AddressUse::Listener { takes_wildcard: true }),
            "The address for callers.",
        ),
        KeySpec::optional(
            "tls",
            ValueKind::Section(&CALLER_TLS),
            "TLS towards callers; plain HTTP if absent.",
        ),
    ],
};

static OWNERSHIP: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required(
            "writes_per_second",
            ValueKind::Rate {
                min: 1.0,
                max: 1_000.0,
            },
            "Journal rows that all entries of the deployment together may write per second; live entries share them equally.",
        ),
        KeySpec::defaults_to(
            "64",
            "shards",
            count(1, 4_096),
            "The shards that programs are divided into; the same in every entry of a deployment.",
        ),
        KeySpec::defaults_to(
            "2s",
            "heartbeat",
            duration(100, MINUTE_MS),
            "The time between two renewals of the session's lease.",
        ),
        KeySpec::defaults_to(
            "8s",
            "lease",
            duration(SECOND_MS, 10 * MINUTE_MS),
            "A session that is not renewed for this long may be taken over; at least three times `ownership.heartbeat`.",
        ),
    ],
};

static TARGET: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required(
            "name",
            ValueKind::Name,
            "The name of the target, unique in the deployment.",
        ),
        KeySpec::required(
            "kind",
            ValueKind::Choice(&["engine", "service"]),
            "Whether the target is a model engine or a plain service.",
        ),
        KeySpec::required(
            "address",
            ValueKind::Address(AddressUse::Remote),
            "The target's HTTP address.",
        ),
        KeySpec::optional(
            "models",
            list(&ValueKind::Name, 1, 256),
            "The models that an engine may serve; set for engines only.",
        ),
        KeySpec::optional(
            "service",
            ValueKind::Name,
            "The service that the target serves; set for services only.",
        ),
        KeySpec::required(
            "slots",
            count(1, 4_096),
            "The most calls that the target runs at once.",
        ),
        KeySpec::defaults_to(
            "false",
            "checks_fencing",
            ValueKind::Flag,
            "Whether the target itself refuses an order with an old fencing token.",
        ),
    ],
};

static LEDGER: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::defaults_to(
            "100000",
            "entries",
            count(1_000, 10_000_000),
            "The most keys that are kept. When all are in use, further calls are refused as not run.",
        ),
        KeySpec::defaults_to(
            "16MiB",
            "bytes",
            size(MIB, 4 * GIB),
            "The most bytes of stored responses.",
        ),
        KeySpec::defaults_to(
            "24h",
            "retention",
            duration(HOUR_MS, 168 * HOUR_MS),
            "How long a key is kept after its response.",
        ),
    ],
};
