//! Ports for processes that open them themselves.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the first block. The blocks end below 32768, from where on the system takes the ports
/// of outgoing connections, which would collide.
const FIRST_PORT: u16 = 12_000;

const BLOCK_PORTS: u16 = 1000;

const BLOCKS: u16 = 20;

/// Ports of one test binary.
struct PortBlock {
    first: u16,
    next: AtomicU16,
    /// Keeps other test binaries out of the block.
    _mark: TcpListener,
}

static BLOCK: OnceLock<PortBlock> = OnceLock::new();

/// Returns an address on which nothing listens, and that is not given out again soon.
pub fn free_address() -> SocketAddr {
    let block = BLOCK.get_or_init(take_block);
    loop {
        let next = block.next.fetch_add(1, Ordering::Relaxed) % (BLOCK_PORTS - 1);
        let port = block.first + 1 + next;
        if bind(port).is_some() {
            return (Ipv4Addr::LOCALHOST, port).into();
        }
    }
}

fn take_block() -> PortBlock {
    let firsts = (0..BLOCKS).map(|number| FIRST_PORT + number * BLOCK_PORTS);
    let mut marks = firsts.filter_map(|first| Some((first, bind(first)?)));
    let (first, mark) = marks.next().expect("a free block of ports");
    PortBlock {
        first,
        next: AtomicU16::new(0),
        _mark: mark,
    }
}

fn bind(port: u16) -> Option<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok()
}
