//! A connection with bounds on dead paths, which a peer that doesn't read doesn't exceed.
//!
//! Whoever reads from or writes to the connection drives the checks. They begin with a write and end
//! once the peer's host has everything, so an idle connection has none. Where the operating system
//! doesn't report the progress of a connection, its bounds remain as they are.

use std::io;
use std::io::IoSlice;
use std::os::fd::AsFd;
use std::os::fd::BorrowedFd;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use nix::getsockopt_impl;
use nix::libc;
use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::GetStruct;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tonic::transport::server::Connected;
use tonic::transport::server::TcpConnectInfo;

use super::Liveness;
use super::window::INFO_BYTES;
use super::window::Progress;
use super::window::Stall;
use super::window::Verdict;
use crate::state::clock;
use crate::transport::timer::Alarm;

/// Number of checks within the bound on unacknowledged data.
const CHECKS_PER_BOUND: u32 = 4;

/// State of a connection, as `struct tcp_info` begins.
#[derive(Clone, Copy, Debug)]
struct TcpInfo;

getsockopt_impl!(
    TcpInfo,
    libc::IPPROTO_TCP,
    libc::TCP_INFO,
    [u8; INFO_BYTES],
    GetStruct<[u8; INFO_BYTES]>
);

/// A connection.
#[derive(Debug)]
pub struct Stream {
    stream: TcpStream,
    bounds: Liveness,
    /// Set while data may be unacknowledged.
    check: Option<Alarm>,
    stall: Stall,
    /// Whether the bound on unacknowledged data isn't the usual one.
    is_extended: bool,
    is_observable: bool,
}

impl Stream {
    /// Applies bounds to a connection.
    pub fn new(stream: TcpStream, bounds: Liveness) -> Stream {
        bounds.apply(&stream);
        Stream {
            stream,
            bounds,
            check: None,
            stall: Stall::default(),
            is_extended: false,
            is_observable: true,
        }
    }

    /// The connection without its checks.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }

    /// Removes the bound on unacknowledged data, as nothing moves it once the connection is closed.
    /// The operating system has bounds of its own on what a closed connection still has to send.
    pub fn leave_to_system(&self) {
        if self.check.is_some() || self.is_extended {
            // The connection may have ended already.
            let _ = SockRef::from(&self.stream).set_tcp_user_timeout(None);
        }
    }

    fn check_interval(&self) -> Duration {
        self.bounds.unacknowledged / CHECKS_PER_BOUND
    }

    fn begin_checks(&mut self, context: &mut Context<'_>) {
        if self.check.is_none() && self.is_observable {
            self.check = Some(Alarm::new(self.check_interval()));
            self.poll_checks(context);
        }
    }

    fn poll_checks(&mut self, context: &mut Context<'_>) {
        while let Some(check) = &mut self.check
            && check.poll(context).is_ready()
        {
            let interval = self.check_interval();
            match self.check_once(interval) {
                Ok(true) => self.check = None,
                Ok(false) => self.check = Some(Alarm::new(interval)),
                Err(error) => {
                    log::debug!("event=liveness_not_observed error=\"{error}\"");
                    self.is_observable = false;
                    self.check = None;
                }
            }
        }
    }

    /// Adjusts the bound. Returns whether the peer's host has all data.
    fn check_once(&mut self, interval: Duration) -> io::Result<bool> {
        let progress = Progress::from(getsockopt(&self.stream, TcpInfo)?);
        let usual = self.bounds.unacknowledged;
        let verdict = self.stall.observe(&progress, usual, interval, clock::now());
        match verdict {
            Verdict::Unread(bound) => self.set_bound(bound)?,
            Verdict::Complete | Verdict::Advancing if self.is_extended => self.set_bound(usual)?,
            Verdict::Complete | Verdict::Advancing | Verdict::Unanswered => {}
        }
        Ok(verdict == Verdict::Complete)
    }

    fn set_bound(&mut self, bound: Duration) -> io::Result<()> {
        SockRef::from(&self.stream).set_tcp_user_timeout(Some(bound))?;
        self.is_extended = bound != self.bounds.unacknowledged;
        Ok(())
    }
}

impl AsFd for Stream {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl Connected for Stream {
    type ConnectInfo = TcpConnectInfo;

    fn connect_info(&self) -> TcpConnectInfo {
        self.stream.connect_info()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_checks(context);
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_checks(context);
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.begin_checks(context);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_checks(context);
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.begin_checks(context);
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_checks(context);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.leave_to_system();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
