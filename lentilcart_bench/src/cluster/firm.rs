use lentilcart::state::RequestClass;
use lentilcart_util::Micros;

/// Service time of a straggler, as a multiple of the usual service time; the model of one data centre
/// has a factor of its own.
pub const STRAGGLER_FACTOR: f64 = 30.0;

/// A service of a firm.
#[derive(Debug, Clone, Copy)]
pub struct FirmService {
    /// Name.
    pub name: &'static str,
    /// Number of servers.
    pub servers: usize,
    /// Class of its requests, which says whether they may run more than once.
    pub class: RequestClass,
    /// Priority of its requests.
    pub priority: u8,
    /// Mean service time of a request that is not a straggler.
    pub service_time: Micros,
}

impl FirmService {
    /// Returns the capacity in requests per second, if `straggler_share` of the requests are stragglers
    /// and nothing slows a server.
    #[must_use]
    pub fn get_capacity(&self, straggler_share: f64) -> f64 {
        let mean_seconds =
            self.service_time.as_secs() * (1.0 + straggler_share * (STRAGGLER_FACTOR - 1.0));
        self.servers as f64 * SLOTS / mean_seconds
    }
}

/// Example customer: its data centres, network latency and services.
#[derive(Debug, Clone, Copy)]
pub struct Firm {
    /// Name.
    pub name: &'static str,
    /// Names of the data centres.
    pub data_centers: [&'static str; 4],
    /// One-way network latency between data centres.
    pub one_way: Micros,
    /// Services, of which the first is the one that the actions of scenarios concern.
    pub services: [FirmService; 3],
}

/// Requests that a server runs at the same time; the same in the tickets, the server stubs and the
/// reference.
const SLOTS: f64 = 3.0;
/// Mean service time of every service.
const MEAN_SERVICE_TIME: Micros = Micros::from_millis(20);

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
        service_time: MEAN_SERVICE_TIME,
    }
}

/// Traviesas del Norte Repuestos, region norte: a customer with 4 data centres, 1.5 ms apart.
pub const TRAVIESAS: Firm = Firm {
    name: "traviesas",
    data_centers: ["bilbao", "santander", "oviedo", "pamplona"],
    one_way: Micros(1500),
    services: [
        service("catalogue", 16, RequestClass::Idempotent, 3),
        service("reservations", 8, RequestClass::Once, 7),
        service("checkout", 8, RequestClass::Once, 8),
    ],
};

/// Žarnica Lab, region si-central: a customer with 4 data centres, 0.5 ms apart.
pub const ZARNICA: Firm = Firm {
    name: "zarnica",
    data_centers: ["a", "b", "c", "d"],
    one_way: Micros(500),
    services: [
        service("pairing", 12, RequestClass::Idempotent, 5),
        service("fitting-lists", 10, RequestClass::Once, 6),
        service("sample-orders", 8, RequestClass::Once, 7),
    ],
};

/// Returns the firm with a name.
#[must_use]
pub fn get_firm(name: &str) -> Option<Firm> {
    [TRAVIESAS, ZARNICA]
        .into_iter()
        .find(|firm| firm.name == name)
}
