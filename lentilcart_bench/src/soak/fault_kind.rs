use lentilcart_util::Set;

/// Declares the kinds with their names; the kinds of a group share the text before the first dash.
macro_rules! fault_kinds {
    ($($(#[$doc:meta])* $kind:ident = $name:literal,)*) => {
        /// A kind of fault that a soak plays.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum FaultKind {
            $($(#[$doc])* $kind,)*
        }

        /// All kinds with their names.
        const NAMES: &[(FaultKind, &str)] = &[$((FaultKind::$kind, $name)),*];

        impl FaultKind {
            /// Returns the name of the kind, as `--faults` takes it.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$kind => $name,)*
                }
            }
        }
    };
}

fault_kinds! {
    /// A server ends and starts again at its address under a new identifier.
    ServerEnd = "server-end",
    /// A server ends and starts again at its address under the identifier that it had.
    ServerSame = "server-same",
    /// A server says that it is leaving, ends, and starts again under a new identifier.
    ServerLeave = "server-leave",
    /// Two servers of different services end, and each starts again at the other's address, under a new
    /// identifier.
    ServerMove = "server-move",
    /// A server takes several times as long for a while.
    ServerSlow = "server-slow",
    /// A server ends and starts again at its address under a new identifier, and is cold then. With this or the
    /// next kind, the routes limit the requests of cold servers.
    ColdStart = "cold-start",
    /// A server becomes cold while it runs.
    ColdAgain = "cold-again",
    /// Answers with status 200 are sent twice.
    CopyOk = "copy-ok",
    /// Answers with status 421 are sent twice.
    CopyMisdirected = "copy-misdirected",
    /// Refusals with status 503 are sent twice.
    CopyRefused = "copy-refused",
    /// Answers to health checks with status 200 are sent twice.
    CopyHealth = "copy-health",
    /// Refusals of health checks are sent twice.
    CopyHealthRefused = "copy-health-refused",
    /// Health checks are refused.
    HealthRefused = "answer-health-refused",
    /// Requests are refused as by a full server, though slots are free.
    RequestRefused = "answer-refused",
    /// Answers stop in the head or the body, and the connection closes.
    AnswerCut = "answer-cut",
    /// A request runs, and its connection is reset without an answer.
    AnswerLost = "answer-lost",
    /// Answers name another request.
    AnswerForeign = "answer-foreign",
    /// Answers name no request.
    AnswerUnnamed = "answer-unnamed",
    /// A request runs and fails with status 500.
    Failure = "answer-failure",
    /// A request runs and is answered 503, without the promise that it did not run.
    Unpromised = "answer-unpromised",
    /// Idle connections are closed early, without notice.
    IdleDrop = "connection-idle",
    /// Full servers reset connections instead of refusing requests.
    ResetFull = "connection-full",
    /// An entry gets TERM and is started again.
    EntryTerm = "entry-term",
    /// An entry is killed and started again.
    EntryKill = "entry-kill",
    /// An entry is stopped for a while and continues.
    EntryStop = "entry-stop",
    /// The settings file of an entry changes, and it gets HUP.
    EntryHup = "entry-hup",
    /// A route moves to another service, and back later.
    RouteMove = "route-move",
    /// A route is removed, and added again later.
    RouteDrop = "route-drop",
    /// One or two data centres are evacuated, and taken back later.
    EvacuateSite = "evacuate-site",
    /// Replies to watches are lost.
    StoreWatch = "store-watch",
    /// Replies to writes are lost.
    StoreWrite = "store-write",
    /// The store answers 503 to all.
    StoreDown = "store-down",
    /// The store answers 503 to some entries.
    StorePart = "store-part",
    /// The store is slow.
    StoreSlow = "store-slow",
    /// Shows that answers are checked: servers send the body of another request under the right name.
    CheckMixed = "check-mixed",
    /// Shows that planned stops are checked: an entry is killed instead of stopped.
    CheckLost = "check-lost",
    /// Shows that services are checked: servers run requests that name another instance.
    CheckRoute = "check-route",
    /// Shows that the versions of routes are checked: the store does not get them.
    CheckConfig = "check-config",
    /// Shows that evacuations are checked: the store does not get them.
    CheckEvacuation = "check-evacuation",
    /// Shows that the requests of cold servers are checked: servers do not say that they are cold.
    CheckCold = "check-cold",
}

/// Returns whether a kind of fault makes servers cold.
pub(super) fn has_cold_servers(faults: &Set<FaultKind>) -> bool {
    faults.contains(&FaultKind::ColdStart) || faults.contains(&FaultKind::ColdAgain)
}

/// Parses a list of kinds and groups of faults, separated by commas: `server`, `cold`, `copy`, `answer`,
/// `connection`, `entry`, `route`, `evacuate` and `store` are groups, `faulty-servers` the first five of them
/// without `cold`, `all` all and `none` none. The kinds of the group `check` show that a soak fails; `all` does not hold them.
///
/// # Errors
///
/// Fails with a message that names the first unknown part and the known ones.
pub fn parse_faults(list: &str) -> Result<Set<FaultKind>, String> {
    let mut faults = Set::default();
    for part in list.split(',').filter(|part| *part != "none") {
        let is_meant = |name: &str| {
            let group = name.split('-').next().unwrap_or_default();
            (part == "all" && group != "check")
                || part == name
                || part == group
                || (part == "faulty-servers"
                    && !["cold", "entry", "route", "evacuate", "store", "check"].contains(&group))
        };
        let before = faults.len();
        let meant = NAMES.iter().filter(|(_, name)| is_meant(name));
        faults.extend(meant.map(|(kind, _)| *kind));
        if faults.len() == before && !NAMES.iter().any(|(_, name)| is_meant(name)) {
            let names: Vec<_> = NAMES.iter().map(|(_, name)| *name).collect();
            let names = names.join(", ");
            return Err(format!(
                "--faults {part}: expected none, all, faulty-servers, server, cold, copy, answer, connection, \
                 entry, route, evacuate, store, {names}"
            ));
        }
    }
    Ok(faults)
}
