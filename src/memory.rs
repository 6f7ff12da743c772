//! The memory budget: how many bytes each holder may hold of what clients, endpoints, peers and the registry make the
//! process hold, and how much each holds now. No I/O.
//!
//! The configured limit covers everything: the process, its files, and what the kernel holds for its connections. A
//! [`MemoryPlan`] divides it into shares, so that no holder takes what another one counts on. When a share is used up,
//! its holder gives way in this order:
//!
//! 1. capacity that buffers do not use is released, always;
//! 2. messages, sessions, subscriptions and frames that do not fit are refused, and the refusal says that nothing ran;
//! 3. of the connections with an incomplete command, the one that has stood longest is refused and closed.
//!
//! What was accepted is kept, and a connection that waits for its answer gets it.

use std::cell::Cell;

/// Bytes of a megabyte in the configuration.
const MEGABYTE: usize = 1_000_000;
/// Bytes of memory if the configuration does not say.
pub const DEFAULT_MEMORY_BYTES: usize = 192 * MEGABYTE;
/// File descriptors if the configuration does not say.
const DEFAULT_DESCRIPTORS: usize = 1024;

// Shares of the limit, as divisors. What they leave is for the process itself.

/// Files of the state folder, and with them the messages that they hold.
const FILES_DIVISOR: usize = 8;
/// Buffers of the kernel for all descriptors together.
const SOCKETS_DIVISOR: usize = 4;
/// Read and write buffers of connections.
const BUFFERS_DIVISOR: usize = 8;
/// Names, subscriptions and answers that are kept for MQTT clients.
const SESSIONS_DIVISOR: usize = 16;
/// Frames of peers that have not arrived whole.
const FRAMES_DIVISOR: usize = 16;
/// Copies kept for peers.
const COPIES_DIVISOR: usize = 8;
/// An endpoint list of the registry; what is made of its text takes a multiple of it.
const LIST_DIVISOR: usize = 96;
/// Connections that wait to be accepted.
const BACKLOG_DIVISOR: usize = 5;

/// The kernel keeps this multiple of the buffer size that a program sets.
const KERNEL_BUFFER_FACTOR: usize = 2;
/// Of the buffer for the main direction and the one for the other, the main one takes two thirds.
const MAIN_DIRECTION_PARTS: usize = 2;
const ALL_DIRECTION_PARTS: usize = 3;
/// Smallest buffer of the kernel for one direction, as a program sets it.
const SOCKET_BUFFER_MIN: usize = 4 * 1024;
/// Largest such buffer: a whole body with its command.
const SOCKET_BUFFER_MAX: usize = 128 * 1024;
/// Shortest and longest listen backlog. The usual 128 overflow when hundreds of clients connect at once, and a client
/// that finds the backlog full retries after a second, too late for its request.
const BACKLOG_MIN: usize = 128;
const BACKLOG_MAX: usize = 1024;

/// Sizes of the kernel's buffers for a connection, as a program sets them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SocketBuffers {
    /// Bytes for input.
    pub receive: usize,
    /// Bytes for output.
    pub send: usize,
}

impl SocketBuffers {
    /// Bytes that the kernel may hold for one connection.
    pub fn kernel_bytes(&self) -> usize {
        KERNEL_BUFFER_FACTOR * (self.receive + self.send)
    }
}

/// Who holds bytes that others made the process hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// Read and write buffers of connections.
    Buffers,
    /// What is kept for MQTT clients.
    Sessions,
    /// Incomplete frames of peers.
    Frames,
}

const HOLDERS: [(Holder, &str); 3] =
    [(Holder::Buffers, "buffers"), (Holder::Sessions, "sessions"), (Holder::Frames, "frames")];

/// How the configured limit is divided; all sizes in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    limit: usize,
    /// Number of connections for which the kernel's buffers fit.
    pub connections: usize,
    /// The state folder.
    pub files: usize,
    /// Copies for peers.
    pub copies: usize,
    /// The text of an endpoint list.
    pub endpoint_list: usize,
    /// Number of connections that wait to be accepted.
    pub backlog: usize,
    /// Buffers of an accepted connection.
    pub inbound: SocketBuffers,
    /// Buffers of a connection that this process opens.
    pub outbound: SocketBuffers,
}

impl MemoryPlan {
    /// Divides a limit in bytes for a process that may hold this many descriptors.
    pub fn new(limit: usize, descriptors: usize) -> MemoryPlan {
        let sockets = limit / SOCKETS_DIVISOR;
        let each = sockets / descriptors.max(1) / KERNEL_BUFFER_FACTOR;
        let part =
            |parts: usize| (each * parts / ALL_DIRECTION_PARTS).clamp(SOCKET_BUFFER_MIN, SOCKET_BUFFER_MAX);
        let (main, other) = (part(MAIN_DIRECTION_PARTS), part(ALL_DIRECTION_PARTS - MAIN_DIRECTION_PARTS));
        // A longer backlog is worth more than larger buffers.
        let waiting = limit / BACKLOG_DIVISOR / KERNEL_BUFFER_FACTOR;
        let main = main.min((waiting / BACKLOG_MAX).max(SOCKET_BUFFER_MIN));
        let other = other.min(main);
        let inbound = SocketBuffers { receive: main, send: other };
        MemoryPlan {
            limit,
            connections: (sockets / inbound.kernel_bytes()).min(descriptors),
            files: limit / FILES_DIVISOR,
            copies: limit / COPIES_DIVISOR,
            endpoint_list: limit / LIST_DIVISOR,
            backlog: (waiting / main).clamp(BACKLOG_MIN, BACKLOG_MAX),
            inbound,
            outbound: SocketBuffers { receive: other, send: main },
        }
    }

    /// The share of a holder.
    pub fn share(&self, holder: Holder) -> usize {
        let divisor = match holder {
            Holder::Buffers => BUFFERS_DIVISOR,
            Holder::Sessions => SESSIONS_DIVISOR,
            Holder::Frames => FRAMES_DIVISOR,
        };
        self.limit / divisor
    }
}

impl Default for MemoryPlan {
    fn default() -> MemoryPlan {
        MemoryPlan::new(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS)
    }
}

/// What one holder holds.
#[derive(Debug, Default)]
struct Account {
    held: Cell<usize>,
    most: Cell<usize>,
    refused: Cell<u64>,
}

/// What is held now, by holder. Shared by all connections.
#[derive(Debug, Default)]
pub struct MemoryLedger {
    plan: MemoryPlan,
    accounts: [Account; HOLDERS.len()],
    connections: Cell<usize>,
    /// A sibling process has half of each share, during an upgrade.
    is_shared: Cell<bool>,
}

impl MemoryLedger {
    /// A ledger in which nothing is held.
    pub fn new(plan: MemoryPlan) -> MemoryLedger {
        MemoryLedger { plan, ..MemoryLedger::default() }
    }

    /// How the limit is divided.
    pub fn plan(&self) -> &MemoryPlan {
        &self.plan
    }

    fn account(&self, holder: Holder) -> &Account {
        &self.accounts[holder as usize]
    }

    /// Bytes that a holder holds.
    pub fn held(&self, holder: Holder) -> usize {
        self.account(holder).held.get()
    }

    /// Replaces `before` of the bytes of a holder by `now`.
    pub fn change(&self, holder: Holder, before: usize, now: usize) {
        let account = self.account(holder);
        let held = (account.held.get() + now).saturating_sub(before);
        account.held.set(held);
        account.most.set(account.most.get().max(held));
    }

    /// Sets the bytes of a holder.
    pub fn set(&self, holder: Holder, bytes: usize) {
        self.change(holder, self.held(holder), bytes);
    }

    /// Sets whether a sibling process has half of each share.
    pub fn set_shared(&self, is_shared: bool) {
        self.is_shared.set(is_shared);
    }

    /// Bytes that a holder may hold now.
    pub fn share(&self, holder: Holder) -> usize {
        self.plan.share(holder) / if self.is_shared.get() { 2 } else { 1 }
    }

    /// Whether a holder may hold `more` bytes.
    pub fn has_room(&self, holder: Holder, more: usize) -> bool {
        self.held(holder) + more <= self.share(holder)
    }

    /// Counts something that was refused or closed because it did not fit.
    pub fn count_refused(&self, holder: Holder) {
        let refused = &self.account(holder).refused;
        refused.set(refused.get() + 1);
    }

    /// Counts a connection that was opened.
    pub fn add_connection(&self) {
        self.connections.set(self.connections.get() + 1);
    }

    /// Counts a connection that was closed.
    pub fn remove_connection(&self) {
        self.connections.set(self.connections.get().saturating_sub(1));
    }

    /// The metrics: bytes now, at most and allowed, and the number of refusals, by holder.
    pub fn json(&self) -> serde_json::Value {
        let mut value = serde_json::json!({
            "limit_bytes": self.plan.limit,
            "connections": self.connections.get(),
            "kernel_bytes_each": self.plan.inbound.kernel_bytes(),
        });
        for (holder, name) in HOLDERS {
            let account = self.account(holder);
            value[name] = serde_json::json!({
                "bytes": account.held.get(),
                "most_bytes": account.most.get(),
                "share_bytes": self.share(holder),
                "refused": account.refused.get(),
            });
        }
        value
    }
}

#[cfg(test)]
mod tests;
