//! IP numbers of a fleet's VMs.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};

/// The first second octet that fleets use; those below are left to tests with fixed addresses.
const FIRST_OCTET: u8 = 100;
/// How many second octets fleets use.
const OCTETS: u8 = 150;

static DRAWN: AtomicU8 = AtomicU8::new(0);

/// A /24 of the loopback range that no other fleet on this machine is likely to use.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Draws a network from the process id and the number of networks drawn before.
    pub fn draw() -> Self {
        let id = std::process::id();
        let nth = DRAWN.fetch_add(1, Ordering::Relaxed);
        let second = FIRST_OCTET + u8::try_from(id % u32::from(OCTETS)).unwrap_or_default();
        let third = u8::try_from(id / u32::from(OCTETS) % 16).unwrap_or_default();
        Self {
            second,
            third: third * 16 + nth % 16,
        }
    }

    /// The address of a port on the VM with the given number.
    pub fn addr(self, host: usize, port: u16) -> SocketAddr {
        let host = u8::try_from(host % 254 + 1).unwrap_or(1);
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host)),
            port,
        )
    }
}
