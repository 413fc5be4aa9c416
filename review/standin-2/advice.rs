//! The advice service: which workers may run a step, with tickets.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::Server;
use crate::json::{Json, num, table, text};

pub const DECIDE_MS: f64 = 450.0;
pub const PERIOD_MS: f64 = 6.4;
pub const VALID_MS: u64 = 2000;

/// Tickets that were issued: step, worker and the time of expiry.
pub type Tickets = Arc<Mutex<HashMap<String, (String, String, Instant)>>>;

/// Returns whether a policy with this share of allowed workers lets a worker run a step.
fn allows(step: &str, worker: &str, share: f64) -> bool {
    let mut hasher = DefaultHasher::new();
    (step, worker).hash(&mut hasher);
    (hasher.finish() % 1000) as f64 / 1000.0 < share
}

/// Starts the service as one calling machine reaches it. The calls of a machine are handled one at a time.
pub fn start(share: f64, tickets: Tickets) -> Option<SocketAddr> {
    let turn = Mutex::new(());
    let server = Server::start("127.0.0.1:0".parse().ok()?, move |request| {
        let _turn = turn.lock().unwrap();
        let body = Json::parse(&request.body)?;
        let step = body.get("step").str();
        let workers = body.get("workers").list();
        let time = DECIDE_MS + PERIOD_MS * workers.len() as f64;
        std::thread::sleep(Duration::from_micros((time * 1000.0) as u64));
        let mut issued = tickets.lock().unwrap();
        let allowed = workers
            .iter()
            .map(Json::str)
            .filter(|worker| allows(step, worker, share));
        let rows: Vec<Json> = allowed
            .map(|worker| {
                let ticket = format!("t-{}", issued.len());
                let until = Instant::now() + Duration::from_millis(VALID_MS);
                issued.insert(ticket.clone(), (step.to_owned(), worker.to_owned(), until));
                Json::List(vec![text(worker), text(ticket)])
            })
            .collect();
        Some((
            200,
            table([("allowed", Json::List(rows)), ("validMs", num(VALID_MS))]).to_string(),
        ))
    });
    server.ok().map(|server| server.address)
}

/// Returns whether a ticket is valid for a task on a worker.
pub fn is_valid(tickets: &Tickets, ticket: &str, task: &str, worker: &str) -> bool {
    let tickets = tickets.lock().unwrap();
    tickets.get(ticket).is_some_and(|(step, named, until)| {
        task.starts_with(&format!("{step}.")) && named == worker && Instant::now() < *until
    })
}
