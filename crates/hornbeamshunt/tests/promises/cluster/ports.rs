//! Allocates ports for processes that bind them on their own.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of the first block. The blocks end below 32768, since the system assigns ports from
/// there on to outgoing connections, which would collide.
const FIRST_PORT: u16 = 12_000;

/// Number of ports of a block, including the one that is held as a lock.
const PORTS_PER_BLOCK: u16 = 1000;

/// Number of blocks.
const BLOCK_COUNT: u16 = 20;

/// Block of ports that one test binary has claimed.
struct PortBlock {
    first: u16,
    next: AtomicU16,
    /// Listener on the first port of the block, which keeps other test binaries from claiming it.
    _lock: TcpListener,
}

static BLOCK: OnceLock<PortBlock> = OnceLock::new();

/// Returns an address on which nothing listens. It is not returned again before all others of the
/// block.
pub fn free_address() -> SocketAddr {
    let block = BLOCK.get_or_init(claim_block);
    loop {
        let next = block.next.fetch_add(1, Ordering::Relaxed) % (PORTS_PER_BLOCK - 1);
        let port = block.first + 1 + next;
        if bind(port).is_some() {
            return (Ipv4Addr::LOCALHOST, port).into();
        }
    }
}

fn claim_block() -> PortBlock {
    let firsts = (0..BLOCK_COUNT).map(|number| FIRST_PORT + number * PORTS_PER_BLOCK);
    let mut claims = firsts.filter_map(|first| Some((first, bind(first)?)));
    let (first, lock) = claims.next().expect("a free block of ports");
    PortBlock {
        first,
        next: AtomicU16::new(0),
        _lock: lock,
    }
}

fn bind(port: u16) -> Option<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, port)).ok()
}
