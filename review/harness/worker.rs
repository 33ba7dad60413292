//! A stand-in for a worker. It runs each request for a given time and records it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::http;
use crate::http::Response;
use crate::record::Record;

/// A worker.
pub struct Worker {
    address: SocketAddr,
    delay: Arc<Mutex<Duration>>,
}

impl Worker {
    /// Starts a worker at an address; port 0 stands for any free port.
    pub fn start(id: &str, address: SocketAddr, record: &Record) -> std::io::Result<Worker> {
        let delay = Arc::new(Mutex::new(Duration::from_millis(20)));
        let (own_id, record) = (id.to_owned(), record.clone());
        let own_delay = Arc::clone(&delay);
        let address = http::serve(address, move |request| {
            let attempt = request.header("x-copperweir-attempt-id").to_owned();
            let mut headers = vec![("X-Copperweir-Attempt-Id".to_owned(), attempt.clone())];
            if request.path() == "/health" {
                headers.push(("X-Copperweir-Instance-Id".to_owned(), own_id.clone()));
                return Some(Response { status: 200, headers, body: Vec::new() });
            }
            let expected = request.header("x-copperweir-expect-instance");
            if !expected.is_empty() && expected != own_id {
                return Some(Response { status: 421, headers, body: Vec::new() });
            }
            record.run(&own_id, &attempt);
            let delay = *own_delay.lock().unwrap();
            std::thread::sleep(delay);
            headers.push(("X-Copperweir-Server-Seal".to_owned(), format!("seal-of-{own_id}")));
            let body = format!("done by {own_id}\n").into_bytes();
            Some(Response { status: 200, headers, body })
        })?;
        Ok(Worker { address, delay })
    }

    /// Sets how long it works on a request.
    pub fn set_delay(&self, delay: Duration) {
        *self.delay.lock().unwrap() = delay;
    }

    /// Its entry in the store; `born` is the millisecond of its start, by its machine's clock.
    pub fn entry(&self, service: &str, zone: &str, state: &str, born: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":1,\"born\":{born}}}",
            self.address
        )
    }
}
