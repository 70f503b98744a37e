//! The keys of a gateway's settings file.

use super::keys::{
    GIB, HOUR_MS, LOG, MIB, MINUTE_MS, REQUEST_TIMEOUT, SECOND_MS, count, duration, listener, size,
};
use super::{AddressUse, KeySpec, SectionSpec, ValueKind};

/// The whole file.
pub(crate) static GATEWAY_ROOT: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required(
            "process",
            ValueKind::Name,
            "The name of the process, unique in the deployment.",
        ),
        KeySpec::required("role", ValueKind::Choice(&["gateway"]), "What the process does."),
        KeySpec::required("host", ValueKind::Name, "The host."),
        KeySpec::required("region", ValueKind::Name, "The region of the host."),
        KeySpec::required(
            "failure_domain",
            ValueKind::Name,
            "The failure domain of the host.",
        ),
        KeySpec::required(
            "callers",
            ValueKind::Section(&CALLERS),
            "The callers' HTTP interface.",
        ),
        KeySpec::required("links", ValueKind::Section(&LINKS), "Links from other gateways."),
        KeySpec::required(
            "metrics",
            ValueKind::Section(&GATEWAY_METRICS),
            "Metrics and health over HTTP.",
        ),
        KeySpec::required("store", ValueKind::Section(&STORE), "The platform's store."),
        KeySpec::defaults_to(
            "{}",
            "targets",
            ValueKind::Section(&TARGETS),
            "Connections to targets.",
        ),
        KeySpec::defaults_to(
            "{}",
            "log",
            ValueKind::Section(&LOG),
            "The log on standard output.",
        ),
        KeySpec::defaults_to(
            "false",
            "first_start",
            ValueKind::Flag,
            "Whether the whole system starts for the first time, so that no program began at a process before this one.",
        ),
        KeySpec::defaults_to(
            "8s",
            "drain_time",
            duration(SECOND_MS, 10 * MINUTE_MS),
            "The longest planned stop. Requests that run longer are ended.",
        ),
        KeySpec::defaults_to(
            "{}",
            "policy",
            ValueKind::Section(&POLICY),
            "The choice of targets and the admission of programs.",
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
        // The limit of open file descriptors on the smallest host in use, less those for targets and files.
        KeySpec::defaults_to(
            "3000",
            "connections",
            count(1, 65_536),
            "The most open connections of callers. Further ones are closed.",
        ),
        KeySpec::defaults_to(
            "60s",
            "idle_time",
            duration(SECOND_MS, 10 * MINUTE_MS),
            "A connection without a request for this long is closed. Must exceed what the configuration allows callers.",
        ),
        KeySpec::optional(
            "memory",
            size(4 * MIB, 64 * GIB),
            "The most memory for connections, heads, bodies and unread answers of callers. By default a quarter of the \
             host's memory, or of the process's limit if that is lower.",
        ),
        // The configuration allows callers 3 s in both deployments with quotas.
        KeySpec::defaults_to(
            "30s",
            "head_time",
            duration(SECOND_MS, 10 * MINUTE_MS),
            "The longest time for the head of a request. Must exceed what the configuration allows callers.",
        ),
        KeySpec::defaults_to(
            "10s",
            "body_time",
            duration(SECOND_MS, 10 * MINUTE_MS),
            "The longest time for the body of a request, besides one second for each 64 KiB that have arrived.",
        ),
        // Longer than any route's timeout in the deployments with quotas, 4 s.
        KeySpec::defaults_to(
            "30s",
            "answer_time",
            duration(SECOND_MS, 10 * MINUTE_MS),
            "A connection whose caller takes nothing of a waiting answer for this long is closed.",
        ),
    ],
};

static LINKS: SectionSpec = SectionSpec {
    keys: &[KeySpec::required(
        "listen",
        listener(),
        "The address for links from other gateways.",
    )],
};

static GATEWAY_METRICS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("listen", listener(), "The address for metrics and health checks."),
        KeySpec::optional(
            "collector_listen",
            listener(),
            "A second address for the same, for collectors that know one port for all processes.",
        ),
    ],
};

static STORE: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::required("url", ValueKind::Url, "The base URL."),
        KeySpec::defaults_to(
            "700ms",
            "timeout",
            REQUEST_TIMEOUT,
            "The longest wait for a reply, besides the time that the store is asked to wait for changes.",
        ),
        // Programs take seconds to minutes, and a stopped program may continue within about a minute.
        KeySpec::defaults_to(
            "1h",
            "retention",
            duration(10 * MINUTE_MS, 24 * HOUR_MS),
            "Rows of programs and gateways that nothing has written for this long are removed.",
        ),
    ],
};

static TARGETS: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::defaults_to(
            "400ms",
            "connect_timeout",
            duration(10, 30 * SECOND_MS),
            "The longest wait for a connection to a target.",
        ),
        KeySpec::defaults_to(
            "2s",
            "silence",
            duration(100, 5 * MINUTE_MS),
            "A connection whose peer acknowledges nothing for this long is given up.",
        ),
        KeySpec::defaults_to(
            "1s",
            "keep_idle",
            duration(0, 5 * MINUTE_MS),
            "The longest time that an unused connection is kept if the target does not say how long it keeps it.",
        ),
    ],
};

static POLICY: SectionSpec = SectionSpec {
    keys: &[
        KeySpec::defaults_to(
            "estimated_delay",
            "placement",
            ValueKind::Choice(&["least_own_load", "home_target", "estimated_delay"]),
            "How the target of a call is chosen. The first two are baselines.",
        ),
        KeySpec::defaults_to(
            "automatic",
            "even_load",
            ValueKind::Choice(&["automatic", "always", "never"]),
            "Which services get even load by speed and random choice. Automatic: those whose targets report a slow-down, and all if customers are configured.",
        ),
        KeySpec::defaults_to(
            "automatic",
            "admission",
            ValueKind::Choice(&["automatic", "by_work", "by_load"]),
            "Whether new programs are admitted by the work that they bring or by the load of the engines. `automatic` is by work if the configuration has customers.",
        ),
    ],
};
