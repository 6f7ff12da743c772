//! Tests of the module `guard`.

use super::*;

const PROCESS: Process = Process { no_attempts_from: None, max_attempts: 8, time_resolution: 1.0 };
const ENDPOINT: AttemptEndpoint =
    AttemptEndpoint { state: ServiceState::InService, zone: "a", retry_after_until: None };

fn message(effect: Effect) -> AttemptMessage<'static> {
    AttemptMessage {
        ended: false,
        outstanding: false,
        unconfirmed: false,
        valid_until: 1_000.0,
        attempts: 1,
        effect,
        dedup_window: 500.0,
        first_possible_run: None,
        earlier_in_key_pending: false,
    }
}

#[test]
fn each_rule_alone_forbids_an_attempt() {
    let m = message(Effect::Idempotent);
    assert_eq!(may_send(0.0, &m, &ENDPOINT, &PROCESS), Ok(()));
    let forbidden = [
        (AttemptMessage { ended: true, ..m }, ENDPOINT, PROCESS, Reason::Ended),
        (AttemptMessage { outstanding: true, ..m }, ENDPOINT, PROCESS, Reason::Outstanding),
        (AttemptMessage { unconfirmed: true, ..m }, ENDPOINT, PROCESS, Reason::Unconfirmed),
        (AttemptMessage { valid_until: 0.0, ..m }, ENDPOINT, PROCESS, Reason::Expired),
        (AttemptMessage { attempts: 8, ..m }, ENDPOINT, PROCESS, Reason::Exhausted),
        (AttemptMessage { earlier_in_key_pending: true, ..m }, ENDPOINT, PROCESS, Reason::OutOfOrder),
        (m, AttemptEndpoint { state: ServiceState::Draining, ..ENDPOINT }, PROCESS, Reason::NotInService),
        (m, AttemptEndpoint { state: ServiceState::Removed, ..ENDPOINT }, PROCESS, Reason::NotInService),
        (m, AttemptEndpoint { retry_after_until: Some(0.1), ..ENDPOINT }, PROCESS, Reason::RetryAfter),
        (m, ENDPOINT, Process { no_attempts_from: Some(0.0), ..PROCESS }, Reason::Leaving),
    ];
    for (message, endpoint, process, reason) in forbidden {
        assert_eq!(may_send(0.0, &message, &endpoint, &process), Err(reason));
    }
    let wait_over = AttemptEndpoint { retry_after_until: Some(0.0), ..ENDPOINT };
    assert_eq!(may_send(0.0, &m, &wait_over, &PROCESS), Ok(()), "a retry-after that has passed");
}

#[test]
fn a_message_that_may_have_run_is_repeated_as_its_effect_allows() {
    let ran = |effect| AttemptMessage { first_possible_run: Some((100.0, "a")), ..message(effect) };
    let may =
        |now, m: &AttemptMessage, zone| may_send(now, m, &AttemptEndpoint { zone, ..ENDPOINT }, &PROCESS);
    assert_eq!(may(900.0, &ran(Effect::Idempotent), "b"), Ok(()));
    assert_eq!(may(101.0, &ran(Effect::AtMostOnce), "a"), Err(Reason::MayHaveRun));
    let keyed = |by_zone| ran(Effect::Deduplicated { same_zone_only: by_zone });
    assert_eq!(may(598.0, &keyed(false), "b"), Ok(()));
    assert_eq!(may(598.1, &keyed(false), "b"), Err(Reason::WindowOver));
    assert_eq!(may(200.0, &keyed(true), "b"), Err(Reason::OtherDedupGroup));
    assert_eq!(latest_write(&keyed(true), &PROCESS), 598.0);
    assert_eq!(latest_write(&AttemptMessage { valid_until: 300.0, ..keyed(true) }, &PROCESS), 300.0);
}

#[test]
fn a_write_that_is_late_within_a_wait_or_out_of_order_is_a_violation() {
    let written = WrittenAttempt {
        latest_write: 1_000.0,
        retry_after_received_at: None,
        earlier_in_key_pending: false,
        unconfirmed: false,
    };
    assert_eq!((may_write(1_000.0, 1_000.0), may_write(1_000.1, 1_000.0)), (Ok(()), Err(Reason::WindowOver)));
    assert_eq!(violated_rule(1_150.0, &written), None);
    assert_eq!(violated_rule(1_151.0, &written), Some(Reason::WindowOver));
    let waiting = WrittenAttempt { retry_after_received_at: Some(100.0), ..written };
    assert_eq!(
        (violated_rule(350.0, &waiting), violated_rule(351.0, &waiting)),
        (None, Some(Reason::RetryAfter))
    );
    assert_eq!(
        violated_rule(0.0, &WrittenAttempt { earlier_in_key_pending: true, ..written }),
        Some(Reason::OutOfOrder)
    );
    assert_eq!(
        violated_rule(0.0, &WrittenAttempt { unconfirmed: true, ..written }),
        Some(Reason::Unconfirmed)
    );
}

#[test]
fn an_unanswered_attempt_is_over_after_a_confirmation_or_a_timeout() {
    let by = confirmation_deadline(10.0);
    assert_eq!(by, 10.0 + CONFIRM_TIMEOUT);
    assert_eq!(deadline_after_peer_close(20.0, by), 20.0 + CROSSED_CLOSE_DELAY);
    assert_eq!(deadline_after_peer_close(by - 1.0, by), by, "never longer than without the confirmation");
    assert_eq!(confirmation_kind(ClosedFirst::Dispatcher, true), Confirmation::EndedByEndpoint);
    assert_eq!(confirmation_kind(ClosedFirst::Dispatcher, false), Confirmation::TimedOut);
    assert_eq!(
        confirmation_kind(ClosedFirst::Endpoint, true),
        Confirmation::TimedOut,
        "the end of the endpoint does not confirm ours"
    );
}

#[test]
fn a_process_ends_when_its_work_is_done_or_its_time_is_up() {
    let idle = Shutdown {
        since: SHUTDOWN_LINGER,
        held: 0,
        outstanding: 0,
        has_sibling: false,
        requests_pending: false,
        peers_pending: false,
        records_pending: false,
    };
    assert_eq!(may_end(&idle), Ok(()));
    let stays = [
        (Shutdown { since: SHUTDOWN_LINGER - 1.0, ..idle }, Reason::Unfinished),
        (Shutdown { held: 1, ..idle }, Reason::Unfinished),
        (Shutdown { held: 2, outstanding: 1, has_sibling: true, ..idle }, Reason::Unfinished),
        (Shutdown { requests_pending: true, ..idle }, Reason::AnswerPending),
        (Shutdown { records_pending: true, ..idle }, Reason::Unrecorded),
    ];
    for (leaving, reason) in stays {
        assert_eq!(may_end(&leaving), Err(reason));
        assert_eq!(may_end(&Shutdown { since: SHUTDOWN_TIMEOUT, ..leaving }), Ok(()));
    }
    let last = SHUTDOWN_TIMEOUT + PEER_ANSWER_TIMEOUT;
    for since in [SHUTDOWN_LINGER, SHUTDOWN_TIMEOUT, last - 1.0] {
        let waiting = Shutdown { since, held: 1, has_sibling: true, peers_pending: true, ..idle };
        assert_eq!(may_end(&waiting), Err(Reason::AnswerPending), "{since}");
        assert_eq!(may_end(&Shutdown { since: last, ..waiting }), Ok(()));
    }
    assert_eq!(
        may_end(&Shutdown { held: 2, has_sibling: true, ..idle }),
        Ok(()),
        "the sibling process takes over"
    );
}

#[test]
fn only_the_client_closes_a_connection_with_an_outstanding_answer() {
    let idle = ClientConnection { awaits_answer: false, unwritten: 0, client_not_reading: false };
    let awaiting = ClientConnection { awaits_answer: true, ..idle };
    let writing = ClientConnection { unwritten: 3, ..idle };
    for why in
        [CloseReason::Answered, CloseReason::TimedOut, CloseReason::DescriptorNeeded, CloseReason::Draining]
    {
        assert_eq!(may_close(&idle, why), Ok(()));
        assert_eq!(may_close(&awaiting, why), Err(Reason::AnswerPending));
        assert_eq!(may_close(&writing, why), Err(Reason::AnswerPending));
        assert_eq!(may_close(&ClientConnection { client_not_reading: true, ..writing }, why), Ok(()));
    }
    assert_eq!(may_close(&awaiting, CloseReason::ByClient), Ok(()));
    let mut counts = Counts::default();
    let _ = counts.record(may_close(&awaiting, CloseReason::DescriptorNeeded));
    counts.record_close(CloseReason::ByClient);
    assert_eq!(counts.json()["refused"]["answer_owed"], 1);
    assert_eq!(counts.json()["closed"]["by_client"], 1);
}
