//! Accepts connections: each listener's go to the component that serves them, which makes room first.

use super::*;

/// Milliseconds until accepting is retried after a client could not be accepted for lack of room.
const ACCEPT_RETRY_AFTER: Ms = 25.0;
/// Maximum number of clients in one pass that disconnected before they were accepted; other clients wait
/// meanwhile.
const ACCEPT_FAILURES_MAX: u32 = 64;
/// Maximum number of connections that a listener accepts in one pass; other connections wait meanwhile.
const ACCEPTS_PER_PASS: usize = 64;

impl Server {
    /// Accepts the connections that wait at a listener, up to a bound.
    pub(super) fn accept(&mut self, now: Ms, number: usize) {
        let (mut accepted, mut failures) = (0, 0);
        while accepted < ACCEPTS_PER_PASS {
            if self.listener(number).is_none() {
                return;
            }
            if !self.make_room(now, number) {
                self.accept_retry_at = Some(now + ACCEPT_RETRY_AFTER);
                return;
            }
            let Some(listener) = self.listener(number) else { return };
            match listener.accept() {
                Ok((tcp, _)) => {
                    accepted += 1;
                    self.register_connection(now, number, tcp);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e)
                    if failures < ACCEPT_FAILURES_MAX
                        && matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) =>
                {
                    failures += 1;
                }
                Err(e) => {
                    self.accept_retry_at = Some(now + ACCEPT_RETRY_AFTER);
                    if let Some(count) = self.accept_failures.record(now) {
                        log::warn!(cause:% = e, count = count; "a client cannot be accepted: {e}");
                    }
                    return;
                }
            }
        }
        self.accept_retry_at = Some(now);
    }

    fn listener(&self, number: usize) -> Option<&TcpListener> {
        match number {
            MQTT_LISTENER => self.mqtt_listener.as_ref(),
            PEER_LISTENER => self.peer_listener.as_ref(),
            CONTROL_LISTENER => self.control_listener.as_ref(),
            REPLICA_LISTENER => self.replica_listener.as_ref(),
            _ => self.listener.as_ref(),
        }
    }

    /// Makes room for one more connection of a listener; false if there is none.
    fn make_room(&mut self, now: Ms, number: usize) -> bool {
        match number {
            MQTT_LISTENER => self.make_room_for_mqtt(now),
            PEER_LISTENER => self.peers.make_room(),
            CONTROL_LISTENER => self.make_room_for_control(now),
            REPLICA_LISTENER => self.replica_peers.make_room(),
            _ => self.resp_clients.make_room(now, &mut self.core),
        }
    }

    fn make_room_for_mqtt(&mut self, now: Ms) -> bool {
        let mut acknowledged = Vec::new();
        let room = self.mqtt_clients.make_room(now, &mut self.core, &mut acknowledged);
        acknowledged.into_iter().for_each(|no| self.core.final_answer_confirmed(now, no));
        room
    }

    fn make_room_for_control(&mut self, now: Ms) -> bool {
        let (serving, mut effects) = (self.is_serving(), Vec::new());
        self.control.make_room(now, &mut self.core, serving, &mut effects);
        effects.into_iter().for_each(|e| self.apply_effect(now, e));
        true
    }

    /// Hands an accepted connection to the component that serves this listener.
    fn register_connection(&mut self, now: Ms, number: usize, tcp: TcpStream) {
        let reactor = &self.reactor;
        match number {
            MQTT_LISTENER => self.mqtt_clients.accept(now, tcp, reactor),
            PEER_LISTENER => self.peers.accept(tcp, reactor),
            CONTROL_LISTENER => self.control.accept(now, tcp, reactor),
            REPLICA_LISTENER => self.replica_peers.accept(tcp, reactor),
            _ => self.resp_clients.accept(now, tcp, reactor),
        }
    }
}
