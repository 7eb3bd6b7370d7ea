use lentilcart_util::{Name, common};

common! { message,
    /// A server of a service.
    pub struct Server {
        /// IP address and port.
        pub address: std::net::SocketAddr,
        /// Data centre that the server stands in.
        pub data_center: Name,
        /// Requests that the server runs at once.
        pub slots: u32,
    }
}
