use lentilcart::state::RequestClass;
use lentilcart_util::Micros;

/// Work of a straggler as a multiple of the usual work.
pub const STRAGGLER_FACTOR: f64 = 30.0;

/// A service of a firm, at the size of today.
#[derive(Debug, Clone, Copy)]
pub struct FirmService {
    /// Name.
    pub name: &'static str,
    /// Number of servers.
    pub servers: usize,
    /// Class of its requests.
    pub class: RequestClass,
    /// Priority of its requests.
    pub priority: u8,
    /// Mean work of a request that is no straggler.
    pub work: Micros,
}

impl FirmService {
    /// Returns the requests a second that the servers can do where a share of them are stragglers
    /// and nothing slows a server.
    #[must_use]
    pub fn get_capacity(&self, straggler: f64) -> f64 {
        let mean = self.work.as_secs() * (1.0 + straggler * (STRAGGLER_FACTOR - 1.0));
        self.servers as f64 * SLOTS / mean
    }
}

/// A firm's deployment, at the size of today.
#[derive(Debug, Clone, Copy)]
pub struct Firm {
    /// Name.
    pub name: &'static str,
    /// Data centres.
    pub centers: [&'static str; 4],
    /// One-way latency between data centres.
    pub one_way: Micros,
    /// Services.
    pub services: [FirmService; 3],
}

const SLOTS: f64 = 3.0;
const MEAN_WORK: Micros = Micros::from_millis(20);

const fn service(
    name: &'static str,
    servers: usize,
    class: RequestClass,
    priority: u8,
) -> FirmService {
    FirmService {
        name,
        servers,
        class,
        priority,
        work: MEAN_WORK,
    }
}

/// Traviesas del Norte Repuestos, region norte.
pub const TRAVIESAS: Firm = Firm {
    name: "traviesas",
    centers: ["bilbao", "santander", "oviedo", "pamplona"],
    one_way: Micros(1500),
    services: [
        service("catalogue", 16, RequestClass::Idempotent, 3),
        service("reservations", 8, RequestClass::Once, 7),
        service("checkout", 8, RequestClass::Once, 8),
    ],
};

/// Žarnica Lab, region si-central.
pub const ZARNICA: Firm = Firm {
    name: "zarnica",
    centers: ["a", "b", "c", "d"],
    one_way: Micros(500),
    services: [
        service("pairing", 12, RequestClass::Idempotent, 5),
        service("fitting-lists", 10, RequestClass::Once, 6),
        service("sample-orders", 8, RequestClass::Once, 7),
    ],
};

/// Returns the firm of a name.
#[must_use]
pub fn get_firm(name: &str) -> Option<Firm> {
    [TRAVIESAS, ZARNICA]
        .into_iter()
        .find(|firm| firm.name == name)
}
