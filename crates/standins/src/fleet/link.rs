use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener as BlockingListener},
    sync::Arc,
};

use rustix::net::{Shutdown, listen, shutdown};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::{JoinHandle, JoinSet},
};

use super::down::fill_accept_queue;

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

/// The number of connections that wait to be accepted.
const BACKLOG: i32 = 128;
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
        let (socket, address) = bind_any()?;
        let state = Arc::new(watch::Sender::new(LinkState::Open));
        let task = tokio::spawn(run(socket, address, target, state.subscribe()));
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

/// Binds a socket that listens to a port that nobody uses.
///
/// A socket that is bound to a given port keeps it while it does not listen: another
/// program at this port would accept connections that the link is to refuse.
fn bind_any() -> io::Result<(BlockingListener, SocketAddr)> {
    loop {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let address = BlockingListener::bind(any_port)?.local_addr()?;
        match super::down::listen(address) {
            Ok(listener) => return Ok((listener.into_std()?, address)),
            // Another program was faster.
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

async fn run(
    socket: BlockingListener,
    address: SocketAddr,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    let mut connections = JoinSet::new();
    loop {
        let current = *state.borrow_and_update();
        let is_changed = match current {
            LinkState::Open => {
                // Each phase has a listener of its own, since the readiness of one that was
                // shut down is lost.
                let listener = socket.try_clone().and_then(TcpListener::from_std);
                let listener = listener.expect("descriptors are left");
                accept(&listener, target, &mut state, &mut connections).await;
                Ok(())
            }
            LinkState::Silent => {
                let waiting = fill_accept_queue(address).await;
                let changed = state.changed().await;
                drop(waiting);
                changed
            }
            LinkState::Reset | LinkState::HalfOpen => {
                let refused = shutdown(&socket, Shutdown::Both);
                let changed = state.changed().await;
                let listening = listen(&socket, BACKLOG);
                refused.and(listening).expect("the port is kept");
                changed
            }
        };
        if is_changed.is_err() || state.has_changed().is_err() {
            return;
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
