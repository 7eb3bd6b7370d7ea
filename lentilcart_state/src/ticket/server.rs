use lentilcart_util::{Name, common};

common! { message,
    /// A server that a ticket lists for a service. The servers of a gateway register themselves:
    /// [`ServerRegistration`](crate::ServerRegistration).
    pub struct Server {
        /// IP address and port for requests.
        pub address: std::net::SocketAddr,
        /// Data centre of the server.
        pub data_center: Name,
        /// Number of requests that the server runs at once.
        pub slots: u32,
    }
}
