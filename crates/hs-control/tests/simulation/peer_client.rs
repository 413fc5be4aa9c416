//! A peer that sends calls whose content no process would send.

use std::future::{Ready, ready};
use std::io;
use std::task::{Context, Poll};

use hs_control::message::cell_client::CellClient;
use hs_control::message::{AcceptRequest, AdviseRequest, JobRow, OfferRequest};
use hyper_util::rt::TokioIo;
use tokio::io::DuplexStream;
use tonic::codegen::Service;
use tonic::transport::{Endpoint, Uri};

use crate::world::SharedWorld;

/// Value of a job that can't be decoded.
const MALFORMED_SPEC: &[u8] = b"{\"a\":{\"queue\":[[[[[[1e400,\"\xff\"]]]]]]}}";

/// Opens connections without a charge for processor time.
struct FreeConnector {
    world: SharedWorld,
}

impl Service<Uri> for FreeConnector {
    type Response = TokioIo<DuplexStream>;
    type Error = io::Error;
    type Future = Ready<io::Result<Self::Response>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let address = uri.authority().expect("the URI names an address");
        let opened = self.world.lock().network.connect(address.as_str());
        ready(opened.map(TokioIo::new))
    }
}

/// Sends one malformed call of each kind to a process, and counts those that it rejects.
pub async fn send_malformed_calls(world: SharedWorld, address: String) {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).expect("an address");
    let connector = FreeConnector {
        world: world.clone(),
    };
    let mut client = CellClient::new(endpoint.connect_with_connector_lazy(connector));
    let row = JobRow {
        id: 1,
        spec: MALFORMED_SPEC.to_vec(),
    };
    let offer = OfferRequest {
        jobs: vec![row.clone()],
        cancelled: vec![u64::MAX],
    };
    let accept = AcceptRequest {
        job: Some(row),
        cancel: false,
        limit_ms: u64::MAX,
    };
    let advise = AdviseRequest {
        step: "\u{0}..%n".to_owned(),
        workers: vec![String::new(); 100],
        limit_ms: u64::MAX,
    };
    let rejected = [
        client.offer(offer).await.is_err(),
        client.accept(accept).await.is_err(),
        client.advise(advise).await.is_err(),
    ];
    let count = rejected.iter().filter(|is_rejected| **is_rejected).count();
    world.lock().observer.malformed_calls_rejected += count;
}
