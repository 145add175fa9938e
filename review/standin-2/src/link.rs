//! Links with a bandwidth.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
};

const BUFFER_BYTES: usize = 16 * 1024;

/// One direction of a link; all connections over it share its bandwidth.
#[derive(Clone)]
pub struct Way {
    bytes_per_s: f64,
    free_at: Arc<Mutex<Instant>>,
}

impl Way {
    pub fn new(mbps: f64) -> Self {
        Self {
            bytes_per_s: mbps * 125_000.0,
            free_at: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Waits until the link has passed on so many bytes.
    pub async fn take(&self, bytes: usize) {
        let until = {
            let mut free_at = self.free_at.lock().expect("not poisoned");
            let from = (*free_at).max(Instant::now());
            *free_at = from + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at
        };
        // The bytes of the next milliseconds may pass at once: timers are no finer.
        if until > Instant::now() + Duration::from_millis(2) {
            tokio::time::sleep_until(until.into()).await;
        }
    }
}

/// Starts a link to an address; `out` and `back` bound what passes to and from it.
pub async fn start(target: SocketAddr, out: Way, back: Way) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let (out, back) = (out.clone(), back.clone());
            tokio::spawn(async move {
                let Ok(server) = TcpStream::connect(target).await else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (client_read, client_write) = client.into_split();
                let (server_read, server_write) = server.into_split();
                tokio::select! {
                    () = pump(client_read, server_write, out) => {}
                    () = pump(server_read, client_write, back) => {}
                }
            });
        }
    });
    address
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, way: Way) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count) = from.read(&mut buffer).await {
        if count == 0 {
            return;
        }
        way.take(count).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
