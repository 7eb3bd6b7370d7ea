//! A small deployment: a store, daemons in two zones, and the operator's configuration.

use std::net::SocketAddr;
use std::path::Path;

use crate::daemon::{Daemon, Place, Ports, TemporaryFolder};
use crate::net::{free_port, ip};
use crate::record::Record;
use crate::store::Store;

pub const ZONES: [&str; 2] = ["bilbao", "santander"];
const STORE_HOST: u8 = 100;

pub struct World {
    pub record: Record,
    pub store: Store,
    pub daemons: Vec<Daemon>,
    _folder: TemporaryFolder,
}

/// Route of the operator's configuration, with one service.
#[derive(Clone, Copy)]
pub struct Route<'a> {
    pub host: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    /// Another service that the configuration declares.
    pub other_service: &'a str,
    pub timeout_ms: u32,
    pub target_ms: u32,
}

impl Route<'_> {
    /// Returns the operator's configuration with this route.
    pub fn config(&self, version: u32) -> String {
        let services = [self.service, self.other_service].map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":220}}")
        });
        let limits = "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
        let path = format!(
            "{{\"name\":\"r-1\",\"pathPrefix\":\"{}\",\"routeKind\":\"{}\",\"timeoutMs\":{},\"targetLatencyMs\":{},\"priority\":1,\"service\":\"{}\",\"maxAttempts\":2}}",
            self.prefix, self.kind, self.timeout_ms, self.target_ms, self.service
        );
        format!(
            "{{\"version\":\"r{version}\",\"services\":[{}],\"limits\":{limits},\"hosts\":[{{\"host\":\"{}\",\"paths\":[{path}]}}]}}",
            services.join(","),
            self.host
        )
    }
}

impl World {
    /// Starts the store with a configuration, and a daemon in each zone. `register` writes the entries of
    /// the servers before the daemons start.
    pub fn start(
        folder: &Path,
        route: &Route<'_>,
        grace_s: u32,
        register: impl FnOnce(&Store, &Record),
    ) -> Self {
        let record = Record::create(&folder.join("record.txt"));
        let store = Store::start(SocketAddr::new(ip(STORE_HOST), 0));
        store.put("op/config", &route.config(7));
        register(&store, &record);
        let temporary = TemporaryFolder::create();
        let hosts: Vec<u8> = (1..=ZONES.len() as u8).collect();
        let ports = Ports {
            callers: free_port(&hosts),
            ready: free_port(&hosts),
            ops: free_port(&hosts),
            peer: free_port(&hosts),
        };
        let seeds: Vec<_> = hosts.iter().map(|host| ip(*host)).collect();
        let daemons = ZONES.iter().zip(&hosts).map(|(zone, host)| {
            let name = format!("edge-{zone}-1");
            let place = Place {
                name: &name,
                zone,
                ip: ip(*host),
                seeds: &seeds,
                store: store.address,
                grace_s,
            };
            Daemon::start(&place, ports, &temporary.0)
        });
        let daemons: Vec<Daemon> = daemons.collect();
        for daemon in &daemons {
            daemon.await_ready();
            record.line(&format!("{} is ready at {}", daemon.name, daemon.callers));
        }
        Self {
            record,
            store,
            daemons,
            _folder: temporary,
        }
    }

    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.iter().map(|daemon| daemon.callers).collect()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.record.flush();
    }
}
