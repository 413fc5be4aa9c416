//! Tests of the client whose calls drive their connections.

mod connections;
mod peer;
mod replies;
