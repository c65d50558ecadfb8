//! A proxy on loopback that troubles the connections through it.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use base::seed::Generator;
use rand::RngExt;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at once.
const CHUNK: usize = 16 * 1_024;

/// What connections suffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    None,
    /// Each piece is passed on this many milliseconds late, both ways.
    Delay(u64),
    /// Open connections are reset, and new ones at once.
    Reset,
    /// Nothing passes towards the listener.
    CutThere,
    /// Nothing passes back.
    CutBack,
    /// Nothing passes.
    Silent,
}

impl Trouble {
    /// Draws a trouble; delays stay below a limit.
    pub fn draw(generator: &mut Generator, delay_max_ms: u64) -> Self {
        match generator.random_range(0..5) {
            0 => Self::Delay(generator.random_range(1..delay_max_ms)),
            1 => Self::Reset,
            2 => Self::CutThere,
            3 => Self::CutBack,
            _ => Self::Silent,
        }
    }

    const fn holds(self, way: Way) -> bool {
        match self {
            Self::Silent => true,
            Self::CutThere => matches!(way, Way::There),
            Self::CutBack => matches!(way, Way::Back),
            Self::None | Self::Delay(_) | Self::Reset => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Way {
    There,
    Back,
}

/// A running proxy; dropping it leaves its connections to themselves.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    trouble: watch::Sender<Trouble>,
}

impl Proxy {
    /// Listens on a free port at the same IP number, and passes connections on to `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::new(target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let (trouble, seen) = watch::channel(Trouble::None);
        tokio::spawn(async move {
            while let Ok((stream, _from)) = listener.accept().await {
                tokio::spawn(pass(stream, target, seen.clone()));
            }
        });
        Ok(Self { address, trouble })
    }

    /// Troubles open and new connections from now on.
    pub fn set(&self, trouble: Trouble) {
        self.trouble.send_replace(trouble);
    }
}

/// Passes one connection on until both ways have ended or one is broken.
async fn pass(caller: TcpStream, target: SocketAddr, mut seen: watch::Receiver<Trouble>) {
    let is_unheard = |trouble: &Trouble| !trouble.holds(Way::There);
    if seen.wait_for(is_unheard).await.is_err() {
        return;
    }
    if *seen.borrow() == Trouble::Reset {
        return reset(&caller);
    }
    let Ok(listener) = TcpStream::connect(target).await else {
        return reset(&caller);
    };
    for stream in [&caller, &listener] {
        // Only the delay of small pieces is at stake.
        let _kept = stream.set_nodelay(true);
    }
    let (from_caller, to_caller) = caller.into_split();
    let (from_listener, to_listener) = listener.into_split();
    let there = pump(from_caller, to_listener, Way::There, seen.clone());
    let back = pump(from_listener, to_caller, Way::Back, seen);
    // The first broken way breaks the other.
    let _broken = tokio::try_join!(there, back);
}

/// Passes bytes one way until the sender ends; an error breaks the connection.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut seen: watch::Receiver<Trouble>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK];
    let broken = loop {
        let length = tokio::select! {
            _changed = seen.wait_for(|trouble| *trouble == Trouble::Reset) => break io::ErrorKind::ConnectionReset.into(),
            read = from.read(&mut chunk) => match read {
                Ok(length) => length,
                Err(error) => break error,
            },
        };
        let passes = |trouble: &Trouble| !trouble.holds(way);
        let trouble = match seen.wait_for(passes).await {
            Ok(trouble) => *trouble,
            Err(_ended) => Trouble::None,
        };
        match trouble {
            Trouble::Reset => break io::ErrorKind::ConnectionReset.into(),
            Trouble::Delay(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
            Trouble::None | Trouble::CutThere | Trouble::CutBack | Trouble::Silent => {}
        }
        if length == 0 {
            return to.shutdown().await;
        }
        if let Err(error) = to.write_all(&chunk[..length]).await {
            break error;
        }
    };
    reset(from.as_ref());
    reset(to.as_ref());
    Err(broken)
}

/// Lets the connection end with a reset once it is dropped.
fn reset(stream: &TcpStream) {
    // One that is already broken needs none.
    let _broken = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
