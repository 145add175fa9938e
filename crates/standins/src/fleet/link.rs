use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use super::down::{fill_accept_queue, listen};

/// How a link treats connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkState {
    /// They are passed on.
    #[default]
    Open,
    /// Open ones pass nothing on, and new ones get no answer.
    Silent,
    /// Open ones are reset, and new ones are refused.
    Reset,
    /// Open ones live on, and new ones are refused.
    HalfOpen,
}

/// The interval at which a port is tried that is still in use.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);
const BUFFER_BYTES: usize = 16 * 1024;

/// The network between one VM and one sampler.
#[derive(Debug)]
pub struct Link {
    /// The address at which the VM reaches the sampler.
    pub address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Starts a link to a sampler's address.
    ///
    /// # Errors
    ///
    /// Returns the error of binding a port.
    pub fn try_start(target: SocketAddr) -> io::Result<Self> {
        let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = listener.local_addr()?;
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let task = tokio::spawn(run(listener, address, target, state.subscribe()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Changes how the link treats connections.
    pub fn set_state(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    first_listener: TcpListener,
    address: SocketAddr,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    let mut listener = Some(first_listener);
    let mut connections = JoinSet::new();
    loop {
        let current = *state.borrow_and_update();
        match current {
            LinkState::Open => {
                let open = match listener.take() {
                    Some(open) => open,
                    None => bind_again(address).await,
                };
                accept(&open, target, &mut state, &mut connections).await;
                listener = Some(open);
            }
            LinkState::Silent => {
                let open = match listener.take() {
                    Some(open) => open,
                    None => bind_again(address).await,
                };
                let waiting = fill_accept_queue(address).await;
                let changed = state.changed().await;
                drop(waiting);
                listener = Some(open);
                if changed.is_err() {
                    return;
                }
            }
            LinkState::Reset | LinkState::HalfOpen => {
                drop(listener.take());
                if state.changed().await.is_err() {
                    return;
                }
            }
        }
        if state.has_changed().is_err() {
            return;
        }
    }
}

async fn bind_again(address: SocketAddr) -> TcpListener {
    loop {
        match listen(address) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
        }
    }
}

/// Accepts connections until the state changes.
async fn accept(
    listener: &TcpListener,
    target: SocketAddr,
    state: &mut watch::Receiver<LinkState>,
    connections: &mut JoinSet<()>,
) {
    let passed = state.clone();
    loop {
        tokio::select! {
            changed = state.wait_for(|state| *state != LinkState::Open) => {
                drop(changed);
                return;
            }
            accepted = listener.accept() => {
                if let Ok((client, _)) = accepted {
                    connections.spawn(connect_through(client, target, passed.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connect_through(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    // Without this, a small message waits for an acknowledgement.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let _ = client.set_zero_linger();
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let out = pump(from_client, to_server, state.clone());
    let back = pump(from_server, to_client, state.clone());
    tokio::select! {
        // Dropping the halves resets the client's connection.
        _ = state.wait_for(|state| *state == LinkState::Reset) => {}
        () = out => {}
        () = back => {}
    }
}

/// Passes bytes on until the connection ends, none while the link is silent.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        let is_passing = state
            .wait_for(|state| *state != LinkState::Silent)
            .await
            .is_ok();
        if !is_passing {
            return;
        }
        match read {
            Ok(count) if count > 0 => {
                if to.write_all(&buffer[..count]).await.is_err() {
                    return;
                }
            }
            Ok(_) | Err(_) => return,
        }
    }
}
